package scatter

import (
	"cmp"
	"slices"
	"time"
)

// Admission goes by pressure: a query's predicted latency as a share of its latency objective.
const (
	overQuotaPressure = 0.25 // from here on, traffic beyond its tenant's quota is rejected
	shedFrom          = 0.4  // from here on, queries are shed at random, with a probability that grows
	shedAll           = 0.7  // up to here, where the probability is maxShed

	// maxShed is the largest share of queries that is shed at random; the others keep the prediction up to date.
	maxShed = 0.9
	// maxTimeShare is the largest share of its remaining time that an admitted query is predicted to need.
	maxTimeShare = 0.9

	// From skipLowWeightFrom on, parts of little weight are left out of queries that may be answered in part. Up to
	// skipLowWeightAll the limit grows to maxLowWeight, in mean weights of the query's parts.
	skipLowWeightFrom = 0.25
	skipLowWeightAll  = 0.4
	maxLowWeight      = 0.9

	// A shard is overloaded where a part is predicted to take overloadedFrom of the objective. Of the parts that can be
	// left out there, skipOverloaded are.
	overloadedFrom = 0.9
	skipOverloaded = 0.9
)

// How far a tenant may run ahead of its quota.
const (
	quotaBurstSeconds = 2.0 // in seconds of its quota
	minQuotaBurst     = 5.0 // in queries: where one coordinator's part of a quota is small, a few meet by chance
)

// quota is a token bucket for a tenant's queries at this coordinator.
type quota struct {
	rate      float64 // tokens a second; 0 for no quota
	burst     float64 // tokens that may be saved
	tokens    float64
	updatedAt time.Duration
}

// newQuota is a full bucket for a tenant's queries a second at this coordinator.
func newQuota(rate float64) *quota {
	burst := max(rate*quotaBurstSeconds, minQuotaBurst)
	return &quota{rate: rate, burst: burst, tokens: burst}
}

// withRate is the bucket at another rate, with what was saved so far. A nil quota is new.
func (b *quota) withRate(rate float64) *quota {
	next := newQuota(rate)
	if b != nil {
		next.tokens, next.updatedAt = min(next.burst, b.tokens), b.updatedAt
	}
	return next
}

// take takes a token for a query, if there is one, and reports whether the query lies within the quota. A client's
// retry takes none: it belongs to a query that was counted.
func (b *quota) take(now time.Duration, isRetry bool) (within bool) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	within = b.tokens >= 1
	if within && !isRetry {
		b.tokens--
	}
	return within
}

// admit rejects a query that cannot meet its objective, sheds load with growing pressure, and leaves out of an admitted
// query the parts that it can be answered without.
func (m *Machine) admit(q *query) {
	q.admissionDecided = true
	q.normalizeWeights()
	pressure := m.predictLatency(q) / q.class.LatencyObjective.Seconds()
	if m.decideShed(q, pressure) {
		m.relaxPrediction(q.class)
		m.giveUp(q)
		return
	}
	m.traffic.admitted(len(q.parts), min(m.replicas.usable, m.settings.RingSize))
	m.skipParts(q, pressure)
}

// decideShed decides whether a query is rejected: because it cannot be in time, because its tenant is beyond its
// quota, or at random.
func (m *Machine) decideShed(q *query, pressure float64) bool {
	remaining := float64(q.answerDue - m.now)
	shed := pressure*float64(q.class.LatencyObjective) > maxTimeShare*remaining
	if t := m.quotas[q.Tenant]; t != nil && t.rate > 0 && m.settings.OverQuotaWeight < 1 {
		within := t.take(m.now, q.IsRetry)
		shed = shed || !within && pressure > overQuotaPressure
	}
	if shed {
		return true
	}
	probability := (pressure - shedFrom) / (shedAll - shedFrom)
	return probability > 0 && m.random.Float64() < min(probability, maxShed)
}

// relaxPrediction counts a rejected query as one sample at the initial latency: rejected queries bring no samples of
// their own, and the prediction would stay as high as it is.
func (m *Machine) relaxPrediction(c *class) {
	m.loadFactor -= meanGain * max(0, m.loadFactor-1)
	initial := initialLatency * c.LatencyObjective.Seconds()
	c.meanLatency += meanGain * (min(c.meanLatency, initial) - c.meanLatency)
}

// skipParts leaves out the parts of unavailable shards, where an answer in part will do without them, and, as far as
// half way to the least answer, light parts and those of overloaded shards. A query that needs an unavailable shard
// is given up.
func (m *Machine) skipParts(q *query, pressure float64) {
	byWeight := slices.Clone(q.parts)
	slices.SortStableFunc(byWeight, func(x, y *part) int { return cmp.Compare(x.Weight, y.Weight) })
	lowWeight := min((pressure-skipLowWeightFrom)/(skipLowWeightAll-skipLowWeightFrom), maxLowWeight)
	halfWay := (q.class.CompleteFraction + q.minWeight) / 2
	sum := q.class.CompleteFraction
	for _, p := range byWeight {
		unavailable, rest := m.shardUnavailable(p), sum-p.Weight
		hasLowWeight := p.Weight*float64(len(byWeight)) < lowWeight
		switch {
		case unavailable && rest >= q.minWeight-weightSlack,
			rest > halfWay && (hasLowWeight || m.sparesOverloadedShard(p)):
			p.leftOut, sum = true, rest
		case unavailable:
			m.giveUp(q)
			return
		}
	}
}

// sparesOverloadedShard decides whether a part is left out for its shard's load. Some still go there, to learn when the
// load is over.
func (m *Machine) sparesOverloadedShard(p *part) bool {
	objective := p.query.class.LatencyObjective.Seconds()
	return m.expectedLatency(p) > overloadedFrom*objective && m.random.Float64() < skipOverloaded
}

// shardUnavailable reports whether all holders of a part's shard are being avoided: the part would add to an
// overload and wait there in vain. A coordinator of a small fleet always tries.
func (m *Machine) shardUnavailable(p *part) bool {
	open := func(r *replica) bool { return m.now >= r.health.avoidUntil }
	return m.placement.fleetFactor > 1 && !slices.ContainsFunc(m.shardOf(p.Shard).readyHolders, open)
}
