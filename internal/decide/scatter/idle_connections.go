package scatter

import "time"

const (
	// idleTrustShare is how long an unused connection is trusted, as a share of the time after which one was lost.
	idleTrustShare = 0.7
	// idleTrustGrowth is the growth of that time at each periodic rebalance, since what drops connections may end.
	idleTrustGrowth = 1.03
	// maxIdleTrust is how long an unused connection is trusted at most; nothing is known of any that was lost.
	maxIdleTrust = 24 * time.Hour
)

// wasIdleReset reports whether an ejected replica that serves right after a reset had no fault: the part went on a
// connection that was dropped for want of use. A process that answers within restartTime
// is taken for the same one.
func (m *Machine) wasIdleReset(r *replica, at *attempt) bool {
	h := &r.health
	return h.mayHaveRestarted && h.idleBeforeReset >= m.minProbeBackoff() &&
		at.sentAt-h.ejectedAt <= m.restartTime()
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
func (t *idleTrust) relax() { t.limit = min(scale(t.limit, idleTrustGrowth), maxIdleTrust) }
