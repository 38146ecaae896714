package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"harepass"
	"harepass/internal/decide/overload"
)

// This file is what the owner does so that it does not fall behind, and what it tells for others to judge that.

// Gate refuses queries before they reach the owner. Its methods must not block.
type Gate interface {
	// Admit is called by any goroutine, once for each query.
	Admit(overload.Arrival) (ok bool, retryIn time.Duration)
	// Turn is called by the owner at the end of a turn, Done when an admitted query has had its answer.
	Turn(Turn)
	Done(parts int)
}

// Turn tells of one turn of the owner, or of several.
type Turn struct {
	Wait  time.Duration // of all messages and deadlines, from when they were due to the turn's begin
	Worst time.Duration // of one
	Count int
	Took  time.Duration
	Open  float64 // queries and parts, of those that may be open; 0 where there is no limit
	Held  int64   // bytes
}

// What a query and a part take in the maps of owner and module, besides texts and values; measured on a heap of
// 10,000 queries, rounded up.
const (
	queryBytes = 2 << 10
	partBytes  = 1 << 10
)

// Admit asks the gate, for fronts that know enough of a query before they have read all of it. A query that was
// admitted so has to say it.
func (o *Owner) Admit(a overload.Arrival) (ok bool, retryIn time.Duration) {
	if o.cfg.Gate == nil {
		return true, 0
	}
	if ok, retryIn = o.cfg.Gate.Admit(a); !ok {
		refusedOverload.Inc()
	}
	if o.set().RetryAdvice == 0 { // clients are not to be told
		retryIn = 0
	}
	return ok, retryIn
}

// Turning is how long the present turn has taken so far; for any goroutine. A turn that does not end tells nothing.
func (o *Owner) Turning() time.Duration {
	if began := o.began.Load(); began > 0 {
		return max(0, o.cfg.Clock()-time.Duration(began))
	}
	return 0
}

// wait books how late something was.
func (o *Owner) wait(late time.Duration) {
	late = max(0, late)
	o.waited.Wait += late
	o.waited.Worst = max(o.waited.Worst, late)
	o.waited.Count++
}

// tell reports the turn to the gate.
func (o *Owner) tell() {
	if o.cfg.Gate == nil {
		return
	}
	t := o.waited
	o.waited = Turn{}
	t.Took, t.Held = o.cfg.Clock()-o.now, o.bytes
	if most := o.most(); most > 0 {
		t.Open = float64(o.held) / float64(most)
	}
	o.cfg.Gate.Turn(t)
}

// hold books bytes held for an open query.
func (o *Owner) hold(q *query, bytes int64) {
	q.bytes += bytes
	o.bytes += bytes
}

// Squeeze tells the owner that memory runs short, or that it does no more: retained values go first, then as
// many queries are ended as hold so many bytes.
func (o *Owner) Squeeze(m overload.Memory, excess int64) { o.post(squeezed{m, excess}) }

type squeezed struct {
	memory overload.Memory
	excess int64
}

func (m squeezed) apply(o *Owner) {
	if p := o.cfg.Planner; p != nil {
		if m.memory >= overload.DropRetained {
			p.Limit(0)
		} else {
			p.Limit(o.cfg.Retained)
		}
	}
	if m.memory < overload.EndSome || m.excess <= 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(o.queries)) // the same choice every time
	var list []overload.Holding
	for _, id := range ids {
		list = append(list, o.holding(o.queries[id]))
	}
	for _, i := range overload.Choose(list, m.excess) {
		o.events = append(o.events, harepass.QueryDue{ID: ids[i]})
	}
}

// holding is a query as it is to be chosen among: kept where a part may have run that must not run twice, for its
// client would not know whether it did.
func (o *Owner) holding(q *query) overload.Holding {
	h := overload.Holding{Bytes: q.bytes, Worth: math.SmallestNonzeroFloat64}
	if c := o.set().class(q.Class); c != nil {
		h.Worth = c.Worth
		h.Kept = c.Repeat != harepass.Free
	} else { // of settings that are over
		h.Kept = true
	}
	if h.Kept {
		h.Kept = slices.ContainsFunc(q.parts, func(p *part) bool { return len(p.attempts) > 0 })
	}
	return h
}
