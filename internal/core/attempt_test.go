package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// An attempt times out at a replica that may still run it. The part's next attempt must not reach a replica before the
// cancellation does: the attempt ends when its Caller has sent the cancellation or, after cancelGrace, closes the
// connection.
func TestNoRetryBeforeCancellationIsSent(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		h := newHarness(t, nil)
		h.submit(h.query("free", 0))
		first := h.caller.last()
		h.pass(first.Timeout)
		if len(h.caller.cancelled) != 1 || len(h.caller.calls) != 1 {
			t.Fatalf("%d cancelled and %d calls at the timeout, want 1 and 1",
				len(h.caller.cancelled), len(h.caller.calls))
		}
		if confirmed {
			h.AttemptEnded(first, scatter.Cancelled, nil)
			h.pass(0)
		} else {
			h.pass(cancelGrace)
		}
		if !first.ended {
			t.Error("the cancelled attempt has not ended")
		}
		if closed := len(h.caller.cancelled) == 2; closed == confirmed {
			t.Errorf("cancellation sent: %t, connection closed: %t", confirmed, closed)
		}
	}
}

// An unusable answer to one attempt closes the connection that another attempt shares. The Caller then cancels the
// other attempt itself. That is not an answer, so its part is retried.
func TestPartIsRetriedAfterCallerCancels(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0))
	h.AttemptEnded(h.caller.last(), scatter.Cancelled, nil)
	h.pass(0)
	if h.want(t); len(h.caller.calls) != 2 {
		t.Errorf("%d calls after the Caller cancelled, want 2", len(h.caller.calls))
	}
}

// An attempt times out, and its value arrives while the cancellation is being sent: the value counts.
func TestValueDuringCancellationCounts(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("once", 0))
	at := h.caller.last()
	h.clock += at.Timeout
	h.tick()
	h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	h.pass(time.Second)
	if len(h.answers) != 1 || len(h.caller.calls) != 1 {
		t.Errorf("answers %q and %d calls, want one of each", h.answers, len(h.caller.calls))
	}
}

// A hedged request is sent while the first attempt still runs. Both carry the query's idempotency key, so that replicas
// drop one of them.
func TestHedgedRequestHasTheIdempotencyKey(t *testing.T) {
	h := newTwoEndpointHarness(t, func(c *Config) {
		c.Settings.Hedging = true
		c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, 4*time.Second
	})
	submit := func(key string) {
		q := h.query("free", 0)
		q.IdempotencyKeys = []string{key}
		h.submit(q)
	}
	for range 50 { // these parts earn the allowance for a hedged request
		submit("earlier")
		h.caller.last().Begin()
		h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
		h.pass(5 * ms)
	}
	submit("key")
	first, calls := h.caller.last(), len(h.caller.calls)
	first.Begin()
	h.pass(500 * ms)
	if len(h.caller.calls) != calls+1 || first.ended || len(h.caller.cancelled) > 0 {
		t.Fatalf("%d further calls, the first attempt ended: %t, %d cancelled",
			len(h.caller.calls)-calls, first.ended, len(h.caller.cancelled))
	}
	hedged := h.caller.last()
	if first.IdempotencyKey != "key" || hedged.IdempotencyKey != "key" || hedged.ReplicaID == first.ReplicaID ||
		!hedged.Begin() {
		t.Errorf("the hedged request has the key %q at %s, the first attempt %q at %s",
			hedged.IdempotencyKey, hedged.ReplicaID, first.IdempotencyKey, first.ReplicaID)
	}
}
