package scatter

import "time"

// onQueryArrived opens a query. Queries of an unknown class are rejected at once, without RetryAfter, but count for the
// retry budget.
func (m *Machine) onQueryArrived(e QueryArrived) {
	q := &query{QueryArrived: e, class: m.classes.byName[e.Class], draws: draws{}, slowStartDraws: draws{}}
	m.retries.countArrival(m.now)
	if q.class == nil {
		m.do(Reject{Query: e.ID})
		return
	}
	q.endBy = e.Expires - max(m.settings.TickInterval, time.Microsecond) // early: steps are at least a tick apart
	q.minWeight = q.class.MinFraction
	if e.RequireComplete {
		q.minWeight = q.class.CompleteFraction
	}
	q.answerDue = min(m.now+q.class.LatencyObjective, q.endBy)
	m.queries.add(q)
}

// onPartArrived adds a part to its query. A deferred part does not count as load on its shard yet, but counts at once
// for the allowances of hedged requests and probes and for the retry budget.
func (m *Machine) onPartArrived(e PartArrived) {
	q := m.queries.byNumber[e.Number]
	if q == nil { // closed already, or rejected for its class
		return
	}
	p := &part{PartArrived: e, query: q}
	q.markDirty()
	q.parts = append(q.parts, p)
	m.queries.parts[p.ID] = p
	if s := m.shardOf(e.Shard); !e.Deferred { // shardOf creates the shard for deferred parts too
		s.arrived[q.class.index]++
	}
	m.hedges.partArrived()
	m.probes.partArrived()
	m.retries.countArrival(m.now)
}

// onPartReleased ends the deferral of a part: the part may be sent or, if the caller has its value by other means, is
// marked as served.
func (m *Machine) onPartReleased(e PartReleased) {
	p := m.queries.parts[e.ID]
	if p == nil || p.served || p.query.closed {
		return
	}
	if p.Deferred && !e.Resolved {
		m.shardOf(p.Shard).arrived[p.query.class.index]++
	}
	p.query.markDirty()
	p.Deferred = false
	if e.Resolved {
		m.markServed(p)
	}
}

// markServed records that a part's value has arrived, and cancels its outstanding attempts.
func (m *Machine) markServed(p *part) {
	p.served = true
	p.query.servedWeight += p.Weight
	m.cancelAttempts(p)
}
