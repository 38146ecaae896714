package scatter

import (
	"slices"
	"time"
)

// retryBudget limits retries, the attempts beyond the first of each part, to a share of the coordinator's recent
// traffic, so that retries cannot multiply an overload.
type retryBudget struct {
	limit   *RetryBudget    // from the settings; nil if retries are not bounded
	arrived []time.Duration // queries and parts within the window, oldest first
	retried []time.Duration // attempts beyond the first within the window, oldest first
}

// countArrival counts a query or a part.
func (b *retryBudget) countArrival(now time.Duration) { b.arrived = append(b.arrived, now) }

// countRetry counts an attempt beyond the first.
func (b *retryBudget) countRetry(now time.Duration) { b.retried = append(b.retried, now) }

// allows reports whether one more retry may begin at now.
func (b *retryBudget) allows(now time.Duration) bool {
	b.expire(now)
	if b.limit == nil {
		return true
	}
	limit := float64(b.limit.MinRetries) + b.limit.Ratio*float64(len(b.arrived))
	return float64(len(b.retried)+1) <= limit
}

// expire drops entries that have left the window. An entry exactly at the edge counts against the coordinator: a retry
// still counts, an arrival no longer does.
func (b *retryBudget) expire(now time.Duration) {
	if b.limit == nil {
		b.arrived, b.retried = nil, nil
		return
	}
	edge := now - b.limit.Window
	b.arrived = slices.DeleteFunc(b.arrived, func(at time.Duration) bool { return at <= edge })
	b.retried = slices.DeleteFunc(b.retried, func(at time.Duration) bool { return at < edge })
}
