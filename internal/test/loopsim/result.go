package loopsim

import (
	"slices"
	"time"
)

// Tally counts the outcomes of one kind of traffic. It counts queries rather than attempts: a query's retries belong to
// its first attempt.
type Tally struct {
	Arrived       float64 // queries whose first attempt arrived
	Served        float64 // queries finished within the latency objective
	Late          float64 // queries finished after the latency objective
	Rejected      float64 // queries whose last attempt was rejected
	EarnedWeight  float64 // priority weight of the served queries, reduced by quotas in tenants' tallies and the total
	OfferedWeight float64 // priority weight of the queries that arrived, reduced likewise
}

// sliceTime is the span of time that one element of Result.Attempts and Result.Rejections covers.
const sliceTime = 100 * time.Millisecond

// Result holds the counts and the waits of one Simulation.Run.
type Result struct {
	ByClass, ByTenant map[string]*Tally
	Total             Tally
	Waits             []time.Duration // wait of each admitted attempt for the loop, in order of arrival
	WaitedFrom        []time.Duration // start of each of the Waits
	Attempts          []int           // attempts, retries included, by the slice of sliceTime of their arrival
	Rejections        []int           // rejected attempts, by the slice of sliceTime of their arrival
}

func newResult(span time.Duration) *Result {
	slices := int(span/sliceTime) + 1
	return &Result{
		ByClass: map[string]*Tally{}, ByTenant: map[string]*Tally{},
		Attempts: make([]int, slices), Rejections: make([]int, slices),
	}
}

// WaitQuantile returns a quantile, from 0 to 1, of the waits for the loop that started at or after from and before to.
// It returns 0 if there were none.
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

// tallies returns the tallies that count a load's queries: those of its class and its tenant, and the total.
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

// countSlice counts an event in the slice of its instant. Events after the last slice are not counted.
func countSlice(counts []int, at time.Duration) {
	if i := int(at / sliceTime); i < len(counts) {
		counts[i]++
	}
}
