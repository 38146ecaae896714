package subsetting

import "time"

// NextSlot returns the instant of the coordinator's next time slot, for the thing that a salt stands for: a period
// after now, give or take half a period. Each coordinator has one slot in each period. On one clock the slots of all
// lie at equal distances, so at most one more than their even number falls into any time, also if all coordinators
// began to wait at one instant.
func (o Offset) NextSlot(now, period time.Duration, salt uint64) time.Duration {
	if period <= 0 {
		return now
	}
	earliest := now + period/2
	slot := time.Duration(onCircle(float64(o)+mix(salt)) * float64(period)) // of the slot in each period
	passed := earliest % period
	if slot < passed {
		slot += period
	}
	return earliest - passed + slot
}

// SlotPeriod returns the period of slots with which a number of coordinators together have so many slots a second.
func SlotPeriod(members, slotsPerSecond float64) time.Duration {
	return time.Duration(members / slotsPerSecond * float64(time.Second))
}
