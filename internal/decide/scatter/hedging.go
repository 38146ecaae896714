package scatter

import "slices"

const (
	// hedgeShare is the share of parts that may get a hedged request.
	hedgeShare = 0.15
	// maxSavedHedges is how many hedged requests may accumulate unused: about the parts in flight at one replica when
	// it fails.
	maxSavedHedges = 10.0
	// lastPartsWeight is the served weight of a query from which on its overdue parts are relieved without an
	// allowance: without these last parts the others would have been served in vain.
	lastPartsWeight = 0.85
	// minLostShare is the least share of lostPart's means that is waited for in a large fleet, where each coordinator
	// finds an unresponsive replica by a query of its own.
	minLostShare = 0.5
)

// relieveOverdue does what an overdue part calls for. Without hedged requests an attempt that may be cancelled for a
// retry is cancelled, and the retry goes out when it has ended. Else another part of the query is sent where not all
// are needed, or a hedged request of the same part. An allowance of tokens bounds all of this. No token is needed for a
// query's last parts, for cancelling an attempt at an ejected replica, and for what is sent beside an attempt that
// could be cancelled, but whose part may not be retried. A hedged request is bounded by the retry budget too. Each
// attempt is relieved once at most.
func (m *Machine) relieveOverdue(p *part) {
	c := p.query.class
	if p.outstandingCount != 1 || m.now >= p.query.endBy {
		return
	}
	at := p.lastAttempt()
	if m.now-at.sentAt < c.overdueAfter { // isLate is never sooner, and costs more
		return
	}
	mayCancel := m.mayCancelForRetry(at)
	needsNoToken := mayCancel || p.query.servedWeight >= lastPartsWeight
	if at.ended || at.cancelled || at.relieved || m.hedges.empty() && !needsNoToken || !m.isLate(at, overduePart) {
		return
	}
	if mayCancel && m.mayAttempt(p) {
		if !at.toEjected {
			m.hedges.take()
		}
		m.cancel(at)
		return
	}
	m.sendRelief(p, at, needsNoToken)
}

// sendRelief sends, beside an overdue attempt, another part of its query, or where all have been sent a hedged
// request of its own part.
func (m *Machine) sendRelief(p *part, overdue *attempt, needsNoToken bool) {
	target := p.query.unselectedPart()
	if target == nil {
		if !m.settings.Hedging || !m.mayAttempt(p) {
			return
		}
		target = p
	}
	r := m.pickReplica(target, true)
	if r == nil {
		return
	}
	target.selected, overdue.relieved = true, true
	if !needsNoToken {
		m.hedges.take()
	}
	m.send(target, r)
}

// mayCancelForRetry reports whether an overdue attempt may be cancelled for a retry, where hedged requests are not
// allowed: one at an ejected replica, or, while the allowance lasts, one that has taken so long that it will not be
// answered. A part that may not run twice is waited for.
func (m *Machine) mayCancelForRetry(at *attempt) bool {
	if m.settings.Hedging || !m.settings.Cancellation {
		return false
	}
	if at.toEjected {
		return true
	}
	lost := lostPart
	lost.meanTimes *= max(minLostShare, 1/m.placement.fleetFactor)
	return at.part.query.class.Idempotency == Idempotent && !at.excused && !m.hedges.empty() && m.isLate(at, lost)
}

// unselectedPart is a part of the query that has not been asked for and could be; nil where there is none.
func (q *query) unselectedPart() *part {
	i := slices.IndexFunc(q.parts, func(p *part) bool { return !p.selected && !p.leftOut && !p.Deferred })
	if i < 0 {
		return nil
	}
	return q.parts[i]
}
