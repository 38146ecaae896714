package core

import (
	"fmt"
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
