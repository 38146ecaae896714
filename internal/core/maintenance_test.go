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

// An operator takes a replica out. From the next tick on nothing is sent to it, whatever its source lists meanwhile:
// that it runs, that it was removed, that it is back, in a change or a full list. After the operator has called it
// back, what its source lists counts again; it is in slow start then, so it is sent few parts at first.
func TestReplicaInMaintenanceIsNotSentTo(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	register := maintenance.Register{}
	setOut := func(out bool) {
		register = maintenance.Register{"a": {Out: out, At: h.clock, OutSince: register["a"].At}}
		h.SetMaintenance(register)
		h.pass(0)
	}
	wantSentTo := func(name, want string) {
		t.Helper()
		seen := map[string]bool{}
		for range 30 {
			seen[h.sentTo(t, "free")] = true
		}
		if got := fmt.Sprint(seen); got != want {
			t.Errorf("%s: sent to %s, want %s", name, got, want)
		}
	}
	wantSentTo("before", "map[a:true b:true]")
	if !h.HasEndpoint("a") || h.HasEndpoint("c") {
		t.Error("the ids that are listed are not known")
	}
	setOut(true)
	wantSentTo("out", "map[b:true]")
	h.update(scatter.IncrementalUpdate, fakeEndpoint("a", scatter.Ready))
	wantSentTo("listed as ready", "map[b:true]")
	h.update(scatter.IncrementalUpdate, fakeEndpoint("a", scatter.Removed))
	wantSentTo("removed", "map[b:true]")
	h.update(scatter.FullUpdate, fakeEndpoint("a", scatter.Ready), fakeEndpoint("b", scatter.Ready))
	wantSentTo("back under the same id", "map[b:true]")
	h.clock += time.Second
	setOut(false)
	for range 300 {
		if h.sentTo(t, "free") == "a" {
			return
		}
		h.pass(100 * ms)
	}
	t.Error("called back and never sent to")
}

// An operator takes the only replica out while the queue is full of queries. The register is applied first in the very
// next tick, so none of them is sent.
func TestMaintenanceIsAppliedBeforeQueuedQueries(t *testing.T) {
	h := newHarness(t, nil)
	for h.Submit(h.query("free", 0)) {
	}
	h.SetMaintenance(maintenance.Register{"a": {Out: true, At: h.clock}})
	h.tick()
	if len(h.caller.calls) != 0 {
		t.Errorf("%d calls to a replica that was out before the tick", len(h.caller.calls))
	}
}

// Operators take out the last holder of a shard. Queries that need the shard are rejected in time, and one line in the
// log says why.
func TestShardUncoveredByMaintenance(t *testing.T) {
	var log bytes.Buffer
	h := newHarness(t, func(c *Config) {
		c.Limits.Shards = 1
		c.Log = slog.New(slog.NewTextHandler(&log, nil))
	})
	h.SetMaintenance(maintenance.Register{"a": {Out: true, At: h.clock}})
	h.pass(0)
	h.update(scatter.IncrementalUpdate, fakeEndpoint("a", scatter.Ready))
	h.Submit(h.query("free", 0))
	h.pass(4 * time.Second)
	h.want(t, `refused complete=false []`)
	if len(h.caller.calls) != 0 {
		t.Error("sent to a replica that is out")
	}
	if n := strings.Count(log.String(), logmsg.ShardsUncovered); n != 1 {
		t.Errorf("%d lines on it: %s", n, &log)
	}
}
