package scatter

import "time"

const (
	// slowRatio is the multiple of its siblings' median latency ratio beyond which a replica is an outlier.
	slowRatio = 3.0
	// idleCheckInterval is the time to the next check if no attempt is outstanding: longer than any attempt takes.
	idleCheckInterval = 24 * time.Hour
)

// responseWatch schedules the next check of outstanding attempts.
type responseWatch struct {
	nextCheck  time.Duration // before then no outstanding attempt can show that its replica is unresponsive
	rebalances int           // count of rebalances at the last check
}

// watch schedules the next check early enough for a new attempt.
func (w *responseWatch) watch(at *attempt) { w.nextCheck = min(w.nextCheck, at.unresponsiveFrom()) }

// unresponsiveFrom returns the time from which an attempt can show that its replica is unresponsive.
func (at *attempt) unresponsiveFrom() time.Duration {
	return at.sentAt + scale(at.part.query.class.overdueAfter, unresponsivePart.overdueTimes)
}

// detectOutliers ejects unresponsive replicas and, at each periodic rebalance, slow ones. A replica is unresponsive if
// an attempt has been outstanding there for long, and it has answered nothing since that was sent although others have.
func (m *Machine) detectOutliers() {
	for _, r := range m.replicasToWatch() {
		for _, at := range r.attempts {
			at.excused = at.excused || m.stalled
			if m.isUnresponsive(r, at) {
				m.eject(r, at)
			}
		}
		if m.shares.due(m.now) && r.usable() && m.capacityFraction(r, m.now) == 1 &&
			r.latencyRatio > slowRatio*medianRatio(r.siblings) {
			m.eject(r, nil)
		}
	}
}

// isUnresponsive reports whether an attempt shows that a usable replica is unresponsive.
func (m *Machine) isUnresponsive(r *replica, at *attempt) bool {
	age, c := m.now-at.sentAt, at.part.query.class
	return age > scale(c.overdueAfter, unresponsivePart.overdueTimes) && // lateAfter is never shorter, and costs more
		r.usable() && !at.cancelled && !at.excused &&
		r.health.lastSuccess < at.sentAt && m.lastSuccess > at.sentAt &&
		age > m.lateAfter(r, c, unresponsivePart)
}

// replicasToWatch returns the replicas that this step may eject: all at a periodic rebalance, otherwise those with
// outstanding attempts, and none until the first of these attempts has been outstanding for long.
func (m *Machine) replicasToWatch() []*replica {
	periodic, w := m.shares.due(m.now), &m.responses
	if !periodic && !m.stalled && !m.shares.dirty && w.rebalances == m.shares.rebalances && m.now <= w.nextCheck {
		return nil
	}
	m.replicas.dropIdle()
	w.rebalances, w.nextCheck = m.shares.rebalances, m.now+idleCheckInterval
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
