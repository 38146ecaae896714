package subsetting

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// All coordinators of a fleet begin to wait at the same instant. Each has one slot per period, not sooner than half a
// period after that instant. No time window has more than a few slots above the even number.
func TestSlotsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 1000).Draw(t, "coordinators")
		period := time.Duration(rapid.IntRange(1, 20000).Draw(t, "wait")) * time.Millisecond
		now := time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "now"))
		salt := rapid.Uint64().Draw(t, "salt")
		var slots []time.Duration
		for _, m := range fleet(size) {
			slot := m.Offset().NextSlot(now, period, salt)
			if slot < now+period/2 || slot > now+3*period/2 {
				t.Fatalf("member %v, period %v: slot after %v, want 0.5 to 1.5 periods", m, period, slot-now)
			}
			if next := m.Offset().NextSlot(slot, period, salt); next < slot+period/2 || next > slot+3*period/2 {
				t.Fatalf("member %v: next slot %v after the first, want 0.5 to 1.5 periods", m, next-slot)
			}
			slots = append(slots, slot)
		}
		slices.Sort(slots)
		for _, divisor := range []int{2, 5, 10} {
			window, from := period/time.Duration(divisor), 0
			for i := range slots {
				for slots[i]-slots[from] > window {
					from++
				}
				if i-from+1 > size/divisor+3 {
					t.Fatalf("%d of %d slots are within 1/%d of the period", i-from+1, size, divisor)
				}
			}
		}
	})
	if d := SlotPeriod(200, 25); d != 8*time.Second {
		t.Errorf("period of 200 members with 25 slots per second is %v, want 8s", d)
	}
}
