package overload

import "time"

const (
	// bucketTargets is the capacity of the bucket, as the cost admitted in this many wait targets.
	bucketTargets = 6.0
	// bucketReserve is the fraction of the bucket that a query of score 0 must leave for higher scores. The rest
	// absorbs random bursts.
	bucketReserve = 0.7

	// overTargetToLimit is the number of consecutive windows with a mean wait over the target that activates the limit,
	// because so many are not due to chance.
	overTargetToLimit = 2
	// farBehindTargets is the mean wait, in wait targets, above which each query costs more than usual.
	farBehindTargets = 3.0
	// setpointFraction is the setpoint of the mean wait, as a fraction of the wait target. It is below 1 so that the
	// target is seldom exceeded.
	setpointFraction = 0.7
	// catchUpTargets is the time, in wait targets, within which the wait beyond the setpoint is to be worked off.
	catchUpTargets = 20.0
	// minCut is the lowest factor that one cut applies to the rate, however long queries wait.
	minCut = 0.4
	// minRateFraction is the lowest admitted rate, as a fraction of the peak throughput.
	minRateFraction = 0.05

	// fastGrowth is the factor of one increase while there is clearly unused capacity.
	fastGrowth = 1.1
	// slowGrowth is the factor of one increase near the capacity.
	slowGrowth = 1.03
	// nearCapacity is the fraction of the capacity from which the rate grows slowly.
	nearCapacity = 0.7
	// nearAllCores is the fraction of the cores from which the rate grows slowly.
	nearAllCores = 0.8
	// allCores is the fraction of the cores from which the rate does not grow.
	allCores = 0.97
	// saturated is the fraction of descriptors, or of open queries, above which the rate does not grow.
	saturated = 0.9
	// maxRateFactor is the highest admitted rate, as a multiple of the capacity. A higher rate would limit nothing.
	maxRateFactor = 2.0
	// calmToRelease is the number of consecutive calm windows that deactivates the limit. A calm window has no
	// rejection and no mean wait over the target itself; a mean wait between the setpoint and the target is calm.
	calmToRelease = 20
)

// rateLimit is a token bucket of cost. It is active only while the loop is behind and for some time afterwards.
type rateLimit struct {
	waitTarget time.Duration // from the configuration
	cores      float64       // from the configuration

	active            bool
	rate              float64       // admitted cost, in core seconds per second
	tokens            float64       // cost that may be admitted at once, in core seconds; below 0 if overdrawn
	refilledAt        time.Duration // when tokens were last added
	overTargetWindows int           // consecutive windows with a mean wait over the target
	calmWindows       int           // consecutive windows without a rejection and without a mean wait over the target
}

// depth returns the capacity of the bucket, in core seconds.
func (l *rateLimit) depth() float64 { return l.rate * bucketTargets * l.waitTarget.Seconds() }

// take reports whether a query of a cost, in core seconds, may be admitted, and takes its tokens if so. The lower the
// score of a query, the more tokens it must leave, so that lower scores are rejected while higher scores are still
// admitted. A protected query may overdraw the bucket by up to its depth.
func (l *rateLimit) take(cost, score float64, protected bool, now time.Duration) bool {
	if !l.active {
		return true
	}
	depth := l.depth()
	l.tokens = min(depth, l.tokens+l.rate*max(0, now-l.refilledAt).Seconds())
	l.refilledAt = now
	reserve := bucketReserve * (1 - score) * depth
	if protected {
		reserve = -depth
	}
	if l.tokens-cost < reserve {
		return false
	}
	l.tokens -= cost
	return true
}

// adjust sets the rate after a window in which queries of rejectedCost core seconds were rejected. The limit becomes
// active when the loop is behind, and inactive after calmToRelease calm windows. While the limit is active, the rate is
// cut if the loop is behind, and otherwise grows as long as queries are rejected.
func (l *rateLimit) adjust(s Signals, rejectedCost float64, t throughput, now time.Duration) {
	overTarget := s.MeanWait > l.waitTarget
	l.overTargetWindows++
	if !overTarget {
		l.overTargetWindows = 0
	}
	if !l.active && (l.overTargetWindows >= overTargetToLimit || l.farBehind(s)) {
		l.activate(t, now)
		l.cut(s, t)
	} else if l.active && l.behind(s) > 0 {
		l.cut(s, t)
	} else if l.active && rejectedCost > 0 {
		l.grow(s, t)
	}
	l.calmWindows++
	if rejectedCost > 0 || overTarget {
		l.calmWindows = 0
	}
	l.active = l.active && l.calmWindows < calmToRelease
}

// activate makes the limit active, with the present capacity as the rate and a half-full bucket.
func (l *rateLimit) activate(t throughput, now time.Duration) {
	l.active, l.rate, l.refilledAt = true, t.capacity, now
	l.tokens = l.depth() / 2
}

// behind returns the mean wait beyond the setpoint, in seconds.
func (l *rateLimit) behind(s Signals) float64 {
	return s.MeanWait.Seconds() - setpointFraction*l.waitTarget.Seconds()
}

// farBehind reports whether the loop is so far behind that each query costs more than usual.
func (l *rateLimit) farBehind(s Signals) bool {
	return s.MeanWait.Seconds() > farBehindTargets*l.waitTarget.Seconds()
}

// cut lowers the rate so that the waiting queries are worked off within catchUpTargets. If the loop is far behind, the
// rate is also limited to the present throughput.
func (l *rateLimit) cut(s Signals, t throughput) {
	if l.farBehind(s) {
		l.rate = min(l.rate, t.done)
	}
	factor := max(minCut, 1-l.behind(s)/(catchUpTargets*l.waitTarget.Seconds()))
	l.rate = max(min(l.rate, t.capacity)*factor, minRateFraction*t.peak)
}

// grow raises the rate: fast while the rate is well below the capacity or cores are free, slowly otherwise. It leaves
// the rate unchanged while the cores are used up, as 0 cores always are, or while descriptors or open queries are close
// to their limits.
func (l *rateLimit) grow(s Signals, t throughput) {
	if s.CoresUsed >= allCores*l.cores || max(s.DescriptorFraction, s.OpenFraction) > saturated {
		return
	}
	factor := slowGrowth
	if l.rate < nearCapacity*t.capacity || s.CoresUsed < nearAllCores*l.cores {
		factor = fastGrowth
	}
	l.rate = min(l.rate*factor, maxRateFactor*t.capacity)
}
