package core

import (
	"maps"
	"math"
	"slices"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// RelieveMemory reports how short memory runs, or that it does no more. Values that the Planner retains go first; then
// queries are ended that take excess bytes together. It waits while the queue is full; a tick that hangs can make
// that long.
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

// describeOpen is a query as it is chosen among. One of which a part may have run that must not run twice is protected:
// its client would not know whether it did. So is one of a class that the settings have dropped.
func (c *Coordinator) describeOpen(q *query) overload.OpenQuery {
	o := overload.OpenQuery{Bytes: q.bytes, PriorityWeight: math.SmallestNonzeroFloat64, Protected: true}
	if class := c.inForce().class(q.Class); class != nil {
		o.PriorityWeight = class.PriorityWeight
		o.Protected = class.Idempotency != scatter.Idempotent
	}
	sent := slices.ContainsFunc(q.parts, func(p *part) bool { return len(p.attempts) > 0 })
	o.Protected = o.Protected && sent
	return o
}
