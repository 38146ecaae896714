package twophase

import (
	"slices"
	"time"
)

// windowSize is the number of latencies kept: about a minute's worth at one coordinator.
const windowSize = 64

// latencyWindow holds the most recent latencies in a ring buffer. The zero value is empty.
type latencyWindow struct {
	ring  [windowSize]time.Duration
	count int // latencies added so far
}

func (w *latencyWindow) add(latency time.Duration) {
	w.ring[w.count%windowSize] = latency
	w.count++
}

// quantile returns the latency at the nearest rank to q, which is from 0 to 1. It returns 0 if the window is empty.
func (w *latencyWindow) quantile(q float64) time.Duration {
	n := min(w.count, windowSize)
	if n == 0 {
		return 0
	}
	sorted := slices.Clone(w.ring[:n])
	slices.Sort(sorted)
	return sorted[min(n-1, int(q*float64(n)))]
}
