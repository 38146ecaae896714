package twophase

import "time"

const (
	// explorationShare is the work spent on first phases that are not expected to pay off, as a fraction of the full
	// queries sent. The total overhead of two phases is limited to 5% of the work.
	explorationShare = 0.04
	// maxExplorationCredit is the limit on accumulated exploration credit, in units of a full answer's cost.
	maxExplorationCredit = 2.0
	// initialCostRatio is the assumed cost of a first-phase answer, as a fraction of a full answer's cost, until
	// enough answers of both kinds have been observed.
	initialCostRatio = 0.1
	// minCostRatio is the lowest cost of a first-phase answer, as a fraction of a full answer's cost.
	minCostRatio = 0.02
	// minLatencies is the number of first-phase answers that must be observed before their cost is estimated.
	minLatencies = 8

	// deferralFactor limits the deferral of full queries, as a multiple of the latency of a slow first-phase answer.
	deferralFactor = 2.0
	// initialDeferral is the deferral of full queries before the first first-phase answer, as a fraction of the time
	// that remains after a slow full answer.
	initialDeferral = 0.25

	// slowQuantile is the quantile of the latencies for which time is reserved.
	slowQuantile = 0.95
	// usualQuantile is the quantile of the latencies that counts as usual.
	usualQuantile = 0.5
	// quickQuantile is the quantile of the latencies that contain hardly any queueing time.
	quickQuantile = 0.1
)

// topicState is what the planner has learned about a topic.
type topicState struct {
	firstLatencies    latencyWindow // of served first phases
	fullLatencies     latencyWindow // of served full queries
	explorationCredit float64       // work that may be spent on exploration, in units of a full answer's cost
	maxParts          int           // number of parts of the largest query so far
	nextExplored      int           // part at which the next query begins to explore, so that every shard is explored
}

// grantCredit adds the credit for one exploration of each part by which a query exceeds the largest query so far.
func (t *topicState) grantCredit(parts int) {
	if parts > t.maxParts {
		t.explorationCredit += float64(parts-t.maxParts) * explorationCost(initialCostRatio)
		t.maxParts = parts
	}
}

// explorationCost returns the extra cost of a first phase that proves nothing, in units of a full answer's cost: the
// first-phase answer, and the version in the full answer.
func explorationCost(ratio float64) float64 { return 2 * ratio }

// earnExploration adds the credit that one full query earns.
func (t *topicState) earnExploration() {
	t.explorationCredit = min(t.explorationCredit+explorationShare,
		max(maxExplorationCredit, explorationCost(initialCostRatio)*float64(t.maxParts)))
}

// spendExploration reports whether the credit covers an exploration at a cost ratio, and spends the credit if so.
func (t *topicState) spendExploration(ratio float64) bool {
	if t.explorationCredit < explorationCost(ratio) {
		return false
	}
	t.explorationCredit -= explorationCost(ratio)
	return true
}

// costRatio returns the cost of a shard's first-phase answer as a fraction of its full answer's cost. First-phase
// answers cost about the same at every shard, so the difference between their usual and their quick latency is queueing
// time. Full answers queue for as long, so that time is subtracted from their latency. Only this shard's full answers
// count: a mean over all shards would cover only those that still get full queries, not the others.
func (t *topicState) costRatio(s *shardState) float64 {
	if t.firstLatencies.count < minLatencies || s.fullLatency == 0 {
		return initialCostRatio
	}
	first := t.firstLatencies.quantile(quickQuantile)
	waiting := t.firstLatencies.quantile(usualQuantile) - first
	full := s.fullLatency - waiting
	if full <= first {
		return 1
	}
	return max(minCostRatio, float64(first)/float64(full))
}

// maxDeferral returns how long full queries may be deferred with the given time left until the latency objective. It
// reserves the latency of a slow full answer. From the rest it allows the latency of a slow first-phase answer, with a
// margin (deferralFactor). It returns 0 if the rest is too short for a slow first-phase answer.
func (t *topicState) maxDeferral(left time.Duration) time.Duration {
	available := left - t.fullLatencies.quantile(slowQuantile)
	if t.fullLatencies.count == 0 { // reserve half of the time for the full answer
		available = left / 2
	}
	if t.firstLatencies.count == 0 {
		return max(0, time.Duration(initialDeferral*float64(available)))
	}
	slowFirst := t.firstLatencies.quantile(slowQuantile)
	if available < slowFirst {
		return 0
	}
	return min(available, time.Duration(deferralFactor*float64(slowFirst)))
}
