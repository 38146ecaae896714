package scatter

import (
	"cmp"
	"slices"
	"time"
)

// answerTicks is how many ticks an answer is assumed to need to reach its client.
const answerTicks = 4

// continueLateBelow is the predicted latency, as a share of the objective, up to which a query continues after it has
// missed its objective. Above it, the late answer would make other queries miss theirs.
const continueLateBelow = 0.25

// advance does what a query needs now: it answers or ends the query, sends missing attempts, and relieves overdue
// parts.
func (m *Machine) advance(q *query) {
	complete, least := q.requiredWeights()
	m.decidePastObjective(q)
	if len(q.parts) > 0 && q.servedWeight >= complete-weightSlack {
		m.answer(q, q.round == 0 || q.firstRoundComplete)
		return
	}
	m.selectParts(q, complete)
	reachable := m.sendMissingAttempts(q)
	if m.endQuery(q, reachable, complete, least) {
		return
	}
	for _, p := range q.parts {
		if p.selected && !p.served {
			m.relieveOverdue(p)
		}
	}
}

// requiredWeights returns the served weights from which the present round's answer is complete, and from which any
// answer is allowed.
func (q *query) requiredWeights() (complete, least float64) {
	complete, least = q.class.CompleteFraction, min(q.minWeight, q.class.CompleteFraction)
	if q.round == 0 {
		return complete, least
	}
	if q.minWeight >= q.class.CompleteFraction {
		least = 1
	}
	return 1, least
}

// decidePastObjective ends a query one tick before its answer is due, unless its class gives weight to late answers and
// the predicted latency is so low that continuing makes no other query miss its own objective.
func (m *Machine) decidePastObjective(q *query) {
	if q.lateDecided || m.now < q.answerDue-m.settings.TickInterval {
		return
	}
	q.lateDecided = true
	limit := continueLateBelow * q.class.LatencyObjective.Seconds()
	if q.class.LateWeight <= 0 || m.predictLatency(q) > limit {
		q.endBy = m.now
	}
}

// selectParts marks the parts to send: the quickest ones that make a complete answer, and replacements for those that
// can no longer be served.
func (m *Machine) selectParts(q *query, complete float64) {
	sum := q.servedWeight
	var unselected []*part
	for _, p := range q.parts {
		if !p.selected && !p.leftOut {
			unselected = append(unselected, p)
		} else if p.selected && !p.served && m.canStillBeServed(p) {
			sum += p.Weight
		}
	}
	if complete < 1 && sum < complete-weightSlack {
		slices.SortStableFunc(unselected, m.byExpectedLatency)
	}
	for _, p := range unselected {
		if sum < complete-weightSlack {
			p.selected = true
			sum += p.Weight
		}
	}
}

// byExpectedLatency orders parts by their expected latency.
func (m *Machine) byExpectedLatency(x, y *part) int {
	return cmp.Compare(m.expectedLatency(x), m.expectedLatency(y))
}

// canStillBeServed reports whether a part can still be served: an attempt is outstanding, or one may begin now. A part
// whose next attempt may not begin, even only because the retry budget is spent, is taken to be never served, so that a
// query that needs it ends at once.
func (m *Machine) canStillBeServed(p *part) bool { return p.outstanding() || m.mayAttempt(p) }

// sendMissingAttempts sends the selected parts that have no outstanding attempt, and returns the weight that the query
// can still reach.
func (m *Machine) sendMissingAttempts(q *query) (reachable float64) {
	reachable = q.servedWeight
	for _, p := range q.parts {
		if !p.served && !p.leftOut && m.canStillBeServed(p) {
			reachable += p.Weight
		}
		if m.needsAttempt(p) {
			m.sendPart(p)
		}
	}
	return reachable
}

// needsAttempt reports whether an attempt of a part has to begin now.
func (m *Machine) needsAttempt(p *part) bool {
	return p.selected && !p.Deferred && !p.served && !p.outstanding() && m.mayAttempt(p) &&
		m.now < p.query.endBy && m.now >= p.notBefore
}

// endQuery answers a query in part or gives it up when that is due, and reports whether it did. complete and least are
// the weights from requiredWeights. If the served weight is enough for least, the query is answered at endBy, at
// answerBy, or once nothing more can be served and a complete answer is out of reach. Otherwise it is given up at
// endBy, or once least is out of reach. servedWeight > 0 prevents an empty answer where MinFraction is 0.
func (m *Machine) endQuery(q *query, reachable, complete, least float64) (ended bool) {
	expired := m.now >= q.endBy
	enough := q.servedWeight > 0 && q.servedWeight >= least-weightSlack
	cannotComplete := len(q.parts) > 0 && reachable < complete-weightSlack // a second round begins without parts
	switch {
	case enough && (expired || m.now >= m.answerBy(q) || cannotComplete && q.servedWeight >= reachable-weightSlack):
		m.answer(q, false)
		return true
	case expired || cannotComplete && reachable < least-weightSlack:
		m.giveUp(q)
		return true
	}
	return false
}

// answerBy returns when a query is answered with the parts served so far: before its answer is due by answerTicks, the
// time that the answer takes to its client, and, if a second round follows, also by overdueAfter, the time of a slow
// part of that round.
func (m *Machine) answerBy(q *query) time.Duration {
	by := q.answerDue - answerTicks*m.settings.TickInterval
	if q.round == 0 && q.class.SecondRoundParts > 0 {
		by -= q.class.overdueAfter
	}
	return by
}

// answer answers a query from the parts served so far. After the first of two rounds the query stays open for the parts
// of the second.
func (m *Machine) answer(q *query, complete bool) {
	m.do(Answer{Query: q.ID, Complete: complete})
	if q.round > 0 || q.class.SecondRoundParts == 0 {
		m.closeQuery(q)
		return
	}
	for _, p := range q.parts {
		m.cancelAttempts(p)
	}
	q.round, q.firstRoundComplete = 1, complete
	q.servedWeight, q.parts, q.admissionDecided = 0, nil, true
}

// giveUp ends a query without an answer: it is rejected if the client may safely retry it, and fails otherwise. A
// second round always fails, as the client has the first round's answer.
func (m *Machine) giveUp(q *query) {
	mayHaveEffect := func(p *part) bool { return p.mayHaveRun && q.class.Idempotency != Idempotent }
	if q.round > 0 || slices.ContainsFunc(q.parts, mayHaveEffect) {
		m.do(Fail{Query: q.ID})
	} else {
		m.do(Reject{Query: q.ID, RetryAfter: m.settings.RetryAfter})
	}
	m.closeQuery(q)
}

// closeQuery removes a query and cancels its attempts as far as cancelAttempts does: not those to ejected replicas, and
// none without Cancellation.
func (m *Machine) closeQuery(q *query) {
	q.closed = true
	m.queries.remove(q)
	for _, p := range q.parts {
		m.cancelAttempts(p)
	}
}
