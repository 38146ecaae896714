package scatter

import (
	"math"
	"slices"
)

// noHolderPressure is the latency, as a share of the objective, that is expected of a part whose shard has no ready
// holder: high enough that other parts are preferred and load shedding begins, low enough that the shard is still
// tried.
const noHolderPressure = 0.4

// predictLatency is the expected latency, in seconds, of the slowest part that the least answer needs.
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

// expectedLatency is the latency, in seconds, to expect of a part, at the lower median of its shard's ready holders.
// Where none is ready it is noHolderPressure of the objective, or more if the best holder is known to be overloaded.
func (m *Machine) expectedLatency(p *part) float64 {
	c, s := p.query.class, m.shardOf(p.Shard)
	if ratio := m.medianRatioOf(&s.medianRatio, s.subsetHolders()); !math.IsInf(ratio, 1) {
		return ratio * c.meanLatency * m.loadFactor
	}
	return max(c.LatencyObjective.Seconds()*noHolderPressure, s.lowestRatio()*c.meanLatency*m.loadFactor)
}

// lowestRatio is the lowest latency ratio of the subset's holders that do not fail at once; 0 where there is none. An
// unresponsive one keeps the ratio that it had, an overloaded one shows its load.
func (s *shard) lowestRatio() (low float64) {
	for _, r := range s.subsetHolders() {
		if !r.health.failsFast && (low == 0 || r.latencyRatio < low) {
			low = r.latencyRatio
		}
	}
	return low
}
