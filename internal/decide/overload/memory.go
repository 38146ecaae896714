package overload

import (
	"cmp"
	"slices"
)

// Memory is what has to be done for want of memory; each level does what those below it do.
type Memory int

// The levels. Retained values go first: they only save work. New work is refused before any that was taken is ended.
const (
	Fine Memory = iota
	DropRetained
	RefuseNew
	EndSome
)

func (m Memory) String() string {
	return [...]string{"fine", "dropping retained values", "refusing new work", "ending queries"}[m]
}

// Shares of the memory at which a level is entered. It is left at leaveShare of that.
var enter = [...]float64{Fine: 0, DropRetained: 0.6, RefuseNew: 0.72, EndSome: 0.85}

const leaveShare = 0.9

// next is the level after a look. What is held counts as soon as it is, the live heap when the collector has seen it.
func (m Memory) next(s Signals, limit int64) Memory {
	if limit <= 0 {
		return Fine
	}
	used := float64(max(s.Live, s.Held)) / float64(limit)
	for l := EndSome; l > m; l-- {
		if used >= enter[l] {
			return l
		}
	}
	for m > Fine && used < leaveShare*enter[m] {
		m--
	}
	return m
}

// Memory is the present level.
func (c *Controller) Memory() Memory { return c.memory }

// Excess is how many bytes have to go for the level EndSome to be left.
func (c *Controller) Excess(s Signals) int64 {
	if c.memory < EndSome {
		return 0
	}
	return max(0, max(s.Live, s.Held)-int64(leaveShare*enter[EndSome]*float64(c.cfg.Memory)))
}

// Holding is an open query and what is held for it.
type Holding struct {
	Bytes int64
	Worth float64
	Kept  bool // an attempt is out, or was, that may not be repeated
}

// Choose lists the queries to end so that at least need bytes go: those that hold most for least worth first, none
// that is kept. It may list fewer, where there are no more.
func Choose(list []Holding, need int64) (chosen []int) {
	var order []int
	for i, h := range list {
		if !h.Kept && h.Bytes > 0 {
			order = append(order, i)
		}
	}
	dear := func(i int) float64 { return float64(list[i].Bytes) / max(list[i].Worth, 1e-9) }
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
