package scatter

import "time"

const (
	// errorsToEject is how many faults in a row eject a replica: a single one may be bad luck. As many in one class
	// exclude the class.
	errorsToEject = 2
	// maxAvoid is the longest time for which a replica is avoided, as a multiple of maxProbeBackoff.
	maxAvoid = 10
)

// excludeClass keeps a class from a replica that has failed it several times in a row while it served others.
func (m *Machine) excludeClass(r *replica, c *class) {
	h := &r.classHealth[c.index]
	h.consecutiveFaults++
	backoffs := float64(h.consecutiveFaults / errorsToEject)
	h.excludedUntil = m.now + scale(m.classes.tightest, maxProbeBackoff*backoffs)
}

// avoid keeps first attempts from a replica for a backoff, and returns the backoff as it grows with the fleet: the
// attempts of all coordinators add up, and would keep an overloaded replica overloaded.
func (m *Machine) avoid(r *replica, backoff time.Duration) time.Duration {
	fleet := m.placement.fleetFactor
	backoff = min(scale(backoff, fleet), scale(m.classes.tightest, maxAvoid*maxProbeBackoff))
	r.health.avoidUntil = max(r.health.avoidUntil, m.now+scale(backoff, min(1, fleet-1)))
	return backoff
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
