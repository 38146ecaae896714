package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// askedNode sends a query and tells which node its part went to; it is then served.
func (h *harness) askedNode(t *testing.T, class string) string {
	t.Helper()
	n := len(h.caller.calls)
	h.Submit(h.query(class, 0))
	h.pass(0)
	if len(h.caller.calls) == n {
		return "none"
	}
	at := h.caller.last()
	h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	h.pass(0)
	return at.Endpoint
}

// A node that is out gets nothing from the turn on that hears of it, whatever lists say meanwhile: that it runs, that
// it is gone, that it is back, from the source anew or after a move. What the source says holds again after the call
// back.
func TestNodeOutByHand(t *testing.T) {
	h := newHarness(t, nil)
	node := func(id string, state scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: id, State: state}, Address: id, Scheme: "fake"}
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node("a", 0), node("b", 0)})
	h.pass(0)
	book := maintenance.Register{}
	call := func(out bool) {
		book = maintenance.Register{"a": {Out: out, At: h.clock, OutSince: book["a"].At}}
		h.SetMaintenance(book)
		h.pass(0)
	}
	only := func(what, want string) {
		t.Helper()
		seen := map[string]bool{}
		for range 30 {
			seen[h.askedNode(t, "free")] = true
		}
		if got := fmt.Sprint(seen); got != want {
			t.Errorf("%s: asked %s, want %s", what, got, want)
		}
	}
	only("before", "map[a:true b:true]")
	if !h.HasEndpoint("a") || h.HasEndpoint("c") {
		t.Error("the ids that are listed are not known")
	}
	call(true)
	only("out", "map[b:true]")
	h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("a", scatter.Ready)})
	h.pass(0)
	only("listed as running", "map[b:true]")
	h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("a", scatter.Removed)})
	h.pass(0)
	only("gone", "map[b:true]")
	h.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node("a", 0), node("b", 0)})
	h.pass(0)
	only("back under the same id", "map[b:true]")
	h.clock += time.Second
	call(false)
	for range 300 { // cold, so it is sent a few at first
		if h.askedNode(t, "free") == "a" {
			return
		}
		h.pass(100 * ms)
	}
	t.Error("called back and never asked")
}

// What asks the owner waits for no query: the book is heeded first in the very next turn, however many are queued.
func TestMaintenanceComesBeforeTheQueue(t *testing.T) {
	h := newHarness(t, nil)
	for h.Submit(h.query("free", 0)) {
	}
	h.SetMaintenance(maintenance.Register{"a": {Out: true, At: h.clock}})
	h.tick()
	if len(h.caller.calls) != 0 {
		t.Errorf("%d calls to a node that was out before the turn", len(h.caller.calls))
	}
}

// The last holder of a section out by hand: its queries end with a clear answer in time, and one line says why.
func TestLastHolderOut(t *testing.T) {
	var log bytes.Buffer
	h := newHarness(t, func(c *Config) {
		c.Limits.Shards = 1
		c.Log = slog.New(slog.NewTextHandler(&log, nil))
	})
	h.SetMaintenance(maintenance.Register{"a": {Out: true, At: h.clock}})
	h.pass(0)
	h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "fake"}})
	h.pass(0)
	h.Submit(h.query("free", 0))
	h.pass(4 * time.Second)
	h.want(t, `1 whole=false []`)
	if len(h.caller.calls) != 0 {
		t.Error("sent to a node that is out")
	}
	if n := strings.Count(log.String(), logmsg.ShardsUncovered); n != 1 {
		t.Errorf("%d lines on it: %s", n, &log)
	}
}
