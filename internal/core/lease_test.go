package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// A list that has expired stops all sends: queries are refused at once, a failed part is not sent again, and what is out is
// still waited for. Once the list is confirmed, queries are sent again.
func TestExpiredListStopsSends(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("free", 0))
	r.Submit(r.query("free", 0))
	r.pass(0)
	waiting, failing := r.hand.calls[0][0], r.hand.calls[0][1]
	if !waiting.Begin() || !failing.Begin() {
		t.Fatal("attempts may not begin by a list that holds")
	}
	r.SetListExpiry("test", r.clock+100*ms)
	r.pass(99 * ms)
	if r.expired {
		t.Fatal("expired too soon")
	}
	r.pass(ms)
	if !r.expired {
		t.Fatal("not expired")
	}
	r.Submit(r.query("free", 0))
	r.pass(0)
	r.want(t, `1 whole=false []`)
	r.AttemptEnded(failing, scatter.Errored, nil)
	r.AttemptEnded(waiting, scatter.Succeeded, []byte("v"))
	r.pass(100 * ms)
	r.want(t, `1 whole=false []`, `0 whole=true ["v"]`)
	if len(r.hand.calls) != 1 {
		t.Errorf("%d calls by an expired list", len(r.hand.calls)-1)
	}
	r.SetListExpiry("test", r.clock+time.Second)
	r.Submit(r.query("free", 0))
	r.pass(50 * ms)
	if len(r.hand.calls) < 2 {
		t.Error("nothing is sent by a list that was confirmed")
	}
	r.SetListExpiry("another", r.clock)
	r.pass(ms)
	if r.expired {
		t.Error("the lease of another source counts")
	}
}

// An attempt that was decided by a list which held, and has not begun when it expires, never begins.
func TestExpiredListWithholdsAttempts(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("free", 0))
	r.pass(0)
	at := r.hand.last()
	r.SetListExpiry("test", r.clock+10*ms)
	r.pass(10 * ms)
	if at.Begin() {
		t.Error("an attempt begins by an expired list")
	}
}

// BenchmarkExpiry is the two turns in which a list of 3,200 nodes expires and is confirmed.
func BenchmarkExpiry(b *testing.B) {
	r := newFleetRig(b, 3200)
	for b.Loop() {
		r.SetListExpiry("test", r.clock+ms)
		r.pass(ms)
		r.SetListExpiry("test", r.clock+time.Hour)
		r.pass(0)
	}
}
