package scatter

import (
	"cmp"
	"slices"
	"time"
)

// Admission depends on pressure: the predicted latency of the slowest part that a query's minimum answer needs, as a
// share of the query's latency objective.
const (
	overQuotaPressure = 0.25 // above this, queries beyond their tenant's quota are rejected
	shedFrom          = 0.4  // above this, queries are shed at random, with a probability that grows from 0
	shedAll           = 0.7  // where the probability would reach 1, did maxShed not cap it

	// maxShed is the highest probability of shedding a query at random; the other queries keep the prediction up to
	// date.
	maxShed = 0.9
	// maxTimeShare is the largest share of its remaining time that an admitted query may be predicted to need.
	maxTimeShare = 0.9

	// Above a pressure of skipLowWeightFrom, low-weight parts are left out of queries that allow partial answers. A
	// part has low weight if it weighs less than a multiple of the mean weight of the query's parts. That multiple
	// grows with the pressure from 0 at skipLowWeightFrom, would reach 1 at skipLowWeightAll, and is capped at
	// maxLowWeight.
	skipLowWeightFrom = 0.25
	skipLowWeightAll  = 0.4
	maxLowWeight      = 0.9

	// A shard is overloaded if a part there is predicted to take at least overloadedFrom of the objective. A part that
	// can be left out there is, with a probability of skipOverloaded.
	overloadedFrom = 0.9
	skipOverloaded = 0.9
)

// The burst of a tenant's quota.
const (
	quotaBurstSeconds = 2.0 // in seconds of the quota
	minQuotaBurst     = 5.0 // in queries: a few arrive together by chance where a coordinator's quota is small
)

// quota is a token bucket for a tenant's queries at this coordinator.
type quota struct {
	rate      float64 // tokens per second; 0 for no quota
	burst     float64 // the most tokens that may accumulate
	tokens    float64
	updatedAt time.Duration
}

// newQuota returns a full bucket for a tenant's rate at this coordinator, in queries per second.
func newQuota(rate float64) *quota {
	burst := max(rate*quotaBurstSeconds, minQuotaBurst)
	return &quota{rate: rate, burst: burst, tokens: burst}
}

// withRate returns the bucket at another rate, with the tokens saved so far, at most the new burst. The time since
// updatedAt will be credited at the new rate. For a nil quota, of a tenant that had none, it returns a full bucket.
func (b *quota) withRate(rate float64) *quota {
	next := newQuota(rate)
	if b != nil {
		next.tokens, next.updatedAt = min(next.burst, b.tokens), b.updatedAt
	}
	return next
}

// take takes a token for a query if there is one, and reports whether the query is within the quota. A client's retry
// takes no token, because its query has been counted before.
func (b *quota) take(now time.Duration, isRetry bool) (within bool) {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	within = b.tokens >= 1
	if within && !isRetry {
		b.tokens--
	}
	return within
}

// admit rejects a query that is predicted to need too much of the time until its answer is due, sheds load as pressure
// grows, and leaves out the parts of an admitted query that its answer can do without.
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

// decideShed decides whether a query is rejected: because it is predicted to need more than maxTimeShare of the time
// until its answer is due; because its tenant is beyond its quota, pressure is above overQuotaPressure, and
// OverQuotaWeight is below 1; or at random.
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

// relaxPrediction lowers the prediction after a rejection, as if the query had brought one sample: it pulls loadFactor
// down towards 1, and the class's mean latency down towards the initial latency. Rejected queries bring no samples of
// their own, so the prediction would otherwise stay high.
func (m *Machine) relaxPrediction(c *class) {
	m.loadFactor -= meanGain * max(0, m.loadFactor-1)
	initial := initialLatency * c.LatencyObjective.Seconds()
	c.meanLatency += meanGain * (min(c.meanLatency, initial) - c.meanLatency)
}

// skipParts leaves out parts of unavailable shards, parts with low weight, and parts of overloaded shards. It goes
// through the parts in ascending order of weight and counts the remaining weight down from CompleteFraction: to the
// minimum weight for unavailable shards, and to halfway between the two for the others. A query is given up at the
// first part of an unavailable shard that it cannot do without, possibly because low-weight parts were left out before.
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
			rest > halfWay && (hasLowWeight || m.skipsOverloadedShard(p)):
			p.leftOut, sum = true, rest
		case unavailable:
			m.giveUp(q)
			return
		}
	}
}

// skipsOverloadedShard decides whether a part is left out because its shard is overloaded. Some parts are still sent
// there, to detect the end of the overload.
func (m *Machine) skipsOverloadedShard(p *part) bool {
	objective := p.query.class.LatencyObjective.Seconds()
	return m.expectedLatency(p) > overloadedFrom*objective && m.random.Float64() < skipOverloaded
}

// shardUnavailable reports whether all ready holders of a part's shard are being avoided, or it has none: the part
// would add to an overload and wait there without being served. In a small fleet, which avoids no replicas, no shard is
// unavailable.
func (m *Machine) shardUnavailable(p *part) bool {
	open := func(r *replica) bool { return m.now >= r.health.avoidUntil }
	return m.placement.fleetFactor > 1 && !slices.ContainsFunc(m.shardOf(p.Shard).readyHolders, open)
}
