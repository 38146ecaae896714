package twophase

import (
	"slices"
	"time"
)

const (
	recentSize  = 64 // latencies kept: a minute or so of one coordinator
	recentLeast = 8  // before so many nothing is said of costs
)

// recent holds the latest latencies; a ring.
type recent struct {
	seen [recentSize]time.Duration
	n    int
}

func (r *recent) add(d time.Duration) {
	r.seen[r.n%recentSize] = d
	r.n++
}

// quantile is the nearest rank's; 0 where nothing was seen.
func (r *recent) quantile(q float64) time.Duration {
	n := min(r.n, recentSize)
	if n == 0 {
		return 0
	}
	sorted := slices.Clone(r.seen[:n])
	slices.Sort(sorted)
	return sorted[min(n-1, int(q*float64(n)))]
}
