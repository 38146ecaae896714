package scatter

import (
	"math"
	"time"
)

const (
	// errorsToEject is how many faults in a row are more than bad luck.
	errorsToEject = 2
	// A replica is silent when a part has been out for silentOverdue overdue times and silentMeans usual means, and
	// nothing was answered since it was sent.
	silentOverdue = 1.5
	silentMeans   = 3.0
	// slowRatio is how many times its siblings' median latency ratio makes a replica an outlier.
	slowRatio = 3.0

	// probesToReinstate is how many probes in a row have to be served well: one quick part is chance.
	probesToReinstate = 3
	// probeRatio is how many times its siblings' latency a probe may take.
	probeRatio = 2.0

	// rejectionPause is the pause after a rejection, in latency objectives of its class, for each rejection in a row.
	rejectionPause = 0.1
	// maxAvoid is the longest time for which a replica is avoided, in longest pauses between probes.
	maxAvoid = 10

	// idleTrustShare is the share of the time for which connections are trusted unused.
	idleTrustShare = 0.7
	// idleTrustGrowth is the growth of that time at each periodic rebalance: what drops connections may end.
	idleTrustGrowth = 1.03
	// never is a span longer than any run.
	never = 24 * time.Hour
)

// health is what attempts and probes have shown of a replica.
type health struct {
	ejected        bool
	ejectedAt      time.Duration
	probeSuccesses int           // probes served well in a row
	probeBackoff   time.Duration // pause before the next probe
	nextProbe      time.Duration

	consecutiveErrors     int
	consecutiveRejections int
	lastSuccess           time.Duration
	rejectingUntil        time.Duration // it has rejected parts: nothing is sent to it until then
	avoidUntil            time.Duration // no first attempt is sent to it until then
	failsFast             bool          // it fails at once, rather than being slow or silent
	lastFailure           time.Duration // the last time that it did
	lastError             time.Duration // when it last answered with an error; 0 for never
	lastReset             time.Duration // when a connection to it was last found broken
	idleBeforeReset       time.Duration // how long that connection had been unused
	mayHaveRestarted      bool          // connections failed: what returns may be a new process
}

// classHealth is what attempts of one class have shown of a replica.
type classHealth struct {
	consecutiveFaults int
	excludedUntil     time.Duration // until then it gets nothing of the class
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
		m.excludeClass(r, c)
	case TimedOut, Cancelled:
		m.recordUnanswered(r, c, at, e.Latency, seconds)
	}
}

// failed notes a failure that came at once. A single one may be bad luck.
func (h *health) failed(now time.Duration) {
	h.failsFast, h.lastFailure = h.consecutiveErrors > 0, now
}

// recordSuccess takes a served part's latency, in seconds. A probe counts towards the replica's reinstatement.
func (m *Machine) recordSuccess(r *replica, c *class, at *attempt, seconds float64) {
	h := &r.health
	h.lastSuccess, r.classHealth[c.index].lastSuccess, m.lastSuccess = m.now, m.now, m.now
	m.traffic.served += math.Floor(m.capacityFraction(r, m.now)) // by those that are warmed up
	h.consecutiveErrors, h.consecutiveRejections, h.avoidUntil = 0, 0, 0
	r.classHealth[c.index].consecutiveFaults, r.classHealth[c.index].excludedUntil = 0, 0
	c.samples.add(seconds)
	m.checkRestart(r, at)
	switch {
	case !h.ejected:
	case m.wasIdleReset(r, at):
		m.reinstateIdleResets(h.idleBeforeReset)
	case m.recordProbe(r, c, at, seconds):
		m.reinstate(r)
	default:
		return
	}
	c.observe(seconds)
	m.loadFactor += meanGain * (seconds/c.meanLatency/r.latencyRatio - m.loadFactor)
	r.latencyRatio += ratioGain * (seconds/c.meanLatency - r.latencyRatio)
}

