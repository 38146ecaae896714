package overload

import (
	"cmp"
	"slices"
)

// MemoryLevel is what a coordinator does to free memory. Each level includes the actions of the lower levels.
type MemoryLevel int

// The levels. Cached values are dropped first because they only save work. New queries are rejected before any admitted
// query is ended.
const (
	MemoryNormal MemoryLevel = iota // do nothing
	DropCached                      // drop cached values
	RejectNew                       // reject new queries, except protected ones
	EndQueries                      // reject all new queries, and end admitted ones
)

// String returns the action taken at the level.
func (m MemoryLevel) String() string {
	return [...]string{"normal", "dropping cached values", "rejecting new queries", "ending queries"}[m]
}

// enterFraction is the fraction of the memory limit at which each level begins.
var enterFraction = [...]float64{MemoryNormal: 0, DropCached: 0.6, RejectNew: 0.72, EndQueries: 0.85}

// leaveFactor is the fraction of the memory use at which a level begins, below which it ends. The gap keeps the level
// from oscillating.
const leaveFactor = 0.9

// usedBytes returns the memory in use. It is the larger of two measures: the bytes accounted to queries are up to date,
// while the live heap is that of the last garbage collection.
func (s Signals) usedBytes() int64 { return max(s.LiveBytes, s.QueryBytes) }

// next returns the level after an observation. The process may use limit bytes; 0 or less means no limit.
func (m MemoryLevel) next(s Signals, limit int64) MemoryLevel {
	if limit <= 0 {
		return MemoryNormal
	}
	used := float64(s.usedBytes()) / float64(limit)
	for l := EndQueries; l > m; l-- {
		if used >= enterFraction[l] {
			return l
		}
	}
	for m > MemoryNormal && used < leaveFactor*enterFraction[m] {
		m--
	}
	return m
}

// rejects reports whether a new query is rejected at this level.
func (m MemoryLevel) rejects(protected bool) bool {
	return m == EndQueries || m == RejectNew && !protected
}

// MemoryLevel returns the present memory level.
func (c *Controller) MemoryLevel() MemoryLevel { return c.memory }

// ExcessBytes returns how many bytes have to be freed to leave the level EndQueries; 0 at any other level.
func (c *Controller) ExcessBytes(s Signals) int64 {
	if c.memory < EndQueries {
		return 0
	}
	return max(0, s.usedBytes()-int64(leaveFactor*enterFraction[EndQueries]*float64(c.cfg.MemoryBytes)))
}

// OpenQuery is an open query that may be selected to be ended.
type OpenQuery struct {
	Bytes          int64   // bytes accounted to the query
	PriorityWeight float64 // value of its timely answer
	MayHaveRun     bool    // a part that must not run twice may have run, and the client could not know whether it did
}

// minPriorityWeight keeps the division of bytes by weight finite.
const minPriorityWeight = 1e-9

// SelectQueriesToEnd returns the indices of the queries to end to free at least need bytes. It selects the queries with
// the most bytes per priority weight first. It never selects a query that may have run or that has no bytes. The
// selected queries free fewer bytes than need if there are no more to select.
func SelectQueriesToEnd(list []OpenQuery, need int64) (selected []int) {
	var order []int
	for i, q := range list {
		if !q.MayHaveRun && q.Bytes > 0 {
			order = append(order, i)
		}
	}
	bytesPerWeight := func(i int) float64 {
		return float64(list[i].Bytes) / max(list[i].PriorityWeight, minPriorityWeight)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(bytesPerWeight(y), bytesPerWeight(x)) })
	for _, i := range order {
		if need <= 0 {
			break
		}
		need -= list[i].Bytes
		selected = append(selected, i)
	}
	return selected
}
