package twophase

import (
	"slices"
	"time"
)

// windowSize is how many latencies are kept: those of about a minute of one coordinator.
const windowSize = 64

// latencyWindow holds the latest latencies in a ring. The zero value is empty.
type latencyWindow struct {
	ring  [windowSize]time.Duration
	count int // latencies added so far
}

func (w *latencyWindow) add(latency time.Duration) {
	w.ring[w.count%windowSize] = latency
	w.count++
}

// quantile returns the latency of the nearest rank to q, from 0 to 1; 0 where the window is empty.
func (w *latencyWindow) quantile(q float64) time.Duration {
	n := min(w.count, windowSize)
	if n == 0 {
		return 0
	}
	sorted := slices.Clone(w.ring[:n])
	slices.Sort(sorted)
	return sorted[min(n-1, int(q*float64(n)))]
}
