package loopsim

import (
	"slices"
	"time"
)

// Tally is what came of a kind of traffic.
type Tally struct {
	Asked, Served, Refused, Late float64 // queries; a client's retries belong to its first try
	Worth, Most                  float64 // by class, as if all lay within the shares
}

// sliceTime is the span that one element of Result's Tries and Denied counts.
const sliceTime = 100 * time.Millisecond

// Result is what came of a Rush.
type Result struct {
	ByClass, ByTenant map[string]*Tally
	Total             Tally
	Waits             []time.Duration // for the loop, in order of time
	At                []time.Duration // when each of them began
	Tries             []int           // arrivals by tenths of a second, retries included
	Denied            []int           // and those of them refused
}

func newResult(span time.Duration) *Result {
	slices := int(span/sliceTime) + 1
	return &Result{ByClass: map[string]*Tally{}, ByTenant: map[string]*Tally{}, Tries: make([]int, slices), Denied: make([]int, slices)}
}

// Wait is a quantile of the waits for the loop between two instants.
func (r *Result) Wait(quantile float64, from, to time.Duration) time.Duration {
	var waits []time.Duration
	for i, at := range r.At {
		if at >= from && at < to {
			waits = append(waits, r.Waits[i])
		}
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(quantile*float64(len(waits))))]
}

// tallies are those that a query of a load counts for.
func (r *Result) tallies(l *Load) []*Tally {
	return []*Tally{tallyOf(r.ByClass, l.Class), tallyOf(r.ByTenant, l.Tenant), &r.Total}
}

func tallyOf(tallies map[string]*Tally, name string) *Tally {
	t := tallies[name]
	if t == nil {
		t = &Tally{}
		tallies[name] = t
	}
	return t
}

func (r *Result) countTry(at time.Duration) { countSlice(r.Tries, at) }

func (r *Result) countDenied(at time.Duration) { countSlice(r.Denied, at) }

// countSlice counts what lies within the slices; retries may come after them.
func countSlice(counts []int, at time.Duration) {
	if i := int(at / sliceTime); i < len(counts) {
		counts[i]++
	}
}
