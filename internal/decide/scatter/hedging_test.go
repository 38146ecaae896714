package scatter

import (
	"testing"
	"time"
)

// If a query does not need all of its parts, the others are not sent until a part is overdue.
func TestSparePartIsSentBeforeHedging(t *testing.T) {
	s := base()
	s.Classes[0].CompleteFraction = 0.75
	h := start(t, s, names("a", "b")...)
	sends := of[Send](h.query("c", 0, 1, 2, 3))
	if len(sends) != 3 {
		t.Fatalf("%d parts sent, want 3", len(sends))
	}
	h.step(100*ms, ended(sends[0].Part, 0, sends[0].Replica, Succeeded, 100*ms),
		ended(sends[1].Part, 0, sends[1].Replica, Succeeded, 100*ms))
	more := of[Send](h.step(900*ms, TimerFired{}))
	if len(more) != 1 || more[0].Part == sends[2].Part {
		t.Fatalf("for an overdue part got %v, want the other part", more)
	}
	acts := h.step(100*ms, ended(more[0].Part, 0, more[0].Replica, Succeeded, 100*ms))
	if a := of[Answer](acts); len(a) != 1 || !a[0].Complete {
		t.Errorf("got %v, want a complete answer from three of four parts", acts)
	}
	if cancelled := of[CancelAttempt](acts); len(cancelled) != 1 || cancelled[0].Part != sends[2].Part {
		t.Errorf("got %v, want the overdue attempt cancelled", acts)
	}
}

// Without hedged requests, an attempt that has taken ten times as long as usual is cancelled, and the part is sent to
// another replica well before its objective. An attempt that is merely slow is waited for, and so is one whose part may
// not run twice.
func TestLostAttemptIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		idempotency Idempotency
		usual       time.Duration
		lost        bool
	}{{Idempotent, 20 * ms, true}, {Idempotent, 300 * ms, false}, {NonIdempotent, 20 * ms, false}} {
		s := base()
		s.Hedging = false
		s.Classes[0].Idempotency = tc.idempotency
		h := start(t, s, names("a", "b")...)
		for range 100 {
			h.step(20 * ms)
			for _, x := range of[Send](h.query("c", 0)) {
				h.step(tc.usual, ended(x.Part, 0, x.Replica, Succeeded, tc.usual))
			}
		}
		first := of[Send](h.query("c", 0))[0]
		var again []Send
		var cancelled []CancelAttempt
		var after time.Duration
		for ; after < 1900*ms && len(cancelled) == 0; after += 20 * ms {
			cancelled = of[CancelAttempt](h.step(20*ms, TimerFired{}))
		}
		if len(cancelled) > 0 {
			again = of[Send](h.step(5*ms, ended(first.Part, 0, first.Replica, Cancelled, after)))
		}
		lost := len(again) == 1 && again[0].Replica != first.Replica && after < sec
		if lost != tc.lost || !lost && len(cancelled) > 0 {
			t.Errorf("%+v: cancelled %v after %v, then sent %v", tc, cancelled, after, again)
		}
	}
}
