package scatter

import "time"

const (
	// faultsToEject is how many faults in a row eject a replica: a single one may be chance. As many class faults
	// exclude the class.
	faultsToEject = 2
	// maxAvoidBackoffs bounds how long a replica is avoided, as a multiple of maxProbeBackoff.
	maxAvoidBackoffs = 10
)

// recordClassFault counts a fault of one class at a replica. From faultsToEject in a row on, the replica is not among
// the first choices for the class, for a time that grows with the number of faults.
func (m *Machine) recordClassFault(r *replica, c *class) {
	h := &r.classHealth[c.index]
	h.consecutiveFaults++
	backoffs := float64(h.consecutiveFaults / faultsToEject)
	h.excludedUntil = m.now + scale(m.classes.tightest, maxProbeBackoff*backoffs)
}

// fleetBackoff scales a backoff with the size of the fleet: the attempts of all coordinators add up, and would keep an
// overloaded replica overloaded.
func (m *Machine) fleetBackoff(backoff time.Duration) time.Duration {
	longest := scale(m.classes.tightest, maxAvoidBackoffs*maxProbeBackoff)
	return min(scale(backoff, m.placement.fleetFactor), longest)
}

// avoid keeps a replica from the first choices for a backoff that fleetBackoff has returned. A small fleet does not
// avoid replicas, and one with a fleetFactor below 2 avoids them for a part of the backoff only.
func (m *Machine) avoid(r *replica, backoff time.Duration) {
	until := m.now + scale(backoff, min(1, m.placement.fleetFactor-1))
	r.health.avoidUntil = max(r.health.avoidUntil, until)
}

// eject removes a replica from the usable ones. If the replica is already ejected, a failed probe doubles the backoff
// before the next one. at is the attempt that showed the fault; nil if there was none.
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

// reinstate makes an ejected replica usable again, with its siblings' latency ratio as for a new one, and in slow start
// if its process may be new. The backoff between probes is only halved, so that a replica that fails repeatedly waits
// longer each time.
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
