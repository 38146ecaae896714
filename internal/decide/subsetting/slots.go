package subsetting

import "time"

// NextSlot returns the instant of the coordinator's next time slot for the thing that the salt identifies. The slot is
// one period after now, plus or minus half a period. Each coordinator has one slot per period. On a common clock the
// slots of all coordinators are spaced evenly, so any time interval has at most one slot more than its even number,
// even if all coordinators began to wait at the same instant.
func (o Offset) NextSlot(now, period time.Duration, salt uint64) time.Duration {
	if period <= 0 {
		return now
	}
	earliest := now + period/2
	slot := time.Duration(onCircle(float64(o)+mix(salt)) * float64(period)) // offset of the slot within each period
	passed := earliest % period
	if slot < passed {
		slot += period
	}
	return earliest - passed + slot
}

// SlotPeriod returns the period at which a number of coordinators together have slotsPerSecond slots per second.
func SlotPeriod(members, slotsPerSecond float64) time.Duration {
	return time.Duration(members / slotsPerSecond * float64(time.Second))
}
