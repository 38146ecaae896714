package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// The entries of a list that is not whole yet count at once, but only its last ones make the owner ready, however long
// they take: a remembered list does after a while, these do not.
func TestPartsOfAList(t *testing.T) {
	settings := newRig(t, nil).cfg.Settings
	settings.Subscribe, settings.ListMaxAge = true, 10*time.Second
	now := time.Hour
	o, err := New(Config{Settings: settings, Clock: func() time.Duration { return now }, Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	node := func(id string, state scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: id, State: state}, Scheme: "hand"}
	}
	o.turn()
	o.UpdateEndpointsPartially("test", []Endpoint{node("a", scatter.Ready), node("b", scatter.Ready)})
	o.UpdateEndpointsPartially("test", []Endpoint{node("a", scatter.Draining), node("b", scatter.Removed)})
	for range 3 {
		now += 2 * presumeAfter
		if o.turn(); o.Phase() != Starting {
			t.Fatalf("half a list: %v", o.Phase())
		}
	}
	if _, gone := o.nodes["b"]; gone || o.nodes["a"].State != scatter.Draining {
		t.Errorf("the parts do not count: %v", o.nodes)
	}
	o.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node("c", scatter.Ready)})
	if o.turn(); o.Phase() != Ready || len(o.nodes) != 2 {
		t.Errorf("the whole list: %v, %v", o.Phase(), o.nodes)
	}
}
