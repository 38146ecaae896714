package scatter

import (
	"math"
	"time"
)

const (
	// probesToReinstate is how many probes in a row have to be served well: one quick part is chance.
	probesToReinstate = 3
	// probeRatio is how many times its siblings' latency a probe may take.
	probeRatio = 2.0

	// maxRejectionBackoffs bounds for how long a replica that rejects is avoided, as a multiple of minProbeBackoff.
	maxRejectionBackoffs = 2
	// restartBackoffs is the least time in which a process is taken to restart, as a multiple of minProbeBackoff.
	restartBackoffs = 2
	// rejectionBackoff is the backoff after a rejection, in latency objectives of its class, for each rejection in
	// a row.
	rejectionBackoff = 0.1
)

// health is what attempts and probes have shown of a replica.
type health struct {
	ejected        bool
	ejectedAt      time.Duration
	probeSuccesses int           // probes served well in a row
	probeBackoff   time.Duration // before the next probe; each failed probe doubles it
	nextProbe      time.Duration

	consecutiveFaults     int // errors, resets and unanswered attempts in a row, whatever their class
	consecutiveRejections int
	lastSuccess           time.Duration
	rejectingUntil        time.Duration // it has rejected parts: until then it is picked for nothing but probes
	avoidUntil            time.Duration // until then it is not among the first choices; only large fleets avoid
	failsFast             bool          // attempts fail at once, rather than being slow or unanswered
	lastFailure           time.Duration // when an attempt last failed at once
	lastError             time.Duration // when it last answered with an error; 0 for never
	lastReset             time.Duration // when a connection to it was last found broken
	idleBeforeReset       time.Duration // how long the connection that broke last had been unused
	mayHaveRestarted      bool          // connections failed: what returns may be a new process
}

// classHealth is what attempts of one class have shown of a replica.
type classHealth struct {
	consecutiveFaults int           // of the class, in a row
	excludedUntil     time.Duration // until then it is not among the first choices for the class
	lastSuccess       time.Duration
	lastUnanswered    time.Duration // when an attempt that it had left unanswered for long was given up; 0 for never
}

// recordOutcome draws from an attempt's outcome what it says of its replica. Failures that come quickly never look like
// speed, and no time counts in which the coordinator itself was stalled.
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
		r.health.failed(m.now)
		r.health.lastError = m.now
		m.recordFault(r, at)
		m.recordClassFault(r, c)
	case TimedOut, Cancelled:
		m.recordUnanswered(r, c, at, e.Latency, seconds)
	}
}

// failed notes a failure that came at once; the replica fails fast if it is not the first fault in a row. It is to
// be called before the fault is counted.
func (h *health) failed(now time.Duration) {
	h.failsFast, h.lastFailure = h.consecutiveFaults > 0, now
}

// recordSuccess takes a served part's latency, in seconds. A probe counts towards the replica's reinstatement.
func (m *Machine) recordSuccess(r *replica, c *class, at *attempt, seconds float64) {
	h := &r.health
	h.lastSuccess, r.classHealth[c.index].lastSuccess, m.lastSuccess = m.now, m.now, m.now
	m.traffic.served += math.Floor(m.capacityFraction(r, m.now)) // by those that are warmed up
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

// decideRestart decides what a broken connection meant, once a part that was sent after it is served. Where that took
// long, the process may be a new one; else a connection that had been unused was dropped.
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

// countProbe takes a probe's latency, in seconds, and reports whether the replica has recovered. After a good
// probe the next one may follow at once.
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

// recordRejection takes a rejection for want of capacity: a full queue cannot meet the objective, and is load.
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

// recordConnectFailure ejects a replica at once: nobody is there, and who comes back may be a new process.
func (m *Machine) recordConnectFailure(r *replica, at *attempt) {
	h := &r.health
	h.idleBeforeReset, h.mayHaveRestarted = 0, true
	h.failsFast, h.lastFailure = true, m.now
	m.eject(r, at)
}

// recordReset takes the loss of a connection with all that was on it as one fault. If the process has ended, it refuses
// the next connection.
func (m *Machine) recordReset(r *replica, at *attempt) {
	h := &r.health
	if at.sentAt < h.lastReset {
		return
	}
	h.lastReset, h.idleBeforeReset, h.mayHaveRestarted = m.now, at.connectionIdle, true
	h.failed(m.now)
	m.recordFault(r, at)
}

// recordUnanswered takes an attempt that was given up. Silence for long is a fault of the replica, or of the class
// there if the replica answered others meanwhile; else it is load that served parts do not show.
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

// recordFault counts an error or a silence; several in a row eject the replica.
func (m *Machine) recordFault(r *replica, at *attempt) {
	r.health.consecutiveFaults++
	if r.health.consecutiveFaults >= faultsToEject {
		m.eject(r, at)
	}
}

// restartTime is the least time in which a process is taken to restart: one that answers sooner after a broken
// connection is the same process.
func (m *Machine) restartTime() time.Duration { return restartBackoffs * m.minProbeBackoff() }
