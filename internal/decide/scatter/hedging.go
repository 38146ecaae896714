package scatter

import "slices"

const (
	// hedgeShare is the share of parts whose overdue attempt may be relieved: by a hedged request, by another part of
	// the query, or by a cancellation for a retry. Each part that arrives adds it to the tokens that these take.
	hedgeShare = 0.15
	// maxSavedHedges is how many unused tokens may accumulate: about the number of parts in flight at one replica when
	// it fails.
	maxSavedHedges = 10.0
	// lastPartsWeight is the served weight of a query from which on parts and hedged requests are sent beside its
	// overdue parts without a token of the allowance: if these last parts fail, the work for the other parts is wasted.
	// A cancellation still takes a token, unless the attempt is at an ejected replica.
	lastPartsWeight = 0.85
	// minLostShare is the least factor by which a large fleet shortens lostPart's meanTimes. Each coordinator there
	// finds an unresponsive replica with a query of its own.
	minLostShare = 0.5
)

// relieveOverdue handles a part with one outstanding attempt, if that is its latest attempt and is overdue; it relieves
// each attempt at most once. Without hedged requests, it cancels an attempt that may be cancelled for a retry; the
// retry is sent once the cancelled attempt has ended. Otherwise it sends another part of the query if the query does
// not need all of them, or else a hedged request of the same part, which the retry budget bounds too.
//
// An allowance of tokens bounds these cancellations and sends. No token is needed to send for a query's last parts
// (lastPartsWeight), to cancel an attempt at an ejected replica, or to send beside an attempt that mayCancelForRetry
// accepts but whose part may not be retried.
func (m *Machine) relieveOverdue(p *part) {
	c := p.query.class
	if p.outstandingCount != 1 || m.now >= p.query.endBy {
		return
	}
	at := p.lastAttempt()
	if m.now-at.sentAt < c.overdueAfter { // isLate is never true before, and costs more
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

// sendRelief sends another part of the query beside an overdue attempt, or, if none is left to send, a hedged request
// of the same part.
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

// mayCancelForRetry reports whether an overdue attempt may be cancelled for a retry, which replaces hedged requests
// where these are not allowed. It may be cancelled if it is at an ejected replica, or, while the allowance lasts, if it
// has taken so long that no answer is expected. In the latter case only parts of Idempotent classes are cancelled;
// others are waited for, as they may not run twice.
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

// unselectedPart returns a part of the query that is not selected and may be sent; nil if there is none.
func (q *query) unselectedPart() *part {
	i := slices.IndexFunc(q.parts, func(p *part) bool { return !p.selected && !p.leftOut && !p.Deferred })
	if i < 0 {
		return nil
	}
	return q.parts[i]
}
