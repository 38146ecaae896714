package scatter

import (
	"testing"
	"time"
)

// What may be sent again, by class, after an attempt that may have run.
func TestRetryByIdempotency(t *testing.T) {
	for _, tc := range []struct {
		name    string
		repeat  Idempotency
		outcome Outcome
		after   time.Duration
		again   bool
		refused bool // the final answer says that a repeat is harmless
	}{
		{"free after an error", Idempotent, Errored, 100 * ms, true, true},
		{"guarded within its window", Keyed, ConnectionReset, 400 * ms, true, false},
		{"guarded at its edge", Keyed, ConnectionReset, 500 * ms, true, false},
		{"guarded past its window", Keyed, ConnectionReset, 505 * ms, false, false},
		{"single shot that may have run", NonIdempotent, ConnectionReset, 100 * ms, false, false},
		{"single shot that never ran", NonIdempotent, ConnectFailed, 100 * ms, true, true},
	} {
		s := base()
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow = tc.repeat, 500*ms
		b := start(t, s, names("a", "b")...)
		b.m.hedges.tokens = 0
		first := of[Send](b.query("c", 0))[0]
		acts := b.step(tc.after, ended(first.Part, 0, first.Replica, tc.outcome, tc.after))
		if got := len(of[Send](acts)) == 1; got != tc.again {
			t.Errorf("%s: sent again %v, want %v", tc.name, got, tc.again)
		}
		if !tc.again && (len(of[Fail](acts)) != 1 || len(of[Reject](acts)) != 0) {
			t.Errorf("%s: not failed at once: %v", tc.name, acts)
		}
	}
}

func TestNonIdempotentIsNeverRejectedWhileItMayRun(t *testing.T) {
	s := base()
	s.Classes[0].Idempotency = NonIdempotent
	b := start(t, s, names("a", "b")...)
	acts := b.query("c", 0)
	for range 1200 {
		if len(of[Reject](acts)) > 0 || len(of[Send](acts)) > 0 && b.now > 100*sec {
			t.Fatalf("at %v: %v", b.now, acts)
		}
		acts = b.step(5*ms, TimerFired{})
	}
}

// All replicas reject for a moment: a part does not spend its last attempt at once.
func TestThirdAttemptWaits(t *testing.T) {
	b := start(t, base(), names("a", "b", "c", "d")...)
	x := of[Send](b.query("c", 0))[0]
	y := of[Send](b.step(ms, ended(x.Part, 0, x.Replica, Rejected, ms)))
	if len(y) != 1 {
		t.Fatalf("the second attempt: %v", y)
	}
	if z := of[Send](b.step(ms, ended(x.Part, 1, y[0].Replica, Rejected, ms))); len(z) != 0 {
		t.Errorf("the third attempt follows at once: %v", z)
	}
	if z := of[Send](b.step(400*ms, TimerFired{})); len(z) != 1 {
		t.Errorf("the third attempt never comes: %v", z)
	}
}
