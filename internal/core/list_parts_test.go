package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// The entries of a list that is not whole yet count at once, but only its last ones make the owner ready, however long
// they take: a remembered list does after a while, these do not.
func TestPartsOfAList(t *testing.T) {
	settings := newHarness(t, nil).cfg.Settings
	settings.Subscribe, settings.ListMaxAge = true, 10*time.Second
	now := time.Hour
	o, err := New(Config{Settings: settings, Clock: func() time.Duration { return now }, Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	node := func(id string, state scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: id, State: state}, Scheme: "fake"}
	}
	o.tick()
	o.UpdateEndpointsPartially("test", []Endpoint{node("a", scatter.Ready), node("b", scatter.Ready)})
	o.UpdateEndpointsPartially("test", []Endpoint{node("a", scatter.Draining), node("b", scatter.Removed)})
	for range 3 {
		now += 2 * cachedListDelay
		if o.tick(); o.Phase() != Starting {
			t.Fatalf("half a list: %v", o.Phase())
		}
	}
	if _, gone := o.endpoints.byID["b"]; gone || o.endpoints.byID["a"].State != scatter.Draining {
		t.Errorf("the parts do not count: %v", o.endpoints.byID)
	}
	o.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("c", scatter.Ready)})
	if o.tick(); o.Phase() != Ready || len(o.endpoints.byID) != 2 {
		t.Errorf("the whole list: %v, %v", o.Phase(), o.endpoints.byID)
	}
}
