package overload

const (
	// minWithinScore is the lowest score of a query within its tenant's quota.
	minWithinScore = 0.25
	// maxIdempotentScore is the highest score of an idempotent query.
	maxIdempotentScore = 0.9
	// beyondFactor is the factor applied to a class's score for a query beyond its tenant's quota.
	beyondFactor = 0.15
	// nonIdempotentBeyondScore is the score of a non-idempotent query beyond its tenant's quota, the highest of all
	// queries beyond their quotas.
	nonIdempotentBeyondScore = 0.2
	// retryPenalty is subtracted from the score of a client's repeat, because it has less time left.
	retryPenalty = 0.02
	// partsGain is the weight of an arrival in the moving mean of its class's number of parts.
	partsGain = 0.05
)

// class is a class of queries with what was learned about it.
type class struct {
	Class
	baseScore float64 // score of its queries within their quota, from minWithinScore to 1; 1 is rejected last
	parts     float64 // moving mean of the number of parts, over the arrivals that show it
}

// newClass returns a class that keeps what was learned about its old version; old is nil for a new class.
func newClass(c Class, old *class) *class {
	k := &class{Class: c, parts: max(1, c.TypicalParts)}
	if old != nil {
		k.parts = old.parts
	}
	return k
}

// observeParts returns an arrival's number of parts and updates the class's mean with it. If the arrival does not show
// the number, observeParts returns the mean.
func (k *class) observeParts(a Arrival) float64 {
	if a.Parts <= 0 {
		return k.parts
	}
	parts := float64(a.Parts)
	k.parts += partsGain * (parts - k.parts)
	return parts
}

// rankClasses sets the base scores of the classes by their priority weight per cost. Non-idempotent classes get the
// highest score.
func rankClasses(classes map[string]*class, cost costModel) {
	best := 0.0
	for _, k := range classes {
		if !k.NonIdempotent {
			best = max(best, k.PriorityWeight/cost.ofQuery(k.parts))
		}
	}
	for _, k := range classes {
		k.baseScore = 1
		if !k.NonIdempotent && best > 0 {
			k.baseScore = minWithinScore +
				(maxIdempotentScore-minWithinScore)*k.PriorityWeight/cost.ofQuery(k.parts)/best
		}
	}
}

// score returns the score of a query of the class, from 0 to 1. Queries with score 1 are rejected last.
func (k *class) score(withinQuota, isRepeat bool) float64 {
	s := k.baseScore
	switch {
	case !withinQuota && k.NonIdempotent:
		s = nonIdempotentBeyondScore
	case !withinQuota:
		s *= beyondFactor
	}
	if isRepeat {
		s -= retryPenalty
	}
	return max(0, s)
}
