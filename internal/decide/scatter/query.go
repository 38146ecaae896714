package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// weightSlack is the rounding error in sums of part weights, and the least share or rate that counts.
	weightSlack = 1e-6
	// WeightTolerance is by how much the weights of a query's parts may miss 1 in all for the rounding of decimals.
	// Sums within it count as 1; a caller need not hand over queries beyond it.
	WeightTolerance = 1e-3
)

// queryTable holds the queries and parts that are under way.
type queryTable struct {
	open     []*query // in order of arrival
	byID     map[string]*query
	byNumber map[int64]*query
	parts    map[string]*part // by id; a part stays until its last attempt has ended
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
	endBy            time.Duration // instant by which the query is ended; now where it is to be ended at once
	minWeight        float64       // least served weight for any answer
	parts            []*part       // of the present round
	admissionDecided bool
	closed           bool

	round              int     // 0, or 1 for the parts of a second round
	firstRoundComplete bool    // the answer to the first round was complete
	servedWeight       float64 // of the parts of this round that have been served
	lateDecided        bool    // whether to go on past the objective has been decided

	draws          draws // random numbers drawn for replicas by the picker
	slowStartDraws draws // and for replicas in slow start

	idleRebalance int           // the rebalance since which nothing has happened to it; negative where something has
	idleUntil     time.Duration // until then advancing it changes nothing
}

// draws are the random numbers that a query has drawn, one for each replica, so that its parts meet where they can.
type draws map[*replica]float64

// get is the number drawn for a replica; a first one comes from the given source.
func (d draws) get(r *replica, source func() float64) float64 {
	v, drawn := d[r]
	if !drawn {
		v = source()
		d[r] = v
	}
	return v
}

// part is the share of a query that one shard answers.
type part struct {
	PartArrived
	query            *query
	attempts         []*attempt
	outstandingCount int           // attempts that have not ended
	selected         bool          // it is asked for
	leftOut          bool          // it is not asked for: an answer without it will do
	served           bool          // its value is in
	mayHaveRun       bool          // some attempt may have run, or may run yet
	firstSent        time.Duration // when the first attempt that may have run was sent
	notBefore        time.Duration // no attempt until then
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
	cancelled      bool // its cancellation has been asked for
	toEjected      bool // sent to an ejected replica, whose recovery it shows: not cancelled with its query
	neverRan       bool // proven not to have run
	excused        bool // the coordinator itself was stalled while it was out: its time says nothing of its replica
	relieved       bool // a hedged request or another part has been sent for its lateness
}

// call is one message to a replica; the parts of one step to the same replica share it.
type call struct {
	step        int
	outstanding int // parts whose attempt has not ended
	size        int // parts that it carries
}

// normalizeWeights corrects the rounding of the parts' weights, so that a query with all parts served is complete.
// 48 weights of 0.020833 sum to 0.999984. Sums that are further off are no rounding and stay as they are.
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

// markDirty notes that something has happened to a query: advancing it may change something again.
func (q *query) markDirty() { q.idleRebalance = -1 }

// isIdle reports whether advancing a query would change nothing.
func (m *Machine) isIdle(q *query) bool {
	return q.idleRebalance == m.shares.rebalances && m.now < q.idleUntil
}

// updateIdle finds until when advancing a query changes nothing, as long as nothing happens to it and no rebalance
// comes: all parts that it waits for are out, and none is overdue.
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

// lastAttempt is the latest attempt of the part; nil if there was none.
func (p *part) lastAttempt() *attempt {
	if n := len(p.attempts); n > 0 {
		return p.attempts[n-1]
	}
	return nil
}

// triedAt reports whether an attempt of the part was ever sent to a replica.
func (p *part) triedAt(r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(at *attempt) bool { return at.replica == r })
}
