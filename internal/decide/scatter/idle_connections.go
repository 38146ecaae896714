package scatter

import "time"

const (
	// idleTrustShare is how long an unused connection is trusted, as a share of the idle time after which one was lost.
	idleTrustShare = 0.7
	// idleTrustGrowth is the factor by which that time grows at each periodic rebalance, since what drops connections
	// may have ceased to.
	idleTrustGrowth = 1.03
	// maxIdleTrust is the longest time for which an unused connection is trusted; it applies while no lost connection
	// is known.
	maxIdleTrust = 24 * time.Hour
)

// wasIdleReset reports whether an ejected replica that serves a part soon after a reset had no fault: its connection
// was dropped because it had been unused. A process that answers within restartTime counts as the same one.
func (m *Machine) wasIdleReset(r *replica, at *attempt) bool {
	h := &r.health
	return h.mayHaveRestarted && h.idleBeforeReset >= m.minProbeBackoff() &&
		at.sentAt-h.ejectedAt <= m.restartTime()
}

// reinstateIdleResets records that a connection was dropped after an idle time, and reinstates all replicas that lost a
// connection in the same way.
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

// idleTrust is how long an unused connection is trusted.
type idleTrust struct {
	limit time.Duration // shortest idle time after which a connection was lost
}

// trusts reports whether a part may be sent on a connection that has been unused for a time.
func (t *idleTrust) trusts(idle time.Duration) bool { return idle <= scale(t.limit, idleTrustShare) }

// lostAfter records that a connection was lost after an idle time.
func (t *idleTrust) lostAfter(idle time.Duration) { t.limit = min(t.limit, idle) }

// relax raises the limit by idleTrustGrowth, up to maxIdleTrust.
func (t *idleTrust) relax() { t.limit = min(scale(t.limit, idleTrustGrowth), maxIdleTrust) }
