package scatter

import (
	"math"
	"time"
)

const (
	// probesToReinstate is how many probes in a row have to succeed before a replica is reinstated: a single quick part
	// may be chance. After an idle reset one is enough (wasIdleReset).
	probesToReinstate = 3
	// probeRatio is the longest latency of a successful probe, as a multiple of what the replica's siblings take.
	probeRatio = 2.0

	// maxRejectionBackoffs bounds how long a replica that rejects parts is avoided, as a multiple of minProbeBackoff,
	// before fleetBackoff scales it.
	maxRejectionBackoffs = 2
	// restartBackoffs is the least time that a process is assumed to need for a restart, as a multiple of
	// minProbeBackoff.
	restartBackoffs = 2
	// rejectionBackoff is the backoff after a rejection, as a share of its class's latency objective, for each
	// rejection in a row.
	rejectionBackoff = 0.1
)

// health is the state of a replica that attempts and probes have shown. An instant is 0 if it has never occurred.
type health struct {
	ejected        bool
	ejectedAt      time.Duration
	probeSuccesses int           // successful probes in a row
	probeBackoff   time.Duration // backoff before the next probe, without fleetBackoff; each failed probe doubles it
	nextProbe      time.Duration

	consecutiveFaults     int // errors, resets and unresponsive attempts in a row, but not class faults by silence
	consecutiveRejections int
	lastSuccess           time.Duration
	rejectingUntil        time.Duration // it has rejected parts: until then it gets none, or only probes if ejected
	avoidUntil            time.Duration // until then it is not in pickReplica's kinds 1 and 2; in large fleets only
	failsFast             bool          // attempts fail at once, judging by a failed connect or by faults in a row
	lastFailure           time.Duration // when an attempt last ended in an error, a reset or a failed connect
	lastError             time.Duration // when it last answered with an error
	lastReset             time.Duration // when a connection to it was last found broken
	idleBeforeReset       time.Duration // how long the connection that last broke had been unused
	mayHaveRestarted      bool          // connections failed: the process that answers next may be a new one
}

// classHealth is the state of a replica that attempts of one class have shown. An instant is 0 if it has never
// occurred.
type classHealth struct {
	consecutiveFaults int           // errors and unresponsive attempts of the class in a row
	excludedUntil     time.Duration // until then it is not in pickReplica's kind 1 for the class
	lastSuccess       time.Duration
	lastUnanswered    time.Duration // when an attempt was last given up after the time of unansweredPart
}

// recordOutcome updates the state of a replica by the outcome of an attempt; NotSent changes nothing. Errors, resets
// and failed connects change no latencies, so failures that come quickly never count as low latency. A latency is
// capped at the replica's mean for the class if the coordinator was stalled during the attempt; only lastUnanswered
// depends on the uncapped one. The shares are refreshed first, because they are computed from the state before the
// change.
func (m *Machine) recordOutcome(r *replica, c *class, at *attempt, e AttemptEnded) {
	m.refreshSharesOf(r)
	seconds := e.Latency.Seconds()
	if at.excused || m.stalled {
		seconds = min(seconds, r.latencyRatio*c.meanLatency)
	}
	switch e.Outcome {
	case Succeeded:
		m.recordSuccess(r, c, at, seconds)
	case Rejected:
		m.recordRejection(r, c)
	case ConnectFailed:
		m.recordConnectFailure(r, at)
	case ConnectionReset:
		m.recordReset(r, at)
	case Errored:
		r.health.recordFailure(m.now)
		r.health.lastError = m.now
		m.recordFault(r, at)
		m.recordClassFault(r, c)
	case TimedOut, Cancelled:
		m.recordUnanswered(r, c, at, e.Latency, seconds)
	}
}

// recordFailure records an error or a reset, however late it came. The replica fails fast if this is not the first
// fault in a row, so recordFailure has to be called before the fault is counted.
func (h *health) recordFailure(now time.Duration) {
	h.failsFast, h.lastFailure = h.consecutiveFaults > 0, now
}

// recordSuccess processes a served part with its latency in seconds. At an ejected replica the part counts as a probe
// towards its reinstatement; if the replica stays ejected, the latency is one of the class's samples, but does not
// enter the means.
func (m *Machine) recordSuccess(r *replica, c *class, at *attempt, seconds float64) {
	h := &r.health
	h.lastSuccess, r.classHealth[c.index].lastSuccess, m.lastSuccess = m.now, m.now, m.now
	m.traffic.served += math.Floor(m.capacityFraction(r, m.now)) // counts warmed up replicas only: others floor to 0
	h.consecutiveFaults, h.consecutiveRejections, h.avoidUntil = 0, 0, 0
	r.classHealth[c.index].consecutiveFaults, r.classHealth[c.index].excludedUntil = 0, 0
	c.samples.add(seconds)
	m.decideRestart(r, at)
	switch {
	case !h.ejected:
	case m.wasIdleReset(r, at):
		m.reinstateIdleResets(h.idleBeforeReset)
	case m.countProbe(r, c, at, seconds):
		m.reinstate(r)
	default:
		return
	}
	c.observe(seconds)
	m.loadFactor += meanGain * (seconds/c.meanLatency/r.latencyRatio - m.loadFactor)
	r.latencyRatio += ratioGain * (seconds/c.meanLatency - r.latencyRatio)
}

