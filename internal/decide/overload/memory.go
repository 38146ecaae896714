package overload

import (
	"cmp"
	"slices"
)

// MemoryLevel is what has to be done for want of memory; each level does what those below it do.
type MemoryLevel int

// The levels. Retained values go first: they only save work. New work is refused before any that was taken is ended.
const (
	MemoryNormal MemoryLevel = iota
	DropCached
	RejectNew
	EndQueries
)

func (m MemoryLevel) String() string {
	return [...]string{"fine", "dropping retained values", "refusing new work", "ending queries"}[m]
}

// Shares of the memory at which a level is entered. It is left at leaveShare of that.
var enter = [...]float64{MemoryNormal: 0, DropCached: 0.6, RejectNew: 0.72, EndQueries: 0.85}

const leaveShare = 0.9

// next is the level after a look. What is held counts as soon as it is, the live heap when the collector has seen it.
func (m MemoryLevel) next(s Signals, limit int64) MemoryLevel {
	if limit <= 0 {
		return MemoryNormal
	}
	used := float64(max(s.LiveBytes, s.QueryBytes)) / float64(limit)
	for l := EndQueries; l > m; l-- {
		if used >= enter[l] {
			return l
		}
	}
	for m > MemoryNormal && used < leaveShare*enter[m] {
		m--
	}
	return m
}

// MemoryLevel is the present level.
func (c *Controller) MemoryLevel() MemoryLevel { return c.memory }

// Excess is how many bytes have to go for the level EndSome to be left.
func (c *Controller) Excess(s Signals) int64 {
	if c.memory < EndQueries {
		return 0
	}
	return max(0, max(s.LiveBytes, s.QueryBytes)-int64(leaveShare*enter[EndQueries]*float64(c.cfg.MemoryBytes)))
}

// OpenQuery is an open query and what is held for it.
type OpenQuery struct {
	Bytes          int64
	PriorityWeight float64
	Protected      bool // an attempt is out, or was, that may not be repeated
}

// SelectQueriesToEnd lists the queries to end so that at least need bytes go: those that hold most for least worth first, none
// that is kept. It may list fewer, where there are no more.
func SelectQueriesToEnd(list []OpenQuery, need int64) (chosen []int) {
	var order []int
	for i, h := range list {
		if !h.Protected && h.Bytes > 0 {
			order = append(order, i)
		}
	}
	dear := func(i int) float64 { return float64(list[i].Bytes) / max(list[i].PriorityWeight, 1e-9) }
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(dear(y), dear(x)) })
	for _, i := range order {
		if need <= 0 {
			break
		}
		need -= list[i].Bytes
		chosen = append(chosen, i)
	}
	return chosen
}
