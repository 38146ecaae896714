package overload

import "time"

// Level is how far a coordinator is from normal, for logs and for work that yields to queries.
type Level int

// The levels.
const (
	Normal   Level = iota // few arrivals are rejected, or none
	Trimming              // traffic beyond its tenant's quota is rejected; never reached where there are no tenants
	Shedding              // idempotent traffic within its quota is rejected, or all unprotected for want of memory
	Critical              // protected queries are rejected too, or admitted ones ended
)

// String returns the level's name in lower case.
func (l Level) String() string { return [...]string{"normal", "trimming", "shedding", "critical"}[l] }

const (
	// rejectionGain is the weight of a window in the mean fraction of arrivals that are rejected.
	rejectionGain = 0.3
	// manyRejections is the fraction from which rejections make a level: a few retries among them are always rejected.
	manyRejections = 0.1
	// minLevelTime is how long a level is kept after its last cause.
	minLevelTime = 650 * time.Millisecond
)

// levelTracker follows the level over the windows.
type levelTracker struct {
	present          Level
	causedAt         time.Duration // when the present level last had a cause
	rejectedFraction float64       // rejections among arrivals, a moving mean
}

// update takes a window and reports whether the level changed. It rises at once, and falls when there has been no cause
// for so high a level for minLevelTime.
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

// causedBy is the level that a window gives cause for. The highest score that was rejected tells Shedding from
// Trimming: a query within its quota scores at least minWithinScore, less retryPenalty for a client's repeat, and one
// beyond its quota scores less than that.
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

// Reasons names the signals that are over their limits, for a log line.
func (c *Controller) Reasons(s Signals) (reasons []string) {
	for _, r := range []struct {
		name  string
		holds bool
	}{
		{"loop delay", s.MeanWait > c.cfg.WaitTarget},
		// Unlike rateLimit.grow, a use of exactly allCores is no reason yet, and neither is any use of 0 cores.
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
