package opensearch_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// heldAttempt is a query of one part whose first attempt waits for its connection, and two replicas that both hold the
// part's shard.
type heldAttempt struct {
	*testing.T
	coordinator *core.Coordinator
	calls       callers
	dialer      *heldDialer
	release     chan struct{} // closed to let the held dial return
	endpoints   []core.Endpoint
	fleets      []*fake.Replicas // one for each endpoint
	first       int              // index of the endpoint whose dial is held
	clientLeft  chan struct{}
	done        chan core.Answer
}

// heldAttemptSettings has an idempotent class, a non-idempotent one, and one with a short deadline.
func heldAttemptSettings() scatter.Settings {
	s := settings()
	s.RingSize, s.ReplicationFactor = 1, 1
	free := scatter.Class{Name: "free", LatencyObjective: 5 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1,
		CompleteFraction: 1, MinFraction: 1}
	once, short := free, free
	once.Name, once.Idempotency = "once", scatter.NonIdempotent
	short.Name, short.LatencyObjective, short.Deadline = "short", 100*ms, 200*ms
	s.Classes = []scatter.Class{free, once, short}
	return s
}

// newHeldAttempt starts the query and returns once its first attempt waits for a connection. Dials to the other replica
// are not held.
func newHeldAttempt(t *testing.T, scheme, class string) *heldAttempt {
	s := heldAttemptSettings()
	c := checkedConfig(t, s, "a", map[string]*opensearch.Index{
		"a": {Class: "free"}, "b": {Class: "short"}, "c": {Class: "once", TakesDocuments: true}})
	fx := &heldAttempt{T: t, dialer: newHeldDialer(), release: make(chan struct{}), clientLeft: make(chan struct{}),
		done: make(chan core.Answer, 1)}
	fx.calls = newCallers(c, 20*time.Second, time.Second, fx.dialer.dial)
	clock := core.SystemClock()
	fx.coordinator = fx.calls.newCoordinator(t, s, core.Limits{}, clock)
	for i := range 2 {
		l := listenTCP(t)
		fleet := &fake.Replicas{}
		fx.fleets = append(fx.fleets, fleet)
		go serveReplica(fleet, scheme, l)
		address := l.Addr().String()
		fx.dialer.hold(address, fx.release) // both, since the coordinator picks the first replica at random
		replica := scatter.Replica{ID: string(rune('a' + i))}
		fx.endpoints = append(fx.endpoints, core.Endpoint{Replica: replica, Address: address, Scheme: scheme})
	}
	go fx.coordinator.Run()
	fx.coordinator.UpdateEndpoints("test", scatter.FullUpdate, fx.endpoints)
	go func() {
		fx.done <- fx.coordinator.Execute(&core.Query{ID: "q", Class: class, Deadline: clock() + 9*time.Second,
			Body: []byte("t"), Parts: []core.Part{{Shard: 0, Weight: 1}}}, fx.clientLeft)
	}()
	address := <-fx.dialer.dialed
	fx.first = slices.IndexFunc(fx.endpoints, func(e core.Endpoint) bool { return e.Address == address })
	fx.dialer.letThrough(fx.endpoints[1-fx.first].Address)
	return fx
}

// expectServedAfter changes the state of the waiting attempt's replica, and expects the query to be served.
func (fx *heldAttempt) expectServedAfter(state scatter.ReplicaState) {
	e := fx.endpoints[fx.first]
	e.State = state
	fx.coordinator.UpdateEndpoints("test", scatter.IncrementalUpdate, []core.Endpoint{e})
	fx.expectServed()
}

func (fx *heldAttempt) expectServed() {
	if a := <-fx.done; a.Status != core.Served {
		fx.Errorf("answer is %+v, want it served", a)
	}
}

// An attempt has been decided and waits for its connection when its replica drains or is removed, its client leaves or
// its deadline passes. Once the connection is established, nothing may be sent on it. A part whose client is still
// waiting goes to the other replica at once. The test covers both kinds of replicas.
func TestAttemptWaitingForConnectionDoesNotBegin(t *testing.T) {
	for name, tc := range map[string]struct {
		class                string
		event                func(fx *heldAttempt) // occurs while the attempt waits
		begins, otherReplica bool                  // the first replica receives the part; the other one does
	}{
		"nothing happens": {class: "free", begins: true, event: func(*heldAttempt) {}},
		"the replica drains": {class: "free", otherReplica: true,
			event: func(fx *heldAttempt) { fx.expectServedAfter(scatter.Draining) }},
		"a report's replica is removed": {class: "once", otherReplica: true,
			event: func(fx *heldAttempt) { fx.expectServedAfter(scatter.Removed) }},
		"the client leaves": {class: "free", event: func(fx *heldAttempt) {
			close(fx.clientLeft)
			<-fx.done
		}},
		"the deadline passes": {class: "short", event: func(fx *heldAttempt) { <-fx.done }},
	} {
		for _, scheme := range []string{platform.Scheme, opensearch.Scheme} {
			t.Run(name+", "+scheme, func(t *testing.T) {
				t.Parallel()
				fx := newHeldAttempt(t, scheme, tc.class)
				tc.event(fx)
				close(fx.release)
				if tc.begins {
					fx.expectServed()
				}
				fx.coordinator.Stop()
				time.Sleep(100 * ms) // time for anything that would still be sent
				first, other := fx.fleets[fx.first].Received(), fx.fleets[1-fx.first].Received()
				if (len(first) > 0) != tc.begins {
					t.Errorf("replica whose dial was held received %q", strings.Join(first, "; "))
				}
				if (len(other) > 0) != tc.otherReplica {
					t.Errorf("other replica received %q", strings.Join(other, "; "))
				}
				fx.calls.close()
			})
		}
	}
}
