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
)

// askedNode sends a query and tells which node its part went to; it is then served.
func (r *rig) askedNode(t *testing.T, class string) string {
	t.Helper()
	n := len(r.hand.calls)
	r.Submit(r.query(class, 0))
	r.pass(0)
	if len(r.hand.calls) == n {
		return "none"
	}
	at := r.hand.last()
	r.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	r.pass(0)
	return at.Endpoint
}

// A node that is out gets nothing from the turn on that hears of it, whatever lists say meanwhile: that it runs, that it
// is gone, that it is back, from the source anew or after a move. What the source says holds again after the call back.
func TestNodeOutByHand(t *testing.T) {
	r := newRig(t, nil)
	node := func(id string, state scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: id, State: state}, Address: id, Scheme: "hand"}
	}
	r.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node("a", 0), node("b", 0)})
	r.pass(0)
	book := maintenance.Register{}
	call := func(out bool) {
		book = maintenance.Register{"a": {Out: out, At: r.clock, OutSince: book["a"].At}}
		r.SetMaintenance(book)
		r.pass(0)
	}
	only := func(what, want string) {
		t.Helper()
		seen := map[string]bool{}
		for range 30 {
			seen[r.askedNode(t, "free")] = true
		}
		if got := fmt.Sprint(seen); got != want {
			t.Errorf("%s: asked %s, want %s", what, got, want)
		}
	}
	only("before", "map[a:true b:true]")
	if !r.HasEndpoint("a") || r.HasEndpoint("c") {
		t.Error("the ids that are listed are not known")
	}
	call(true)
	only("out", "map[b:true]")
	r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("a", scatter.Ready)})
	r.pass(0)
	only("listed as running", "map[b:true]")
	r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("a", scatter.Removed)})
	r.pass(0)
	only("gone", "map[b:true]")
	r.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node("a", 0), node("b", 0)})
	r.pass(0)
	only("back under the same id", "map[b:true]")
	r.clock += time.Second
	call(false)
	for range 300 { // cold, so it is sent a few at first
		if r.askedNode(t, "free") == "a" {
			return
		}
		r.pass(100 * ms)
	}
	t.Error("called back and never asked")
}

// What asks the owner waits for no query: the book is heeded first in the very next turn, however many are queued.
func TestMaintenanceComesBeforeTheQueue(t *testing.T) {
	r := newRig(t, nil)
	for r.Submit(r.query("free", 0)) {
	}
	r.SetMaintenance(maintenance.Register{"a": {Out: true, At: r.clock}})
	r.turn()
	if len(r.hand.calls) != 0 {
		t.Errorf("%d calls to a node that was out before the turn", len(r.hand.calls))
	}
}

// The last holder of a section out by hand: its queries end with a clear answer in time, and one line says why.
func TestLastHolderOut(t *testing.T) {
	var log bytes.Buffer
	r := newRig(t, func(c *Config) {
		c.Limits.Shards = 1
		c.Log = slog.New(slog.NewTextHandler(&log, nil))
	})
	r.SetMaintenance(maintenance.Register{"a": {Out: true, At: r.clock}})
	r.pass(0)
	r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "hand"}})
	r.pass(0)
	r.Submit(r.query("free", 0))
	r.pass(4 * time.Second)
	r.want(t, `1 whole=false []`)
	if len(r.hand.calls) != 0 {
		t.Error("sent to a node that is out")
	}
	if n := strings.Count(log.String(), "sections whose nodes are all out by hand"); n != 1 {
		t.Errorf("%d lines on it: %s", n, &log)
	}
}
