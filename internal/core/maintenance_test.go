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

// An operator takes a replica out of service. From the next tick on nothing is sent to it, no matter what its source
// lists: the replica as ready, as removed, or as present again, in a change or a full list. After the operator has
// ended the maintenance, the source's list applies again. The replica is then in slow start and gets few parts at
// first.
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
			t.Errorf("%s: parts sent to %s, want %s", name, got, want)
		}
	}
	wantSentTo("before", "map[a:true b:true]")
	if !h.HasEndpoint("a") || h.HasEndpoint("c") {
		t.Error("HasEndpoint does not match the list, which has a but not c")
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
	t.Error("nothing is sent to the replica after its maintenance ended")
}

// An operator takes out the only replica while the queue is full of queries. The next tick applies the register first,
// so it sends none of them.
func TestMaintenanceIsAppliedBeforeQueuedQueries(t *testing.T) {
	h := newHarness(t, nil)
	for h.Submit(h.query("free", 0)) {
	}
	h.SetMaintenance(maintenance.Register{"a": {Out: true, At: h.clock}})
	h.tick()
	if len(h.caller.calls) != 0 {
		t.Errorf("%d calls to a replica that was taken out before the tick", len(h.caller.calls))
	}
}

// Operators take out the last holder of a shard. Queries that need the shard are rejected by their deadline, and one
// log line gives the reason.
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
		t.Error("a part was sent to a replica in maintenance")
	}
	if n := strings.Count(log.String(), logmsg.ShardsUncovered); n != 1 {
		t.Errorf("%d log lines about uncovered shards, want 1: %s", n, &log)
	}
}
