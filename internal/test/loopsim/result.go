package loopsim

import (
	"slices"
	"time"
)

// Tally is what came of a kind of traffic. Its counts are of queries; the retries of a client belong to its first
// attempt.
type Tally struct {
	Arrived       float64 // queries whose first attempt arrived
	Served        float64 // queries finished within the latency objective
	Late          float64 // queries finished after the latency objective
	Rejected      float64 // queries whose last attempt was rejected
	EarnedWeight  float64 // priority weight of the served queries; quotas reduce it for tenants and for the total
	OfferedWeight float64 // priority weight of the queries that arrived; quotas reduce it for tenants and for the total
}

// sliceTime is the span that one element of Result.Attempts and Result.Rejections counts.
const sliceTime = 100 * time.Millisecond

// Result is what came of a Simulation.
type Result struct {
	ByClass, ByTenant map[string]*Tally
	Total             Tally
	Waits             []time.Duration // how long each admitted attempt waited for the loop, in order of arrival
	WaitedFrom        []time.Duration // when each of the Waits began
	Attempts          []int           // attempts by the slice of sliceTime in which they arrived, retries included
	Rejections        []int           // rejected attempts by the slice of sliceTime in which they arrived
}

func newResult(span time.Duration) *Result {
	slices := int(span/sliceTime) + 1
	return &Result{
		ByClass: map[string]*Tally{}, ByTenant: map[string]*Tally{},
		Attempts: make([]int, slices), Rejections: make([]int, slices),
	}
}

// WaitQuantile returns a quantile, from 0 to 1, of the waits for the loop that began at or after from and before to. It
// is 0 if there were none.
func (r *Result) WaitQuantile(quantile float64, from, to time.Duration) time.Duration {
	var waits []time.Duration
	for i, at := range r.WaitedFrom {
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

// tallies returns the tallies that a query of a load counts for.
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

func (r *Result) countAttempt(at time.Duration) { countSlice(r.Attempts, at) }

func (r *Result) countRejection(at time.Duration) { countSlice(r.Rejections, at) }

// countSlice counts an event in its slice. Events after the last slice are not counted.
func countSlice(counts []int, at time.Duration) {
	if i := int(at / sliceTime); i < len(counts) {
		counts[i]++
	}
}
