package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// weightSlack is the tolerance for rounding errors in sums of part weights, and the least value that a share or
	// rate counts as.
	weightSlack = 1e-6
	// WeightTolerance is how far the sum of a query's part weights may be from 1 by the rounding of decimals. Sums
	// within it count as 1; a caller need not pass on queries beyond it.
	WeightTolerance = 1e-3
)

// queryTable holds the open queries, and the parts that are in progress.
type queryTable struct {
	open     []*query // in order of arrival
	byID     map[string]*query
	byNumber map[int64]*query
	parts    map[string]*part // by id; a part is kept until its last attempt has ended
}

func newQueryTable() queryTable {
	return queryTable{byID: map[string]*query{}, byNumber: map[int64]*query{}, parts: map[string]*part{}}
}

func (t *queryTable) add(q *query) {
	t.open = append(t.open, q)
	t.byID[q.ID], t.byNumber[q.Number] = q, q
}

func (t *queryTable) remove(q *query) {
	delete(t.byID, q.ID)
	delete(t.byNumber, q.Number)
}

// query is an open query.
type query struct {
	QueryArrived
	class            *class
	answerDue        time.Duration // instant at which the answer is due by the latency objective
	endBy            time.Duration // instant by which the query is ended; set to the present to end it at once
	minWeight        float64       // least served weight for any answer
	parts            []*part       // parts of the present round
	admissionDecided bool
	closed           bool

	round              int     // 0, or 1 for the parts of a second round
	firstRoundComplete bool    // the answer to the first round was complete
	servedWeight       float64 // of the parts of this round that have been served
	lateDecided        bool    // it has been decided whether to continue past the objective

	draws          draws // random numbers that the picker drew for replicas
	slowStartDraws draws // numbers drawn for replicas in slow start

	idleRebalance int           // count of rebalances for which idleUntil holds; negative after an event
	idleUntil     time.Duration // until then advancing the query changes nothing
}

// draws are the random numbers that a query has drawn, one for each replica. Its parts share them, so that they go to
// the same replicas where possible.
type draws map[*replica]float64

// get returns the number drawn for a replica. The first call for a replica takes it from source.
func (d draws) get(r *replica, source func() float64) float64 {
	v, drawn := d[r]
	if !drawn {
		v = source()
		d[r] = v
	}
	return v
}

// part is the portion of a query that one shard answers.
type part struct {
	PartArrived
	query            *query
	attempts         []*attempt
	outstandingCount int           // attempts that have not ended
	selected         bool          // it is to be sent
	leftOut          bool          // it is never sent: an answer without it is enough
	served           bool          // its value has arrived
	mayHaveRun       bool          // some attempt may have run, or may still run
	firstSent        time.Duration // when the first attempt that may have run was sent
	notBefore        time.Duration // no attempt starts before then
}

// attempt is one send of a part to a replica.
type attempt struct {
	part           *part
	number         int
	replica        *replica
	call           *call
	sentAt         time.Duration
	connectionIdle time.Duration // how long its connection had been unused when it was sent
	ended          bool
	cancelled      bool // its cancellation has been requested
	toEjected      bool // sent to an ejected replica: not cancelled with its query, as it shows recovery
	neverRan       bool // proven not to have run
	excused        bool // outstanding while the coordinator was stalled: not evidence against the replica
	relieved       bool // a hedged request or another part has been sent because it was overdue
}

// call is one message to a replica. Parts that one step sends to the same replica share it.
type call struct {
	step        int
	outstanding int // parts whose attempt has not ended
	size        int // parts that it carries
}

// normalizeWeights removes rounding errors from the parts' weights, so that a query with all parts served is complete:
// 48 weights of 0.020833 sum to 0.999984. A sum further from 1 than WeightTolerance is no rounding error and is left as
// it is.
func (q *query) normalizeWeights() {
	sum := 0.0
	for _, p := range q.parts {
		sum += p.Weight
	}
	if sum == 1 || math.Abs(sum-1) > WeightTolerance {
		return
	}
	for _, p := range q.parts {
		p.Weight /= sum
	}
}

// markDirty records that something has happened to a query, so that advancing it may change something again.
func (q *query) markDirty() { q.idleRebalance = -1 }

// isIdle reports whether advancing a query would change nothing.
func (m *Machine) isIdle(q *query) bool {
	return q.idleRebalance == m.shares.rebalances && m.now < q.idleUntil
}

// updateIdle computes until when advancing a query changes nothing, provided that no event concerns it and no rebalance
// takes place: until one of its attempts becomes overdue or the query's answer or end is due. A query that still has to
// send a part is not idle.
func (m *Machine) updateIdle(q *query) {
	q.idleRebalance = m.shares.rebalances
	q.idleUntil = min(q.endBy, m.answerBy(q), q.answerDue-m.settings.TickInterval)
	for _, p := range q.parts {
		if !p.selected || p.served || p.Deferred {
			continue
		}
		if !p.outstanding() {
			q.markDirty()
			return
		}
		q.idleUntil = min(q.idleUntil, p.lastAttempt().sentAt+q.class.overdueAfter)
	}
}

// outstanding reports whether an attempt of the part has not ended.
func (p *part) outstanding() bool { return p.outstandingCount > 0 }

// lastAttempt returns the latest attempt of the part; nil if there is none.
func (p *part) lastAttempt() *attempt {
	if n := len(p.attempts); n > 0 {
		return p.attempts[n-1]
	}
	return nil
}

// triedAt reports whether any attempt of the part has been sent to a replica.
func (p *part) triedAt(r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(at *attempt) bool { return at.replica == r })
}