// checkRestart decides what a broken connection meant, once a part that was sent after it is served. Where that took
// long, the process may be a new one; else a connection that had been unused was dropped.
func (m *Machine) checkRestart(r *replica, at *attempt) {
	h := &r.health
	if !h.mayHaveRestarted || h.ejected || at.sentAt < h.lastReset {
		return
	}
	h.mayHaveRestarted = false
	if at.sentAt-h.lastReset > 2*m.minProbeBackoff() {
		m.startSlowStart(r, m.now)
	} else if h.idleBeforeReset >= m.minProbeBackoff() {
		m.idleConnections.lostAfter(h.idleBeforeReset)
	}
}

// recordProbe takes a probe's latency, in seconds, and reports whether the replica has recovered. After a good
// probe the next one may follow at once.
func (m *Machine) recordProbe(r *replica, c *class, at *attempt, seconds float64) (recovered bool) {
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
	pause := min(1, rejectionPause*float64(h.consecutiveRejections))
	h.rejectingUntil = m.now + scale(c.LatencyObjective, pause)
	m.avoid(r, scale(m.minProbeBackoff(), float64(min(h.consecutiveRejections, 2))))
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
	silent := took >= m.lateAfter(r, c, silentOverdue, silentMeans) && !at.excused && !m.stalled
	h := &r.classHealth[c.index]
	if took >= m.lateAfter(r, c, unansweredOverdue, unansweredMeans) {
		h.lastUnanswered = m.now
	}
	switch {
	case at.probe && at.cancelled:
		m.eject(r, at)
	case silent && r.health.lastSuccess < at.sentAt:
		m.recordFault(r, at)
	case silent && h.lastSuccess < at.sentAt:
		m.excludeClass(r, c)
	default:
		m.loadFactor += meanGain * max(0, seconds/c.meanLatency/r.latencyRatio-m.loadFactor)
		r.observeAtLeast(c, seconds)
	}
}

// recordFault counts an error or a silence; several in a row eject the replica.
func (m *Machine) recordFault(r *replica, at *attempt) {
	r.health.consecutiveErrors++
	if r.health.consecutiveErrors >= errorsToEject {
		m.eject(r, at)
	}
}

// excludeClass keeps a class from a replica that has failed it several times in a row while it served others.
func (m *Machine) excludeClass(r *replica, c *class) {
	h := &r.classHealth[c.index]
	h.consecutiveFaults++
	pauses := float64(h.consecutiveFaults / errorsToEject)
	h.excludedUntil = m.now + scale(m.classes.tightest, maxProbeBackoff*pauses)
}

// avoid keeps first attempts from a replica for a pause, and returns the pause as it grows with the fleet: the attempts
// of all coordinators add up, and would keep an overloaded replica overloaded.
func (m *Machine) avoid(r *replica, pause time.Duration) time.Duration {
	fleet := m.placement.fleetFactor
	pause = min(scale(pause, fleet), scale(m.classes.tightest, maxAvoid*maxProbeBackoff))
	r.health.avoidUntil = max(r.health.avoidUntil, m.now+scale(pause, min(1, fleet-1)))
	return pause
}

// eject takes a replica out of the ready ones; for one that is ejected already, a failed probe doubles the pause before
// the next. at is the attempt that showed the fault, nil where it was none.
func (m *Machine) eject(r *replica, at *attempt) {
	h := &r.health
	if !h.ejected {
		m.replicas.setEjected(r, true)
		h.ejectedAt, h.probeBackoff = m.now, max(h.probeBackoff, m.minProbeBackoff())
		m.shares.dirty = true
	} else if at != nil && at.sentAt >= h.ejectedAt {
		h.probeBackoff = min(2*h.probeBackoff, scale(m.classes.tightest, maxProbeBackoff))
	}
	h.probeSuccesses = 0
	h.nextProbe = m.nextProbeAfter(r, m.avoid(r, h.probeBackoff))
}

// reinstate makes an ejected replica ready again, as one that has joined, and in slow start if its process may be a new
// one. Half of the pause between probes is kept: one that flaps waits longer each time.
func (m *Machine) reinstate(r *replica) {
	h := &r.health
	m.replicas.setEjected(r, false)
	h.failsFast, h.probeSuccesses, h.consecutiveErrors = false, 0, 0
	m.shares.dirty = true
	h.probeBackoff /= 2
	if h.mayHaveRestarted {
		h.mayHaveRestarted = false
		m.startSlowStart(r, m.now)
	}
	r.adoptSiblingRatio()
}

