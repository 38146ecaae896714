package overload

import (
	"cmp"
	"slices"
)

// MemoryLevel is what has to be done for want of memory. Each level includes what the lower ones do.
type MemoryLevel int

// The levels. Cached values go first, for they only save work. New queries are rejected before any admitted one is
// ended.
const (
	MemoryNormal MemoryLevel = iota // nothing
	DropCached                      // drop cached values
	RejectNew                       // reject new queries, protected ones excepted
	EndQueries                      // reject all new queries, and end admitted ones
)

// String returns what is done at the level.
func (m MemoryLevel) String() string {
	return [...]string{"normal", "dropping cached values", "rejecting new queries", "ending queries"}[m]
}

// enterFraction is the fraction of the memory from which a level holds.
var enterFraction = [...]float64{MemoryNormal: 0, DropCached: 0.6, RejectNew: 0.72, EndQueries: 0.85}

// leaveFactor is the fraction of the entering size below which a level ends: without the gap it would swing.
const leaveFactor = 0.9

// usedBytes is the memory in use. What is booked for queries counts at once, the live heap when the collector has
// seen it.
func (s Signals) usedBytes() int64 { return max(s.LiveBytes, s.QueryBytes) }

// next is the level after an observation, where the process may use limit bytes; 0 or less for no limit.
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

// ExcessBytes is how many bytes have to be freed for the level EndQueries to end; 0 at any other level.
func (c *Controller) ExcessBytes(s Signals) int64 {
	if c.memory < EndQueries {
		return 0
	}
	return max(0, s.usedBytes()-int64(leaveFactor*enterFraction[EndQueries]*float64(c.cfg.MemoryBytes)))
}

// OpenQuery is an open query as a candidate for being ended.
type OpenQuery struct {
	Bytes          int64   // bytes booked for the query
	PriorityWeight float64 // what its timely answer counts
	MayHaveRun     bool    // a part that must not run twice may have run: the client could not know whether it did
}

// minPriorityWeight keeps the division of bytes by weight finite.
const minPriorityWeight = 1e-9

// SelectQueriesToEnd returns the indices of the queries to end so that at least need bytes are freed. Those with the
// most bytes for their priority weight come first. A query that may have run is never selected, nor is one without
// bytes. The result frees fewer bytes where there are no more to select.
func SelectQueriesToEnd(list []OpenQuery, need int64) (selected []int) {
	var order []int
	for i, q := range list {
		if !q.MayHaveRun && q.Bytes > 0 {
			order = append(order, i)
		}
	}
	bytesForWeight := func(i int) float64 {
		return float64(list[i].Bytes) / max(list[i].PriorityWeight, minPriorityWeight)
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(bytesForWeight(y), bytesForWeight(x)) })
	for _, i := range order {
		if need <= 0 {
			break
		}
		need -= list[i].Bytes
		selected = append(selected, i)
	}
	return selected
}
