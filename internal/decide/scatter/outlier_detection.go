package scatter

import "time"

const (
	// slowRatio is how many times its siblings' median latency ratio makes a replica an outlier.
	slowRatio = 3.0
	// noLookDue is how long no look is due where no attempt is outstanding: longer than any attempt takes.
	noLookDue = 24 * time.Hour
)

// responseWatch says when outstanding attempts are to be looked at next.
type responseWatch struct {
	nextLook   time.Duration // before then no outstanding attempt can show its replica to be unresponsive
	rebalances int           // the rebalance that this is of
}

// watch takes a new attempt into account.
func (w *responseWatch) watch(at *attempt) { w.nextLook = min(w.nextLook, at.unresponsiveFrom()) }

// unresponsiveFrom is from when on an attempt can show its replica to be unresponsive.
func (at *attempt) unresponsiveFrom() time.Duration {
	return at.sentAt + scale(at.part.query.class.overdueAfter, unresponsivePart.overdueTimes)
}

// detectOutliers ejects the unresponsive replicas, and at each periodic rebalance the slow ones. An unresponsive
// replica has had a part for long, and has answered nothing since that was sent, though others have.
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

// isUnresponsive reports whether an attempt shows a usable replica to be unresponsive.
func (m *Machine) isUnresponsive(r *replica, at *attempt) bool {
	out, c := m.now-at.sentAt, at.part.query.class
	return out > scale(c.overdueAfter, unresponsivePart.overdueTimes) && // lateAfter is no sooner
		r.usable() && !at.cancelled && !at.excused &&
		r.health.lastSuccess < at.sentAt && m.lastSuccess > at.sentAt &&
		out > m.lateAfter(r, c, unresponsivePart)
}

// replicasToWatch lists the replicas that this step may eject: those with attempts out, none before the first of these
// has been out for long, and at a periodic rebalance all.
func (m *Machine) replicasToWatch() []*replica {
	periodic, w := m.shares.due(m.now), &m.responses
	if !periodic && !m.stalled && !m.shares.dirty && w.rebalances == m.shares.rebalances && m.now <= w.nextLook {
		return nil
	}
	m.replicas.dropIdle()
	w.rebalances, w.nextLook = m.shares.rebalances, m.now+noLookDue
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