// wasIdleReset reports whether an ejected replica that serves right after a reset had no fault: the part went on a
// connection that was dropped for want of use. A process that restarts within two first pauses between probes is taken
// for the same one.
func (m *Machine) wasIdleReset(r *replica, at *attempt) bool {
	h := &r.health
	return h.mayHaveRestarted && h.idleBeforeReset >= m.minProbeBackoff() &&
		at.sentAt-h.ejectedAt <= 2*m.minProbeBackoff()
}

// reinstateIdleResets notes that a connection was dropped that had been unused for a time, and reinstates all replicas
// that lost such a one.
func (m *Machine) reinstateIdleResets(idle time.Duration) {
	m.idleConnections.lostAfter(idle)
	for _, r := range m.replicas.all {
		h := &r.health
		if h.ejected && h.mayHaveRestarted && h.idleBeforeReset >= m.idleConnections.limit {
			h.mayHaveRestarted = false
			m.reinstate(r)
		}
	}
}

// idleTrust is for how long an unused connection is trusted.
type idleTrust struct {
	limit time.Duration // connections that had been unused for so long were lost
}

// trusts reports whether a connection that has been unused for a time may be sent a part.
func (t *idleTrust) trusts(idle time.Duration) bool { return idle <= scale(t.limit, idleTrustShare) }

// lostAfter notes that a connection was lost that had been unused for a time.
func (t *idleTrust) lostAfter(idle time.Duration) { t.limit = min(t.limit, idle) }

// relax lets the limit grow.
func (t *idleTrust) relax() { t.limit = min(scale(t.limit, idleTrustGrowth), never) }

// silenceWatch says when outstanding attempts are to be looked at next.
type silenceWatch struct {
	nextLook   time.Duration // before then no attempt that is out makes a silent replica
	rebalances int           // the rebalance that this is of
}

// watch takes a new attempt into account.
func (w *silenceWatch) watch(at *attempt) { w.nextLook = min(w.nextLook, at.silentFrom()) }

// silentFrom is until when an attempt makes no silent replica, whatever else is known.
func (at *attempt) silentFrom() time.Duration {
	return at.sentAt + scale(at.part.query.class.overdueAfter, silentOverdue)
}

// detectOutliers ejects the silent replicas, with a part out for long and nothing answered since it was sent though
// others did answer, and at each periodic rebalance the slow ones.
func (m *Machine) detectOutliers() {
	for _, r := range m.replicasToWatch() {
		for _, at := range r.attempts {
			at.excused = at.excused || m.stalled
			if m.isSilent(r, at) {
				m.eject(r, at)
			}
		}
		if m.shares.due(m.now) && r.ready() && m.capacityFraction(r, m.now) == 1 &&
			r.latencyRatio > slowRatio*medianRatio(r.siblings) {
			m.eject(r, nil)
		}
	}
}

// isSilent reports whether an attempt shows a ready replica to be silent.
func (m *Machine) isSilent(r *replica, at *attempt) bool {
	out, c := m.now-at.sentAt, at.part.query.class
	return out > scale(c.overdueAfter, silentOverdue) && // lateAfter is no sooner
		r.ready() && !at.cancelled && !at.excused &&
		r.health.lastSuccess < at.sentAt && m.lastSuccess > at.sentAt &&
		out > m.lateAfter(r, c, silentOverdue, silentMeans)
}

// replicasToWatch lists the replicas that this step may eject: those with attempts out, none before the first of these
// has been out for long, and at a periodic rebalance all.
func (m *Machine) replicasToWatch() []*replica {
	periodic, w := m.shares.due(m.now), &m.silence
	if !periodic && !m.stalled && !m.shares.dirty && w.rebalances == m.shares.rebalances && m.now <= w.nextLook {
		return nil
	}
	m.replicas.dropIdle()
	w.rebalances, w.nextLook = m.shares.rebalances, never+m.now
	for _, r := range m.replicas.busy {
		for _, at := range r.attempts {
			w.watch(at)
		}
	}
	list := m.replicas.busy
	if periodic {
		list = m.replicas.all
	}
	m.examined.replicas += len(list)
	return list
}
