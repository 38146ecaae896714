package scatter

import (
	"math"
	"slices"
)

// noHolderPressure is the expected latency of a part whose shard has no usable holder, as a share of the objective:
// high enough that other parts are preferred and load shedding begins, low enough that the shard is still tried.
const noHolderPressure = 0.4

// predictLatency returns the expected latency, in seconds, of the slowest part that a minimum answer needs.
func (m *Machine) predictLatency(q *query) float64 {
	parts := slices.Clone(q.parts)
	slices.SortStableFunc(parts, m.byExpectedLatency)
	latency, sum := 0.0, 0.0
	for _, p := range parts {
		if sum < min(q.class.CompleteFraction, q.minWeight)-weightSlack {
			latency, sum = m.expectedLatency(p), sum+p.Weight
		}
	}
	return latency
}

// expectedLatency returns the expected latency of a part, in seconds, at the lower median of its shard's usable
// holders. If none is usable it is noHolderPressure of the objective, or more if the best holder is known to be
// overloaded.
func (m *Machine) expectedLatency(p *part) float64 {
	c, s := p.query.class, m.shardOf(p.Shard)
	if ratio := m.medianRatioOf(&s.medianRatio, s.subsetHolders()); !math.IsInf(ratio, 1) {
		return ratio * c.meanLatency * m.loadFactor
	}
	return max(c.LatencyObjective.Seconds()*noHolderPressure, s.lowestRatio()*c.meanLatency*m.loadFactor)
}

// lowestRatio returns the lowest latency ratio of the subset's holders that do not fail fast; 0 if there are none. An
// unresponsive holder keeps the ratio that it had, while an overloaded one shows its load.
func (s *shard) lowestRatio() (low float64) {
	for _, r := range s.subsetHolders() {
		if !r.health.failsFast && (low == 0 || r.latencyRatio < low) {
			low = r.latencyRatio
		}
	}
	return low
}
