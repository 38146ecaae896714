package subsetting

import "time"

// Turn is when a member's turn at something comes next, a wait from now, give or take half of it: within each such time every
// member has one turn, the turns of all lie at equal distances, and so at most one more than their even number falls
// in any time. Members that all came to wait in one instant do not come back in one. A turn that finds nothing to do stays
// with the member until it has.
func (s Seat) Turn(now, wait time.Duration, salt uint64) time.Duration {
	if wait <= 0 {
		return now
	}
	least := now + wait/2
	own := time.Duration(frac(float64(s)+mix(salt)) * float64(wait)) // in each period
	passed := least % wait
	if own < passed {
		own += wait
	}
	return least - passed + own
}

// Spread is how long members have to wait between turns at one thing so that all who take them come at most so many times
// a second.
func Spread(takers, rate float64) time.Duration {
	return time.Duration(takers / rate * float64(time.Second))
}
