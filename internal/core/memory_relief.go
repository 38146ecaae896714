package core

import (
	"maps"
	"math"
	"slices"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// RelieveMemory tells how short memory runs, or that it does no more. Values that the Planner retains go first; then
// queries are ended that take excess bytes together. It waits while the queue is full.
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
	ids := slices.Sorted(maps.Keys(c.open.byID)) // the choice is the same for the same queries
	var list []overload.OpenQuery
	for _, id := range ids {
		list = append(list, c.describeOpen(c.open.byID[id]))
	}
	for _, i := range overload.SelectQueriesToEnd(list, m.excess) {
		c.notify(scatter.QueryExpired{ID: ids[i]})
	}
}

// describeOpen is a query as it is chosen among. Where a part that must not run twice was sent, it may have run, and the
// client would not know whether it did. A class that the settings have dropped counts as one that must not run twice.
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
