package fleetsim

import (
	"slices"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
)

// partialAnswerShare reduces what an incomplete answer earns: this share of the query's priority weight, multiplied by
// the fraction of its parts that were served.
const partialAnswerShare = 0.9

// measurement holds the fleet's counts since the last call of Fleet.BeginMeasurement.
type measurement struct {
	offeredWeight float64 // priority weight of the queries that arrived
	earnedWeight  float64 // priority weight earned by answers within the latency objective
	attempts      int
}

// BeginMeasurement resets each replica's Parts, the count of attempts and the sums of priority weight to 0.
func (f *Fleet) BeginMeasurement() {
	f.measured = measurement{}
	for _, r := range f.Replicas {
		r.Parts = 0
	}
}

// EarnedFraction returns the earned fraction of the priority weight offered since BeginMeasurement. Only answers within
// the latency objective earn weight. The fraction is 0 before the first query.
func (f *Fleet) EarnedFraction() float64 {
	return f.measured.earnedWeight / max(f.measured.offeredWeight, 1e-9)
}

// PartsSent returns the number of parts sent to each replica in each second since New, indexed by second, then by
// replica. The caller must not change it.
func (f *Fleet) PartsSent() [][]int { return f.partsSent }

// Connections returns the number of open connections of each replica.
func (f *Fleet) Connections() (byReplica []float64) {
	for _, r := range f.Replicas {
		byReplica = append(byReplica, float64(r.openConnections(f.now)))
	}
	return byReplica
}

// Imbalance returns the largest load as a multiple of the mean load, and Jain's fairness index, which is 1 for equal
// loads. Both are 1 if all loads are 0.
func Imbalance(loads []float64) (largest, jain float64) {
	sum, squares := 0.0, 0.0
	for _, x := range loads {
		sum, squares = sum+x, squares+x*x
	}
	if sum == 0 {
		return 1, 1
	}
	n := float64(len(loads))
	return slices.Max(loads) * n / sum, sum * sum / (n * squares)
}

// extendPartsSent extends partsSent up to the current second.
func (f *Fleet) extendPartsSent() {
	for second := int((f.now - startTime) / time.Second); len(f.partsSent) <= second; {
		f.partsSent = append(f.partsSent, make([]int, len(f.Replicas)))
	}
}

// countAttempt counts an attempt sent to a replica.
func (f *Fleet) countAttempt(r *Replica) {
	r.Parts++
	f.measured.attempts++
	f.partsSent[len(f.partsSent)-1][r.number]++
}

// countServed counts a served part for its query. A part ID starts with the query ID and a dot.
func (f *Fleet) countServed(part string) {
	id, _, _ := strings.Cut(part, ".")
	if q := f.openQueries[id]; q != nil {
		q.servedParts++
	}
}

// finishQuery closes an answered query and adds the priority weight that its answer earns. An answer after the latency
// objective earns nothing.
func (f *Fleet) finishQuery(a scatter.Answer) {
	q := f.openQueries[a.Query]
	delete(f.openQueries, a.Query)
	if q == nil || f.now-q.arrivedAt > latencyObjective {
		return
	}
	f.measured.earnedWeight += q.priorityWeight
	if !a.Complete {
		f.measured.earnedWeight -= q.priorityWeight * (1 - partialAnswerShare*float64(q.servedParts)/float64(q.parts))
	}
}
