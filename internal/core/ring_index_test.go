package core

import (
	"slices"
	"testing"

	"harepass/internal/decide/scatter"
)

// The index finds the holders of a shard after any earlier updates: endpoints that move, are removed, or are dropped by
// a full list, ring positions beyond the ring size, and settings that change the ring.
func TestRingIndexFindsHolders(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Settings.RingSize, c.Settings.ReplicationFactor = 5, 2 })
	update := func(kind scatter.UpdateKind, positions map[string]int, state scatter.ReplicaState) {
		var list []Endpoint
		for id, position := range positions {
			replica := scatter.Replica{ID: id, RingPosition: position, State: state}
			list = append(list, Endpoint{Replica: replica, Scheme: "fake"})
		}
		h.UpdateEndpoints("test", kind, list)
		h.pass(ms)
	}
	want := func(shard int, ids ...string) {
		t.Helper()
		got := h.endpoints.ring.holders(shard)
		if slices.Sort(got); !slices.Equal(got, ids) {
			t.Errorf("holders of shard %d are %v, want %v", shard, got, ids)
		}
	}
	update(scatter.FullUpdate, map[string]int{"a": 0, "b": 1, "c": 2, "d": 8, "e": 4}, scatter.Ready)
	want(0, "a", "b")
	want(2, "c", "d")
	want(4, "a", "e")
	update(scatter.IncrementalUpdate, map[string]int{"a": 3}, scatter.Draining) // moved
	want(4, "e")
	want(3, "a", "d", "e")
	update(scatter.IncrementalUpdate, map[string]int{"d": 8}, scatter.Removed)
	want(2, "a", "c")
	update(scatter.FullUpdate, map[string]int{"b": 1, "f": 2}, scatter.Ready)
	want(1, "b", "f")
	want(3)
	if h.HasEndpoint("a") || !h.HasEndpoint("f") {
		t.Error("HasEndpoint does not match the list, which has f but not a")
	}
	s := h.inForce().Settings
	s.RingSize, s.ReplicationFactor = 2, 1
	configureRequest{&settingsInForce{s, Limits{}}, make(chan error, 1)}.apply(h.Coordinator)
	want(1, "b")
	want(4, "f")
}
