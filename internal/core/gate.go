package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// This file is what the owner does so that it does not fall behind, and what it tells for others to judge that.

// Admitter refuses queries before they reach the owner. Its methods must not block.
type Admitter interface {
	// Admit is called by any goroutine, once for each query.
	Admit(overload.Arrival) (ok bool, retryIn time.Duration)
	// Turn is called by the owner at the end of a turn, Done when an admitted query has had its answer.
	ObserveTick(Tick)
	QueryDone(parts int)
}

// Tick tells of one turn of the owner, or of several.
type Tick struct {
	TotalWait    time.Duration // of all messages and deadlines, from when they were due to the turn's begin
	MaxWait      time.Duration // of one
	Count        int
	Duration     time.Duration
	OpenFraction float64 // queries and parts, of those that may be open; 0 where there is no limit
	QueryBytes   int64   // bytes
}

// What a query and a part take in the maps of owner and module, besides texts and values; measured on a heap of
// 10,000 queries, rounded up.
const (
	queryBytes = 2 << 10
	partBytes  = 1 << 10
)

// Admit asks the gate, for fronts that know enough of a query before they have read all of it. A query that was
// admitted so has to say it.
func (o *Coordinator) Admit(a overload.Arrival) (ok bool, retryIn time.Duration) {
	if o.cfg.Admitter == nil {
		return true, 0
	}
	if ok, retryIn = o.cfg.Admitter.Admit(a); !ok {
		refusedOverload.Inc()
	}
	if o.set().RetryAfter == 0 { // clients are not to be told
		retryIn = 0
	}
	return ok, retryIn
}

// TickElapsed is how long the present turn has taken so far; for any goroutine. A turn that does not end tells nothing.
func (o *Coordinator) TickElapsed() time.Duration {
	if began := o.began.Load(); began > 0 {
		return max(0, o.cfg.Clock()-time.Duration(began))
	}
	return 0
}

// wait books how late something was.
func (o *Coordinator) wait(late time.Duration) {
	late = max(0, late)
	o.waited.TotalWait += late
	o.waited.MaxWait = max(o.waited.MaxWait, late)
	o.waited.Count++
}

// tell reports the turn to the gate.
func (o *Coordinator) tell() {
	if o.cfg.Admitter == nil {
		return
	}
	t := o.waited
	o.waited = Tick{}
	t.Duration, t.QueryBytes = o.cfg.Clock()-o.now, o.bytes
	if most := o.most(); most > 0 {
		t.OpenFraction = float64(o.held) / float64(most)
	}
	o.cfg.Admitter.ObserveTick(t)
}

// hold books bytes held for an open query.
func (o *Coordinator) hold(q *query, bytes int64) {
	q.bytes += bytes
	o.bytes += bytes
}

// RelieveMemory tells the owner that memory runs short, or that it does no more: retained values go first, then as
// many queries are ended as hold so many bytes.
func (o *Coordinator) RelieveMemory(m overload.MemoryLevel, excess int64) {
	o.post(squeezed{m, excess})
}

type squeezed struct {
	memory overload.MemoryLevel
	excess int64
}

func (m squeezed) apply(o *Coordinator) {
	if p := o.cfg.Planner; p != nil {
		if m.memory >= overload.DropCached {
			p.SetLimit(0)
		} else {
			p.SetLimit(o.cfg.CacheBytes)
		}
	}
	if m.memory < overload.EndQueries || m.excess <= 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(o.queries)) // the same choice every time
	var list []overload.OpenQuery
	for _, id := range ids {
		list = append(list, o.holding(o.queries[id]))
	}
	for _, i := range overload.SelectQueriesToEnd(list, m.excess) {
		o.events = append(o.events, scatter.QueryExpired{ID: ids[i]})
	}
}

// holding is a query as it is to be chosen among: kept where a part may have run that must not run twice, for its
// client would not know whether it did.
func (o *Coordinator) holding(q *query) overload.OpenQuery {
	h := overload.OpenQuery{Bytes: q.bytes, PriorityWeight: math.SmallestNonzeroFloat64}
	if c := o.set().class(q.Class); c != nil {
		h.PriorityWeight = c.PriorityWeight
		h.Protected = c.Idempotency != scatter.Idempotent
	} else { // of settings that are over
		h.Protected = true
	}
	if h.Protected {
		h.Protected = slices.ContainsFunc(q.parts, func(p *part) bool { return len(p.attempts) > 0 })
	}
	return h
}
