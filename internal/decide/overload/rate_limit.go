package overload

import "time"

const (
	// bucketTargets is what the bucket holds at most, in wait targets at the admitted rate.
	bucketTargets = 6.0
	// bucketReserve is the fraction of the bucket that a query of score 0 leaves to others; the rest takes chance
	// bursts.
	bucketReserve = 0.7

	// overdueToLimit is how many windows in a row with a mean wait over the target are more than chance.
	overdueToLimit = 2
	// farBehindTargets is the mean wait, in wait targets, above which each query costs more than before.
	farBehindTargets = 3.0
	// steeredFraction is the fraction of the wait target that is steered for, so that the target is seldom passed.
	steeredFraction = 0.7
	// catchUpTargets is the time, in wait targets, within which the wait beyond the steered one is to be worked off.
	catchUpTargets = 20.0
	// minCut is the lowest factor of one cut, however long queries wait.
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
	// saturated is the fraction of descriptors, or of open queries, from which the rate does not grow.
	saturated = 0.9
	// maxRateFactor is the highest admitted rate, as a multiple of the capacity: beyond that it would limit nothing.
	maxRateFactor = 2.0
	// calmToRelease is how many calm windows in a row end the limit. A window is calm without a rejection and without a
	// mean wait over the target itself, not over the fraction of it that is steered for.
	calmToRelease = 20
)

// rateLimit is a token bucket of cost. It is active only while the loop is behind, and until some time after.
type rateLimit struct {
	waitTarget time.Duration // from the configuration
	cores      float64       // from the configuration

	active         bool
	rate           float64       // cost that is admitted, in core seconds a second
	tokens         float64       // cost that may be admitted at once, in core seconds; below 0 where it was overdrawn
	refilledAt     time.Duration // when tokens were last added
	overdueWindows int           // windows in a row with a mean wait over the target
	calmWindows    int           // windows in a row without a rejection and without a mean wait over the target
}

// depth is what the bucket holds at most, in core seconds.
func (l *rateLimit) depth() float64 { return l.rate * bucketTargets * l.waitTarget.Seconds() }

// take reports whether a query of a cost, in core seconds, may be admitted, and takes its tokens. It leaves the more
// tokens the lower its score is, so that lower scores are rejected while higher ones still find tokens. A protected
// query may overdraw the bucket by its depth.
func (l *rateLimit) take(cost, score float64, protected bool, now time.Duration) bool {
	if !l.active {
		return true
	}
	depth := l.depth()
	l.tokens = min(depth, l.tokens+l.rate*max(0, now-l.refilledAt).Seconds())
	l.refilledAt = now
	leave := bucketReserve * (1 - score) * depth
	if protected {
		leave = -depth
	}
	if l.tokens-cost < leave {
		return false
	}
	l.tokens -= cost
	return true
}

// adjust sets the rate after a window in which queries of rejectedCost core seconds were rejected. The limit begins
// when the loop is behind, and ends after several calm windows. While the loop is behind the rate is cut; otherwise it
// grows as long as something is rejected.
func (l *rateLimit) adjust(s Signals, rejectedCost float64, t throughput, now time.Duration) {
	overTarget := s.MeanWait > l.waitTarget
	l.overdueWindows++
	if !overTarget {
		l.overdueWindows = 0
	}
	if !l.active && (l.overdueWindows >= overdueToLimit || l.farBehind(s)) {
		l.begin(t, now)
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

// begin makes the limit active at the present capacity, with a bucket that is half full.
func (l *rateLimit) begin(t throughput, now time.Duration) {
	l.active, l.rate, l.refilledAt = true, t.capacity, now
	l.tokens = l.depth() / 2
}

// behind is the mean wait beyond the one that is steered for, in seconds.
func (l *rateLimit) behind(s Signals) float64 {
	return s.MeanWait.Seconds() - steeredFraction*l.waitTarget.Seconds()
}

// farBehind reports whether the loop is so far behind that each query costs more than before.
func (l *rateLimit) farBehind(s Signals) bool {
	return s.MeanWait.Seconds() > farBehindTargets*l.waitTarget.Seconds()
}

// cut lowers the rate by what works off the waiting queries in time. Far behind, the rate is also no more than what is
// done at present.
func (l *rateLimit) cut(s Signals, t throughput) {
	if l.farBehind(s) {
		l.rate = min(l.rate, t.done)
	}
	factor := max(minCut, 1-l.behind(s)/(catchUpTargets*l.waitTarget.Seconds()))
	l.rate = max(min(l.rate, t.capacity)*factor, minRateFraction*t.peak)
}

// grow raises the rate, the faster the farther it is from the capacity. It does not while the cores are used up, which
// with 0 cores they always are, or while descriptors or open queries are close to their limits.
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