// decideRestart decides, when a part sent after a broken connection is served, why the connection broke. If the part
// was sent more than restartTime after the break, the process may be a new one. Otherwise, if the connection had been
// unused, it was dropped for that. For an ejected replica, wasIdleReset and reinstate decide.
func (m *Machine) decideRestart(r *replica, at *attempt) {
	h := &r.health
	if !h.mayHaveRestarted || h.ejected || at.sentAt < h.lastReset {
		return
	}
	h.mayHaveRestarted = false
	if at.sentAt-h.lastReset > m.restartTime() {
		m.startSlowStart(r, m.now)
	} else if h.idleBeforeReset >= m.minProbeBackoff() {
		m.idleConnections.lostAfter(h.idleBeforeReset)
	}
}

// countProbe processes a probe's latency, in seconds, and reports whether the replica has recovered. A slow probe
// counts as failed. After a successful probe the next one may follow at once.
func (m *Machine) countProbe(r *replica, c *class, at *attempt, seconds float64) (recovered bool) {
	if seconds > probeRatio*c.meanLatency*medianRatio(r.siblings)/m.capacityFraction(r, m.now) {
		m.eject(r, at)
		return false
	}
	r.health.probeSuccesses++
	if r.health.probeSuccesses < probesToReinstate {
		r.health.nextProbe = m.now
		return false
	}
	return true
}

// recordRejection processes a rejection for lack of capacity. A part in a full queue cannot meet the objective, so the
// rejection also raises the replica's latency ratio and the class's mean latency, like a latency of the objective.
func (m *Machine) recordRejection(r *replica, c *class) {
	h := &r.health
	h.consecutiveRejections++
	backoff := min(1, rejectionBackoff*float64(h.consecutiveRejections))
	h.rejectingUntil = m.now + scale(c.LatencyObjective, backoff)
	backoffs := float64(min(h.consecutiveRejections, maxRejectionBackoffs))
	m.avoid(r, m.fleetBackoff(scale(m.minProbeBackoff(), backoffs)))
	objective := c.LatencyObjective.Seconds()
	r.observeAtLeast(c, objective)
	c.meanLatency += meanGain * max(0, objective-c.meanLatency)
}

// recordConnectFailure ejects a replica at once: no process accepts connections, and the next one to do so may be new.
func (m *Machine) recordConnectFailure(r *replica, at *attempt) {
	h := &r.health
	h.idleBeforeReset, h.mayHaveRestarted = 0, true
	h.failsFast, h.lastFailure = true, m.now
	m.eject(r, at)
}

// recordReset counts the loss of a connection as one fault: it ignores resets of attempts that were sent to the replica
// before the previous reset. If the process has ended, the next connection fails.
func (m *Machine) recordReset(r *replica, at *attempt) {
	h := &r.health
	if at.sentAt < h.lastReset {
		return
	}
	h.lastReset, h.idleBeforeReset, h.mayHaveRestarted = m.now, at.connectionIdle, true
	h.recordFailure(m.now)
	m.recordFault(r, at)
}

// recordUnanswered processes an attempt that timed out or was cancelled. One that was cancelled at an ejected replica
// is a failed probe; one that timed out there is handled as at any other replica. A silence of unresponsivePart is a
// fault of the replica, or a class fault if the replica has served other classes since; errors and rejections do not
// count as served. Otherwise the attempt's time raises the load factor and the replica's latency ratio, because the
// latencies of served parts do not show it. lastUnanswered has its own threshold, unansweredPart.
func (m *Machine) recordUnanswered(r *replica, c *class, at *attempt, took time.Duration, seconds float64) {
	unresponsive := took >= m.lateAfter(r, c, unresponsivePart) && !at.excused && !m.stalled
	h := &r.classHealth[c.index]
	if took >= m.lateAfter(r, c, unansweredPart) {
		h.lastUnanswered = m.now
	}
	switch {
	case at.toEjected && at.cancelled:
		m.eject(r, at)
	case unresponsive && r.health.lastSuccess < at.sentAt:
		m.recordFault(r, at)
	case unresponsive && h.lastSuccess < at.sentAt:
		m.recordClassFault(r, c)
	default:
		m.loadFactor += meanGain * max(0, seconds/c.meanLatency/r.latencyRatio-m.loadFactor)
		r.observeAtLeast(c, seconds)
	}
}

// recordFault counts an error, a reset or an unresponsive attempt. From faultsToEject in a row on, without a success
// between them, each one calls eject, which ejects the replica or, if the attempt was sent after the ejection, doubles
// the probe backoff.
func (m *Machine) recordFault(r *replica, at *attempt) {
	r.health.consecutiveFaults++
	if r.health.consecutiveFaults >= faultsToEject {
		m.eject(r, at)
	}
}

// restartTime returns the least time that a process is assumed to need for a restart: a process that serves a part sent
// sooner after a broken connection is the same one.
func (m *Machine) restartTime() time.Duration { return restartBackoffs * m.minProbeBackoff() }
