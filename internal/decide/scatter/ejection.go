package scatter

import "time"

const (
	// faultsToEject is how many faults in a row eject a replica: a single one may be bad luck. As many in one class
	// exclude the class.
	faultsToEject = 2
	// maxAvoidBackoffs is the longest time for which a replica is avoided, as a multiple of maxProbeBackoff.
	maxAvoidBackoffs = 10
)

// recordClassFault counts a fault of one class at a replica; several in a row keep the replica from the first
// choices for the class, for longer with each further one.
func (m *Machine) recordClassFault(r *replica, c *class) {
	h := &r.classHealth[c.index]
	h.consecutiveFaults++
	backoffs := float64(h.consecutiveFaults / faultsToEject)
	h.excludedUntil = m.now + scale(m.classes.tightest, maxProbeBackoff*backoffs)
}

// fleetBackoff is a backoff as it grows with the fleet: the attempts of all coordinators add up, and would keep an
// overloaded replica overloaded.
func (m *Machine) fleetBackoff(backoff time.Duration) time.Duration {
	longest := scale(m.classes.tightest, maxAvoidBackoffs*maxProbeBackoff)
	return min(scale(backoff, m.placement.fleetFactor), longest)
}

// avoid keeps a replica from the first choices for a backoff of fleetBackoff; in a small fleet for none of it.
func (m *Machine) avoid(r *replica, backoff time.Duration) {
	until := m.now + scale(backoff, min(1, m.placement.fleetFactor-1))
	r.health.avoidUntil = max(r.health.avoidUntil, until)
}

// eject takes a replica out of the ready ones; for one that is ejected already, a failed probe doubles the backoff
// before the next. at is the attempt that showed the fault, nil where it was none.
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
	backoff := m.fleetBackoff(h.probeBackoff)
	m.avoid(r, backoff)
	h.nextProbe = m.nextProbeAfter(r, backoff)
}

// reinstate makes an ejected replica ready again, as one that has joined, and in slow start if its process may be a new
// one. Half of the backoff between probes remains: one that flaps waits longer each time.
func (m *Machine) reinstate(r *replica) {
	h := &r.health
	m.replicas.setEjected(r, false)
	h.failsFast, h.probeSuccesses, h.consecutiveFaults = false, 0, 0
	m.shares.dirty = true
	h.probeBackoff /= 2
	if h.mayHaveRestarted {
		h.mayHaveRestarted = false
		m.startSlowStart(r, m.now)
	}
	r.adoptSiblingRatio()
}
