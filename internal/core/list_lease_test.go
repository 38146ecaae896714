package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Discovery has not confirmed the list for so long that a replica may be draining without the coordinator's knowledge.
// Nothing new is sent: queries are rejected at once and a failed part is not retried, while what was sent is still
// waited for. Once the list is confirmed, queries are sent again. Other sources have no lease.
func TestExpiredListStopsSends(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("free", 0))
	h.submit(h.query("free", 0))
	waiting, failing := h.caller.calls[0][0], h.caller.calls[0][1]
	if !waiting.Begin() || !failing.Begin() {
		t.Fatal("attempts may not begin by a list that is valid")
	}
	h.SetListExpiry("test", h.clock+100*ms)
	h.pass(99 * ms)
	if h.lease.expired {
		t.Fatal("expired too soon")
	}
	h.pass(ms)
	if !h.lease.expired {
		t.Fatal("not expired")
	}
	h.submit(h.query("free", 0))
	h.want(t, `refused complete=false []`)
	h.AttemptEnded(failing, scatter.Errored, nil)
	h.AttemptEnded(waiting, scatter.Succeeded, []byte("v"))
	h.pass(100 * ms)
	h.want(t, `refused complete=false []`, `served complete=true ["v"]`)
	if len(h.caller.calls) != 1 {
		t.Errorf("%d calls by an expired list", len(h.caller.calls)-1)
	}
	h.SetListExpiry("test", h.clock+time.Second)
	h.Submit(h.query("free", 0))
	h.pass(50 * ms)
	if len(h.caller.calls) < 2 {
		t.Error("nothing is sent by a list that was confirmed")
	}
	h.SetListExpiry("another", h.clock)
	h.pass(ms)
	if h.lease.expired {
		t.Error("the lease of another source counts")
	}
}

// The list expires while an attempt that was decided before waits at its caller: the attempt never begins.
func TestExpiredListWithholdsAttempts(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0))
	at := h.caller.last()
	h.SetListExpiry("test", h.clock+10*ms)
	h.pass(10 * ms)
	if at.Begin() {
		t.Error("an attempt begins by an expired list")
	}
}

// BenchmarkExpiry is the two ticks in which a list of 3,200 endpoints expires and is confirmed.
func BenchmarkExpiry(b *testing.B) {
	h := newFleetHarness(b, 3200)
	for b.Loop() {
		h.SetListExpiry("test", h.clock+ms)
		h.pass(ms)
		h.SetListExpiry("test", h.clock+time.Hour)
		h.pass(0)
	}
}
