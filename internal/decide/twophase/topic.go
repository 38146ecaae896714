package twophase

import "time"

const (
	// explorationShare is the work spent on first phases that do not pay yet, as a fraction of the full questions
	// sent. In all, two phases may cost 5% of the work.
	explorationShare = 0.04
	// maxExplorationCredit is how much unspent work for exploration may accumulate, in full answers.
	maxExplorationCredit = 2.0
	// initialCostRatio is what a first answer is assumed to cost before both kinds have been seen, in full answers.
	initialCostRatio = 0.1
	// minCostRatio is the lowest cost of a first answer, in full answers.
	minCostRatio = 0.02
	// minLatencies is how many first answers have to be seen before their cost is judged.
	minLatencies = 8

	// deferralFactor is how long full questions are deferred, in slow first answers.
	deferralFactor = 2.0
	// initialDeferral is how long full questions are deferred while no first answer has been seen, as a fraction of the
	// time that a slow full answer leaves.
	initialDeferral = 0.25

	// slowQuantile is the quantile of the latencies that time is kept for.
	slowQuantile = 0.95
	// usualQuantile is the quantile of the latencies that is usual.
	usualQuantile = 0.5
	// quickQuantile is the quantile of the latencies with hardly any waiting in them.
	quickQuantile = 0.1
)

// topicState is what is known of a topic.
type topicState struct {
	firstLatencies    latencyWindow // of served first phases
	fullLatencies     latencyWindow // of parts served in full
	explorationCredit float64       // work that may be spent on exploration, in full answers
	mostParts         int           // parts of the largest query so far
	nextExplored      int           // part at which the next query begins to explore, so that every shard is explored
}

// grantCredit gives the credit to explore each part of a query once, where it has more parts than any before.
func (t *topicState) grantCredit(parts int) {
	if parts > t.mostParts {
		t.explorationCredit += float64(parts-t.mostParts) * explorationCost(initialCostRatio)
		t.mostParts = parts
	}
}

// explorationCost is what a first phase that proves nothing costs, in full answers: the first answer, and the version
// with the full one.
func explorationCost(ratio float64) float64 { return 2 * ratio }

// earnExploration adds the credit of one full question.
func (t *topicState) earnExploration() {
	t.explorationCredit = min(t.explorationCredit+explorationShare,
		max(maxExplorationCredit, explorationCost(initialCostRatio)*float64(t.mostParts)))
}

// spendExploration reports whether a first phase may be explored at a cost ratio, and takes its credit.
func (t *topicState) spendExploration(ratio float64) bool {
	if t.explorationCredit < explorationCost(ratio) {
		return false
	}
	t.explorationCredit -= explorationCost(ratio)
	return true
}

// costRatio is the cost of a shard's first answer in its full ones. First answers cost much the same at every shard, so
// what they usually take beyond the quickest is waiting, and full answers wait as long. Full answers are taken of this
// shard alone: a mean would be that of the shards that are still asked in full, and say nothing of the others.
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

// maxDeferral divides the time left to the latency objective. The full answers keep what slow ones take; of the rest,
// the first answers have what slow ones take, with a margin. It is 0 where that is too little for a first phase.
func (t *topicState) maxDeferral(left time.Duration) time.Duration {
	available := left - t.fullLatencies.quantile(slowQuantile)
	if t.fullLatencies.count == 0 { // half is kept for the full answer
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
