package scatter

import (
	"testing"
	"time"
)

// The idempotency of a class decides whether a part is sent again after an attempt that may have run.
func TestRetryByIdempotency(t *testing.T) {
	for _, tc := range []struct {
		name        string
		idempotency Idempotency
		outcome     Outcome
		after       time.Duration
		again       bool
	}{
		{"idempotent after an error", Idempotent, Errored, 100 * ms, true},
		{"keyed within its window", Keyed, ConnectionReset, 400 * ms, true},
		{"keyed at the end of its window", Keyed, ConnectionReset, 500 * ms, true},
		{"keyed past its window", Keyed, ConnectionReset, 505 * ms, false},
		{"non-idempotent that may have run", NonIdempotent, ConnectionReset, 100 * ms, false},
		{"non-idempotent that never ran", NonIdempotent, ConnectFailed, 100 * ms, true},
	} {
		s := base()
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow = tc.idempotency, 500*ms
		h := start(t, s, names("a", "b")...)
		h.m.hedges.tokens = 0
		first := of[Send](h.query("c", 0))[0]
		acts := h.step(tc.after, ended(first.Part, 0, first.Replica, tc.outcome, tc.after))
		if got := len(of[Send](acts)) == 1; got != tc.again {
			t.Errorf("%s: part sent again: %v, want %v", tc.name, got, tc.again)
		}
		if !tc.again && (len(of[Fail](acts)) != 1 || len(of[Reject](acts)) != 0) {
			t.Errorf("%s: query did not fail at once: %v", tc.name, acts)
		}
	}
}

func TestNonIdempotentIsNeverRejectedWhileItMayRun(t *testing.T) {
	s := base()
	s.Classes[0].Idempotency = NonIdempotent
	h := start(t, s, names("a", "b")...)
	acts := h.query("c", 0)
	for range 1200 {
		if len(of[Reject](acts)) > 0 || len(of[Send](acts)) > 0 && h.now > 100*sec {
			t.Fatalf("at %v: %v", h.now, acts)
		}
		acts = h.step(5*ms, TimerFired{})
	}
}

// If all replicas reject for a moment, a part does not use its last attempt at once.
func TestThirdAttemptWaits(t *testing.T) {
	h := start(t, base(), names("a", "b", "c", "d")...)
	x := of[Send](h.query("c", 0))[0]
	y := of[Send](h.step(ms, ended(x.Part, 0, x.Replica, Rejected, ms)))
	if len(y) != 1 {
		t.Fatalf("got %v, want one second attempt", y)
	}
	if z := of[Send](h.step(ms, ended(x.Part, 1, y[0].Replica, Rejected, ms))); len(z) != 0 {
		t.Errorf("third attempt sent without delay: %v", z)
	}
	if z := of[Send](h.step(400*ms, TimerFired{})); len(z) != 1 {
		t.Errorf("got %v, want one third attempt after the delay", z)
	}
}
