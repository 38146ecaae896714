package scatter

import (
	"testing"
	"time"
)

// Where not all parts are needed, the others stay unsent until a part is overdue.
func TestSparePartIsSentBeforeHedging(t *testing.T) {
	s := base()
	s.Classes[0].CompleteFraction = 0.75
	h := start(t, s, names("a", "b")...)
	sends := of[Send](h.query("c", 0, 1, 2, 3))
	if len(sends) != 3 {
		t.Fatalf("%d parts asked for, want 3", len(sends))
	}
	h.step(100*ms, ended(sends[0].Part, 0, sends[0].Replica, Succeeded, 100*ms),
		ended(sends[1].Part, 0, sends[1].Replica, Succeeded, 100*ms))
	more := of[Send](h.step(900*ms, TimerFired{}))
	if len(more) != 1 || more[0].Part == sends[2].Part {
		t.Fatalf("overdue part answered by %v, want the other part", more)
	}
	acts := h.step(100*ms, ended(more[0].Part, 0, more[0].Replica, Succeeded, 100*ms))
	if a := of[Answer](acts); len(a) != 1 || !a[0].Complete {
		t.Errorf("no whole answer from three of four: %v", acts)
	}
	if off := of[CancelAttempt](acts); len(off) != 1 || off[0].Part != sends[2].Part {
		t.Errorf("the part left over is not cancelled: %v", acts)
	}
}

// Without hedged requests, an attempt that has taken ten times as long as usual is cancelled, and the part goes to
// another replica well before its objective. One that is merely slow is waited for, and so is one that may not run
// twice.
func TestLostAttemptIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		repeat Idempotency
		usual  time.Duration
		lost   bool
	}{{Idempotent, 20 * ms, true}, {Idempotent, 300 * ms, false}, {NonIdempotent, 20 * ms, false}} {
		s := base()
		s.Hedging = false
		s.Classes[0].Idempotency = tc.repeat
		h := start(t, s, names("a", "b")...)
		for range 100 {
			h.step(20 * ms)
			for _, x := range of[Send](h.query("c", 0)) {
				h.step(tc.usual, ended(x.Part, 0, x.Replica, Succeeded, tc.usual))
			}
		}
		first := of[Send](h.query("c", 0))[0]
		var again []Send
		var off []CancelAttempt
		var after time.Duration
		for ; after < 1900*ms && len(off) == 0; after += 20 * ms {
			off = of[CancelAttempt](h.step(20*ms, TimerFired{}))
		}
		if len(off) > 0 {
			again = of[Send](h.step(5*ms, ended(first.Part, 0, first.Replica, Cancelled, after)))
		}
		lost := len(again) == 1 && again[0].Replica != first.Replica && after < sec
		if lost != tc.lost || !lost && len(off) > 0 {
			t.Errorf("%+v: cancelled %v after %v, then %v", tc, off, after, again)
		}
	}
}
