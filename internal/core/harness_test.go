package core

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

const ms = time.Millisecond

// fakeCaller is a Caller that records its calls; the test ends the attempts.
type fakeCaller struct {
	calls        [][]*Attempt
	cancelled    []*Attempt
	disconnected []string // ids of replicas
}

func (f *fakeCaller) Call(_ Endpoint, list []*Attempt) { f.calls = append(f.calls, list) }
func (f *fakeCaller) Cancel(at *Attempt)               { f.cancelled = append(f.cancelled, at) }
func (f *fakeCaller) CloseIdleConnections(replica string) {
	f.disconnected = append(f.disconnected, replica)
}

// last returns the most recently sent attempt.
func (f *fakeCaller) last() *Attempt { c := f.calls[len(f.calls)-1]; return c[len(c)-1] }

// harness is a Coordinator whose ticks and clock are driven by the test.
type harness struct {
	*Coordinator
	caller     *fakeCaller
	clock      time.Duration
	answers    []string // of all queries, in order
	queryCount int
}

// newHarness returns a harness whose source "test" lists the endpoint a, on a ring of one position.
func newHarness(t testing.TB, change func(*Config)) *harness {
	t.Helper()
	h := &harness{caller: &fakeCaller{}, clock: time.Hour}
	class := scatter.Class{Name: "free", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1,
		LateWeight: 0.5, CompleteFraction: 1, MinFraction: 1}
	once := class
	once.Name, once.Idempotency = "once", scatter.NonIdempotent
	cfg := Config{
		Seed: 1, PolledSource: "test", Subscribe: func() {},
		Clock:   func() time.Duration { return h.clock },
		Callers: map[string]Caller{"fake": h.caller},
		Settings: scatter.Settings{Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 2, MaxAttempts: 3,
			Cancellation: true, TickInterval: 5 * ms, RetryAfter: time.Second, Classes: []scatter.Class{class, once}},
	}
	if change != nil {
		change(&cfg)
	}
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h.Coordinator = c
	h.update(scatter.FullUpdate, fakeEndpoint("a", scatter.Ready))
	return h
}

// newTwoEndpointHarness returns a harness with two endpoints, a and b, each of which holds all shards.
func newTwoEndpointHarness(t *testing.T, change func(*Config)) *harness {
	h := newHarness(t, change)
	h.update(scatter.FullUpdate, fakeEndpoint("a", scatter.Ready), fakeEndpoint("b", scatter.Ready))
	return h
}

// fakeEndpoint returns an endpoint at ring position 0 that the fakeCaller serves.
func fakeEndpoint(id string, state scatter.ReplicaState) Endpoint {
	return Endpoint{Replica: scatter.Replica{ID: id, State: state}, Address: id, Scheme: "fake"}
}

// update delivers a list or a change from the polled source.
func (h *harness) update(kind scatter.UpdateKind, endpoints ...Endpoint) {
	h.UpdateEndpoints("test", kind, endpoints)
	h.pass(0)
}

// pass advances the clock by d, with the ticks that Run would make.
func (h *harness) pass(d time.Duration) {
	end := h.clock + d
	h.tick()
	for h.clock < end {
		h.clock = min(end, h.clock+max(ms, h.untilNextTimer()))
		h.tick()
	}
}

// query returns a query of equally weighted parts whose deadline is in 3 s.
func (h *harness) query(class string, shards ...int) *Query {
	h.queryCount++
	q := &Query{ID: fmt.Sprint("q", h.queryCount), Class: class, Deadline: h.clock + 3*time.Second}
	for _, s := range shards {
		q.Parts = append(q.Parts, Part{Shard: s, Weight: 1 / float64(len(shards))})
	}
	q.Done = func(a Answer) {
		h.answers = append(h.answers, fmt.Sprintf("%s complete=%t %q", statusNames[a.Status], a.Complete, a.Values))
	}
	return q
}

// submit submits a query in a tick of its own.
func (h *harness) submit(q *Query) {
	h.Submit(q)
	h.pass(0)
}

// succeed ends all attempts sent so far with a value.
func (h *harness) succeed(value []byte) {
	for _, call := range h.caller.calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, value)
		}
	}
	h.pass(0)
}

// want checks all answers given so far.
func (h *harness) want(t *testing.T, answers ...string) {
	t.Helper()
	if len(answers)+len(h.answers) > 0 && !reflect.DeepEqual(h.answers, answers) {
		t.Errorf("answers %q, want %q", h.answers, answers)
	}
}

// wantNothingOpen checks that finished queries have left no state behind.
func (h *harness) wantNothingOpen(t *testing.T) {
	t.Helper()
	o := &h.open
	if o.count != 0 || o.bytes != 0 || len(o.parts) != 0 || len(o.byQuery) != 0 || len(o.byID) != 0 ||
		len(h.open.firstPhases) != 0 {
		t.Errorf("%d queries and parts count as open with %d bytes; %d parts, %d queries, %d first phases remain",
			o.count, o.bytes, len(o.parts), len(o.byQuery), len(h.open.firstPhases))
	}
}

// configure puts settings in force in the next tick, with the current limits.
func (h *harness) configure(s scatter.Settings) error {
	result := make(chan error, 1)
	h.post(configureRequest{&settingsInForce{s, h.inForce().limits}, result})
	h.pass(0)
	return <-result
}

// sentTo submits a query of one part, returns the replica that it is sent to, and answers the part. It returns none if
// nothing is sent.
func (h *harness) sentTo(t *testing.T, class string) string {
	t.Helper()
	n := len(h.caller.calls)
	h.submit(h.query(class, 0))
	if len(h.caller.calls) == n {
		return "none"
	}
	at := h.caller.last()
	h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	h.pass(0)
	return at.ReplicaID
}
