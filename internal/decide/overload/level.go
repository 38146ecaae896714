package overload

import "time"

// Level is the severity of a coordinator's overload, for logs and for work that yields to queries.
type Level int

// The levels.
const (
	Normal   Level = iota // few or no arrivals are rejected
	Trimming              // traffic beyond its tenant's quota is rejected; never reached without tenants
	Shedding              // idempotent traffic within its quota is rejected, or all unprotected if memory is short
	Critical              // protected queries are rejected too, or admitted queries are ended
)

// String returns the level's name in lower case.
func (l Level) String() string { return [...]string{"normal", "trimming", "shedding", "critical"}[l] }

const (
	// rejectionGain is the weight of a window in the moving mean of the rejected fraction of arrivals.
	rejectionGain = 0.3
	// manyRejections is the rejected fraction of arrivals above which rejections raise the level. A few client retries
	// are always rejected.
	manyRejections = 0.1
	// minLevelTime is how long a level is kept after its last cause.
	minLevelTime = 650 * time.Millisecond
)

// levelTracker updates the level after each window.
type levelTracker struct {
	present          Level
	causedAt         time.Duration // when the present level last had a cause
	rejectedFraction float64       // moving mean of the rejected fraction of arrivals
}

// update adjusts the level to a window and reports whether it changed. The level rises at once. It falls when no window
// has given cause for a level this high for minLevelTime.
func (t *levelTracker) update(w window, memory MemoryLevel, now time.Duration) (changed bool) {
	if arrivals := w.queries + w.rejections; arrivals > 0 {
		t.rejectedFraction += rejectionGain * (w.rejections/arrivals - t.rejectedFraction)
	}
	caused := t.causedBy(w, memory)
	if caused >= t.present {
		changed = caused > t.present
		t.present, t.causedAt = caused, now
		return changed
	}
	if now-t.causedAt < minLevelTime {
		return false
	}
	t.present, t.causedAt = caused, now
	return true
}

// causedBy returns the level that a window gives cause for. The highest rejected score distinguishes Shedding from
// Trimming: a query within its quota scores at least minWithinScore, less retryPenalty for a client's repeat, and a
// query beyond its quota scores less than that.
func (t *levelTracker) causedBy(w window, memory MemoryLevel) Level {
	many := w.rejections > 0 && t.rejectedFraction > manyRejections
	switch {
	case w.rejectedProtected || memory == EndQueries:
		return Critical
	case memory == RejectNew || many && w.highestRejected >= minWithinScore-retryPenalty:
		return Shedding
	case many:
		return Trimming
	}
	return Normal
}

// Level returns the present level.
func (c *Controller) Level() Level { return c.level.present }

// Reasons returns the names of the signals that are over their limits, for a log line.
func (c *Controller) Reasons(s Signals) (reasons []string) {
	for _, r := range []struct {
		name  string
		holds bool
	}{
		{"loop delay", s.MeanWait > c.cfg.WaitTarget},
		// Unlike in rateLimit.grow, a use of exactly allCores is not over the limit, nor is any use of 0 cores.
		{"cpu", c.cfg.Cores > 0 && s.CoresUsed > allCores*c.cfg.Cores},
		{"memory", c.memory > MemoryNormal},
		{"descriptors", s.DescriptorFraction > saturated},
		{"open queries", s.OpenFraction > saturated},
	} {
		if r.holds {
			reasons = append(reasons, r.name)
		}
	}
	return reasons
}
