package fleetsim

import (
	"slices"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
)

// partialAnswerShare bounds what an incomplete answer earns: this share of the query's priority weight, times the
// share of its parts that were served.
const partialAnswerShare = 0.9

// measurement is what is counted from one call of Fleet.BeginMeasurement to the next.
type measurement struct {
	offeredWeight float64 // priority weight of the queries that arrived
	earnedWeight  float64 // priority weight earned by answers within the latency objective
	attempts      int
}

// BeginMeasurement sets the counts of parts and attempts, and the sums of priority weight, back to 0.
func (f *Fleet) BeginMeasurement() {
	f.measured = measurement{}
	for _, r := range f.Replicas {
		r.Parts = 0
	}
}

// EarnedFraction returns the share of the priority weight offered since BeginMeasurement that answers within the
// latency objective have earned. It is 0 before the first query.
func (f *Fleet) EarnedFraction() float64 {
	return f.measured.earnedWeight / max(f.measured.offeredWeight, 1e-9)
}

// PartsSent returns how many parts each replica was sent in each second since New: by second, then by replica. The
// caller must not change it.
func (f *Fleet) PartsSent() [][]int { return f.partsSent }

// Connections returns how many connections each replica has open.
func (f *Fleet) Connections() (byReplica []float64) {
	for _, r := range f.Replicas {
		byReplica = append(byReplica, float64(r.openConnections(f.now)))
	}
	return byReplica
}

// Imbalance returns the largest of some loads as a multiple of their mean, and Jain's index of their fairness, which
// is 1 for equal loads. Both are 1 where all loads are 0.
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

// extendPartsSent appends the seconds of partsSent up to the present one.
func (f *Fleet) extendPartsSent() {
	for second := int((f.now - startTime) / time.Second); len(f.partsSent) <= second; {
		f.partsSent = append(f.partsSent, make([]int, len(f.Replicas)))
	}
}

// countAttempt counts an attempt that begins at a replica.
func (f *Fleet) countAttempt(r *Replica) {
	r.Parts++
	f.measured.attempts++
	f.partsSent[len(f.partsSent)-1][r.number]++
}

// countServed counts a part that was served. Its ID begins with its query's, and a dot.
func (f *Fleet) countServed(part string) {
	id, _, _ := strings.Cut(part, ".")
	if q := f.openQueries[id]; q != nil {
		q.servedParts++
	}
}

// finishQuery ends a query that is answered, and counts the priority weight that the answer earns. An answer after the
// latency objective earns nothing.
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
