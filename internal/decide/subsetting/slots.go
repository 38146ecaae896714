package subsetting

import "time"

// NextSlot is when a member's time slot for something comes next: a period from now, give or take half of it. Within each period
// every member has one slot, the slots of all lie at equal distances, and so at most one more than their even number falls in
// any time. Members that all came to wait in one instant do not come back in one. A slot that finds nothing to do stays with the
// member until it has.
func (p Position) NextSlot(now, period time.Duration, salt uint64) time.Duration {
	if period <= 0 {
		return now
	}
	least := now + period/2
	own := time.Duration(frac(float64(p)+mix(salt)) * float64(period)) // in each period
	passed := least % period
	if own < passed {
		own += period
	}
	return least - passed + own
}

// SlotPeriod is how long the period of slots has to be so that so many members together come at most rate times a second.
func SlotPeriod(members, rate float64) time.Duration {
	return time.Duration(members / rate * float64(time.Second))
}
