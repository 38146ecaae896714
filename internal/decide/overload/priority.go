package overload

const (
	// minWithinScore is the lowest score of a query within its tenant's quota.
	minWithinScore = 0.25
	// maxIdempotentScore is the highest score of an idempotent query.
	maxIdempotentScore = 0.9
	// beyondFactor is the factor of a class's score for a query beyond its tenant's quota.
	beyondFactor = 0.15
	// nonIdempotentBeyondScore is the score of a non-idempotent query beyond its tenant's quota: first among those.
	nonIdempotentBeyondScore = 0.2
	// retryPenalty is what a client's repeat loses of its score, for it has less time left.
	retryPenalty = 0.02
	// partsGain is the weight of an arrival in its class's usual number of parts.
	partsGain = 0.05
)

// class is a class of queries and what was learned of it.
type class struct {
	Class
	baseScore float64 // standing of its queries within their quota, from minWithinScore to 1; 1 is rejected last
	parts     float64 // usual number of parts, a moving mean over the arrivals that show it
}

// newClass returns a class that keeps what was learned of old; nil where it is new.
func newClass(c Class, old *class) *class {
	k := &class{Class: c, parts: max(1, c.TypicalParts)}
	if old != nil {
		k.parts = old.parts
	}
	return k
}

// observeParts returns an arrival's number of parts, and learns the class's usual number from it. Where the arrival
// does not show its number, it returns the usual one.
func (k *class) observeParts(a Arrival) float64 {
	if a.Parts <= 0 {
		return k.parts
	}
	parts := float64(a.Parts)
	k.parts += partsGain * (parts - k.parts)
	return parts
}

// rankClasses scores the classes by their priority weight for what they cost. Non-idempotent ones come first.
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

// score is the standing of one query of the class, from 0 to 1; 1 is rejected last.
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
