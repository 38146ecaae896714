package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// A source that the module did not ask, such as an inventory file, sends a list. The module must not take it as the
// answer to its subscription: it still needs one from the polled source.
func TestListOfUnaskedSourceIsNoSubscription(t *testing.T) {
	subscribed := 0
	h := newHarness(t, func(c *Config) {
		c.Settings.Subscribe, c.Settings.ListMaxAge = true, time.Second
		c.PolledSource, c.Subscribe = "discovery", func() { subscribed++ }
	}) // the harness's list comes from the source "test"
	h.pass(10 * time.Second)
	if subscribed < 2 {
		t.Errorf("%d subscriptions, want at least 2", subscribed)
	}
}

func TestFullListKeepsEndpointsOfOtherSources(t *testing.T) {
	h := newHarness(t, nil)
	b, c := fakeEndpoint("b", scatter.Ready), fakeEndpoint("c", scatter.Ready)
	h.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{b, c})
	h.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{b})
	h.tick()
	listed := h.endpoints.byID
	if len(listed) != 2 || listed["a"].source != "test" || listed["b"].source != "other" {
		t.Errorf("endpoints %v, want a and b", listed)
	}
}

// Replicas come and go, each under a new id. Removed endpoints are forgotten, and their idle connections are closed.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 50 {
		id := fmt.Sprint("n", i)
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{fakeEndpoint(id, scatter.Ready)})
		h.pass(time.Second)
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{fakeEndpoint(id, scatter.Removed)})
	}
	h.pass(0)
	if len(h.endpoints.byID) != 1 || len(h.caller.disconnected) < 50 {
		t.Errorf("%d endpoints remain, %d were disconnected; want 1 and at least 50",
			len(h.endpoints.byID), len(h.caller.disconnected))
	}
	h.update(scatter.FullUpdate, fakeEndpoint("n99", scatter.Ready))
	listed, disconnected := h.endpoints.byID, h.caller.disconnected
	if listed["n99"].ID == "" || len(listed) != 1 || disconnected[len(disconnected)-1] != "a" {
		t.Errorf("endpoints %v after a full list, disconnected %v", listed, disconnected)
	}
}

// An inventory is read while discovery lists replicas too. A shard that another source's Ready replica holds keeps its
// holder, one that only the inventory's replicas hold does not, and one without a holder before is not lost by it.
func TestShardsLosingHolders(t *testing.T) {
	at := func(id string, position int, state scatter.ReplicaState) Endpoint {
		e := fakeEndpoint(id, state)
		e.RingPosition = position
		return e
	}
	h := newHarness(t, func(c *Config) {
		c.Settings.RingSize, c.Settings.ReplicationFactor, c.Limits.Shards = 4, 1, 4
	})
	h.UpdateEndpoints("inventory", scatter.FullUpdate, []Endpoint{at("i0", 0, scatter.Ready), at("i1", 1, scatter.Ready)})
	h.UpdateEndpoints("discovery", scatter.CachedUpdate,
		[]Endpoint{at("d0", 0, scatter.Ready), at("d1", 1, scatter.Draining)})
	h.tick()
	for _, tc := range []struct {
		next []Endpoint
		want []int
	}{
		{nil, []int{1}},
		{[]Endpoint{at("i9", 1, scatter.Ready)}, nil},
		{[]Endpoint{at("i9", 3, scatter.Ready)}, []int{1}},
	} {
		if got := h.ShardsLosingHolders("inventory", tc.next); !slices.Equal(got, tc.want) {
			t.Errorf("with %v in the inventory: shards %v lose their holders, want %v", tc.next, got, tc.want)
		}
	}
}
