package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Discovery has not confirmed the list for so long that a replica may be draining without the coordinator's knowledge.
// Nothing new is sent: queries are rejected at once and a failed part is not retried, but attempts already sent may
// still succeed. After the list is confirmed, queries are sent again. Other sources have no lease.
func TestExpiredListStopsSends(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("free", 0))
	h.submit(h.query("free", 0))
	waiting, failing := h.caller.calls[0][0], h.caller.calls[0][1]
	if !waiting.Begin() || !failing.Begin() {
		t.Fatal("attempts may not begin with a valid list")
	}
	h.SetListExpiry("test", h.clock+100*ms)
	h.pass(99 * ms)
	if h.lease.expired {
		t.Fatal("the lease expired before its end")
	}
	h.pass(ms)
	if !h.lease.expired {
		t.Fatal("the lease has not expired at its end")
	}
	h.submit(h.query("free", 0))
	h.want(t, `refused complete=false []`)
	h.AttemptEnded(failing, scatter.Errored, nil)
	h.AttemptEnded(waiting, scatter.Succeeded, []byte("v"))
	h.pass(100 * ms)
	h.want(t, `refused complete=false []`, `served complete=true ["v"]`)
	if len(h.caller.calls) != 1 {
		t.Errorf("%d calls with an expired list, want none", len(h.caller.calls)-1)
	}
	h.SetListExpiry("test", h.clock+time.Second)
	h.Submit(h.query("free", 0))
	h.pass(50 * ms)
	if len(h.caller.calls) < 2 {
		t.Error("nothing is sent after the list was confirmed")
	}
	h.SetListExpiry("another", h.clock)
	h.pass(ms)
	if h.lease.expired {
		t.Error("an expiry for another source ended the lease")
	}
}

// The list expires while an attempt waits at its Caller: the attempt never begins.
func TestExpiredListWithholdsAttempts(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0))
	at := h.caller.last()
	h.SetListExpiry("test", h.clock+10*ms)
	h.pass(10 * ms)
	if at.Begin() {
		t.Error("an attempt may begin with an expired list")
	}
}

// BenchmarkExpiry measures the two ticks in which a list of 3,200 endpoints expires and is confirmed.
func BenchmarkExpiry(b *testing.B) {
	h := newFleetHarness(b, 3200)
	for b.Loop() {
		h.SetListExpiry("test", h.clock+ms)
		h.pass(ms)
		h.SetListExpiry("test", h.clock+time.Hour)
		h.pass(0)
	}
}
