package core

import (
	"maps"
	"math"
	"slices"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// RelieveMemory applies a memory level, which may also mean that memory is no longer short. The Planner's retained
// values are dropped first; at a higher level, queries are ended that together take excess bytes. RelieveMemory waits
// while the queue is full, which can take long if a tick hangs.
func (c *Coordinator) RelieveMemory(level overload.MemoryLevel, excess int64) {
	c.post(memoryRelief{level, excess})
}

type memoryRelief struct {
	level  overload.MemoryLevel
	excess int64
}

func (m memoryRelief) apply(c *Coordinator) {
	if planner := c.cfg.Planner; planner != nil {
		if m.level >= overload.DropCached {
			planner.SetLimit(0)
		} else {
			planner.SetLimit(c.cfg.CacheBytes)
		}
	}
	if m.level < overload.EndQueries || m.excess <= 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(c.open.byID)) // sorted, so the same queries give the same choice
	var list []overload.OpenQuery
	for _, id := range ids {
		list = append(list, c.describeOpen(c.open.byID[id]))
	}
	for _, i := range overload.SelectQueriesToEnd(list, m.excess) {
		c.notify(scatter.QueryExpired{ID: ids[i]})
	}
}

// describeOpen describes an open query for SelectQueriesToEnd. If a part that must not run twice was sent, it may have
// run, and the client would not know whether it did. A query whose class is no longer in the settings counts as one
// that must not run twice.
func (c *Coordinator) describeOpen(q *query) overload.OpenQuery {
	o := overload.OpenQuery{Bytes: q.bytes, PriorityWeight: math.SmallestNonzeroFloat64}
	mustNotRunTwice := true
	if class := c.inForce().class(q.Class); class != nil {
		o.PriorityWeight = class.PriorityWeight
		mustNotRunTwice = class.Idempotency != scatter.Idempotent
	}
	sent := slices.ContainsFunc(q.parts, func(p *part) bool { return len(p.attempts) > 0 })
	o.MayHaveRun = mustNotRunTwice && sent
	return o
}
