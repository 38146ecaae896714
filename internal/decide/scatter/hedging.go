package scatter

import "slices"

const (
	// hedgeShare is the share of parts that may get a hedged request.
	hedgeShare = 0.15
	// maxSavedHedges is how many hedged requests may accumulate unused: about the parts in flight at one replica when
	// it fails.
	maxSavedHedges = 10.0
	// hedgeMeans is how many usual means a part has to be out before it is hedged: what slows all replicas is load.
	hedgeMeans = 2.0

	// A part is lost, not slow, after lostOverdue overdue times and lostMeans usual means.
	lostOverdue = 1.5
	lostMeans   = 10.0
	// minLostShare is the least share of lostMeans that is waited for in a large fleet, where each coordinator finds a
	// silent replica by a query of its own.
	minLostShare = 0.5
)

// hedge sends what an overdue part calls for: another part of the query where not all are needed, else a hedged
// request. Both are bounded by an allowance, but for a query's last parts, without which the others would be lost.
func (m *Machine) hedge(p *part) {
	at := p.lastAttempt()
	if at == nil || m.now-at.sentAt < p.query.class.overdueAfter || p.outstandingCount != 1 ||
		m.now >= p.query.deadline {
		return
	}
	lost := m.isLost(at)
	unbounded := lost || p.query.servedWeight >= 1-hedgeShare
	if at.ended || at.cancelled || at.hedged || m.hedges.empty() && !unbounded ||
		m.now-at.sentAt < m.lateAfter(at.replica, p.query.class, 1, hedgeMeans) {
		return
	}
	target := p
	if other := p.query.unselectedPart(); other != nil {
		target = other
	}
	if lost && m.mayRetry(p) { // the retry goes out when this attempt has ended
		if !at.probe {
			m.hedges.take()
		}
		m.cancel(at)
	}
	if target == p && (!m.settings.Hedging || !m.mayRetry(p)) || at.cancelled {
		return
	}
	if r := m.pickReplica(target, true); r != nil {
		target.selected, at.hedged = true, true
		if !unbounded {
			m.hedges.take()
		}
		m.send(target, r)
	}
}

// isLost reports whether an overdue attempt is to be cancelled for a retry, where hedged requests are not allowed: a
// probe, or an attempt that has taken so long that it will not be answered.
func (m *Machine) isLost(at *attempt) bool {
	if m.settings.Hedging || !m.settings.Cancellation {
		return false
	}
	if at.probe {
		return true
	}
	c := at.part.query.class
	means := lostMeans * max(minLostShare, 1/m.placement.fleetFactor)
	return c.Idempotency == Idempotent && !at.excused && !m.hedges.empty() &&
		m.now-at.sentAt >= m.lateAfter(at.replica, c, lostOverdue, means)
}

// sparePart is a part of the query that has not been asked for and could be; nil where there is none.
func (q *query) unselectedPart() *part {
	i := slices.IndexFunc(q.parts, func(p *part) bool { return !p.selected && !p.skipped && !p.Deferred })
	if i < 0 {
		return nil
	}
	return q.parts[i]
}
