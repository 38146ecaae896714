package core

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

const ms = time.Millisecond

// caller is a Caller that does nothing by itself: the test ends the attempts.
type fakeCaller struct {
	calls        [][]*Attempt
	cancelled    []*Attempt
	disconnected []string
}

func (f *fakeCaller) Call(_ Endpoint, list []*Attempt) { f.calls = append(f.calls, list) }
func (f *fakeCaller) Cancel(at *Attempt)               { f.cancelled = append(f.cancelled, at) }
func (f *fakeCaller) CloseIdleConnections(node string) { f.disconnected = append(f.disconnected, node) }

func (f *fakeCaller) last() *Attempt { c := f.calls[len(f.calls)-1]; return c[len(c)-1] }

// rig is an owner whose turns and clock the test moves.
type harness struct {
	*Coordinator
	caller     *fakeCaller
	clock      time.Duration
	answers    []string
	queryCount int
}

func newHarness(t testing.TB, change func(*Config)) *harness {
	t.Helper()
	h := &harness{caller: &fakeCaller{}, clock: time.Hour}
	cfg := Config{Seed: 1, PolledSource: "test", Clock: func() time.Duration { return h.clock }, Callers: map[string]Caller{"fake": h.caller},
		Subscribe: func() {}, Settings: scatter.Settings{Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 2, MaxAttempts: 3, Cancellation: true,
			TickInterval: 5 * ms, RetryAfter: time.Second, Classes: []scatter.Class{
				{Name: "free", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, LateWeight: 0.5, CompleteFraction: 1, MinFraction: 1},
				{Name: "once", LatencyObjective: time.Second, Deadline: 3 * time.Second, PriorityWeight: 1, LateWeight: 0.5, CompleteFraction: 1, MinFraction: 1, Idempotency: scatter.NonIdempotent},
			}}}
	if change != nil {
		change(&cfg)
	}
	o, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h.Coordinator = o
	o.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "fake"}})
	h.pass(0)
	return h
}

// pass lets time go by in turns as the loop would take them.
func (h *harness) pass(d time.Duration) {
	end := h.clock + d
	h.tick()
	for h.clock < end {
		h.clock = min(end, h.clock+max(ms, h.untilNextDeadline()))
		h.tick()
	}
}

func (h *harness) query(class string, shards ...int) *Query {
	h.queryCount++
	q := &Query{ID: fmt.Sprint("q", h.queryCount), Class: class, Deadline: h.clock + 3*time.Second}
	for _, s := range shards {
		q.Parts = append(q.Parts, Part{Shard: s, Weight: 1 / float64(len(shards))})
	}
	q.Done = func(a Answer) {
		h.answers = append(h.answers, fmt.Sprintf("%d whole=%t %q", a.Status, a.Complete, a.Values))
	}
	return q
}

func (h *harness) want(t *testing.T, answers ...string) {
	t.Helper()
	if len(answers)+len(h.answers) > 0 && !reflect.DeepEqual(h.answers, answers) {
		t.Errorf("answers %q, want %q", h.answers, answers)
	}
}

func TestOneAnswerAndOneOutcomeEach(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("free", 0, 1, 2))
	h.pass(0)
	if len(h.caller.calls) != 2 || len(h.caller.calls[0]) != 2 || len(h.caller.calls[1]) != 1 {
		t.Fatalf("calls %v, want the three sends of one step in calls of two and one", h.caller.calls)
	}
	for _, call := range h.caller.calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, fmt.Appendf(nil, "v%d", at.Shard))
			h.AttemptEnded(at, scatter.Errored, nil) // a second word on it changes nothing
		}
	}
	for n := len(h.queue); n > 0; n-- {
		(<-h.queue).apply(h.Coordinator)
	}
	if len(h.events) != 3 {
		t.Errorf("the module is told of %d outcomes, want 3", len(h.events))
	}
	h.pass(5 * time.Second)
	h.want(t, `0 whole=true ["v0" "v1" "v2"]`)
	if h.open.count != 0 || len(h.open.parts) != 0 || len(h.open.byQuery) != 0 {
		t.Errorf("%d held, %d parts and %d queries remain", h.open.count, len(h.open.parts), len(h.open.byQuery))
	}
}

// The next attempt of a part goes out only when the word that the one before is given up is out, or has
// had its time: a node must not see two at once.
func TestNoSecondCopy(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		h := newHarness(t, nil)
		h.Submit(h.query("free", 0))
		h.pass(0)
		first := h.caller.last()
		h.pass(first.Timeout)
		if len(h.caller.cancelled) != 1 || len(h.caller.calls) != 1 {
			t.Fatalf("%d given up and %d calls at the time-out, want 1 and 1", len(h.caller.cancelled), len(h.caller.calls))
		}
		if confirmed {
			h.AttemptEnded(first, scatter.Cancelled, nil)
			h.pass(0)
		} else {
			h.pass(cancelGrace)
		}
		if !first.ended {
			t.Error("the attempt has not ended")
		}
		if closed := len(h.caller.cancelled) == 2; closed == confirmed { // what the word could not reach has to be cut off
			t.Errorf("word out: %t, connection closed: %t", confirmed, closed)
		}
	}
}

// A caller takes an attempt back by itself where another's spoilt answer ended their connection: that is no
// answer, and the part goes out again.
func TestTakenBackByTheCaller(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("free", 0))
	h.pass(0)
	h.AttemptEnded(h.caller.last(), scatter.Cancelled, nil)
	h.pass(0)
	if h.want(t); len(h.caller.calls) != 2 {
		t.Errorf("%d calls, want 2", len(h.caller.calls))
	}
}

// A value that crosses with the giving up still counts.
func TestServedWhileGivenUp(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("once", 0))
	h.pass(0)
	at := h.caller.last()
	h.clock += at.Timeout
	h.tick()
	h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	h.pass(time.Second)
	if len(h.answers) != 1 || len(h.caller.calls) != 1 {
		t.Errorf("answers %q, %d calls", h.answers, len(h.caller.calls))
	}
}

func TestHoldsNoMoreThanItMay(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.MaxOpen = 5 })
	h.Submit(h.query("free", 0, 1))
	h.Submit(h.query("free", 0, 1))
	h.pass(0)
	h.want(t, "1 whole=false []")
	for _, call := range h.caller.calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, []byte("v"))
		}
	}
	h.pass(0)
	h.Submit(h.query("free", 0, 1))
	h.pass(0)
	h.want(t, "1 whole=false []", `0 whole=true ["v" "v"]`)
	if h.open.count != 3 {
		t.Errorf("%d held, want 3", h.open.count)
	}
}

func TestFullQueueTakesNothing(t *testing.T) {
	h := newHarness(t, nil)
	for i := range queueCapacity + 1 {
		if took := h.Submit(h.query("free", 0)); took != (i < queueCapacity) {
			t.Fatalf("submission %d taken: %t", i, took)
		}
	}
}

// What a client leaves behind is given up and answered to nobody.
func TestClientLeaves(t *testing.T) {
	h := newHarness(t, nil)
	q := h.query("free", 0)
	h.Submit(q)
	h.pass(0)
	h.CancelQuery(q)
	h.pass(0)
	if len(h.caller.cancelled) != 1 {
		t.Errorf("%d attempts given up, want 1", len(h.caller.cancelled))
	}
	h.AttemptEnded(h.caller.last(), scatter.Cancelled, nil)
	h.pass(5 * time.Second)
	h.want(t)
	if h.open.count != 0 || len(h.open.parts) != 0 {
		t.Errorf("%d held, %d parts remain", h.open.count, len(h.open.parts))
	}
}

// Whatever the module does, a query has its answer by the end of its client's time.
func TestAnswerByTheDeadline(t *testing.T) {
	h := newHarness(t, nil)
	q := h.query("free", 0)
	h.Submit(q)
	h.tick()
	h.clock = q.Deadline + answerGrace
	h.runDeadlines()
	h.now = h.clock
	h.runDeadlines()
	h.want(t, "2 whole=false []")
}

// The phases go one way, and a draining owner stops when its last query has been answered.
// What is taken while it drains has its answer before the platform kills, whatever time the client gives.
func TestDrainBoundsTheTime(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.DrainTimeout = time.Second })
	h.Drain()
	h.pass(600 * ms)
	h.Submit(h.query("free", 0))
	h.pass(390 * ms)
	h.want(t)
	h.pass(11 * ms)
	h.want(t, "1 whole=false []")
}

func TestPhases(t *testing.T) {
	h := newHarness(t, nil)
	var seen []string
	note := func() { seen = append(seen, h.Phase().String()) }
	note()
	h.Submit(h.query("free", 0))
	h.Drain()
	h.pass(0)
	note()
	h.Submit(h.query("free", 1)) // still taken
	h.post(stopRequest{})
	h.pass(0)
	note()
	for _, call := range h.caller.calls {
		h.AttemptEnded(call[0], scatter.Succeeded, []byte("v"))
	}
	h.pass(0)
	note()
	if want := []string{"ready", "draining", "draining", "stopped"}; !reflect.DeepEqual(seen, want) {
		t.Errorf("phases %v, want %v", seen, want)
	}
	h.want(t, `0 whole=true ["v"]`, `0 whole=true ["v"]`)
	if h.Submit(h.query("free", 0)) {
		t.Error("a stopped owner takes a query")
	}
}

func TestStartingUntilTheListIsKnown(t *testing.T) {
	o, err := New(Config{Settings: newHarness(t, nil).cfg.Settings, Clock: func() time.Duration { return time.Hour },
		Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		scope scatter.UpdateKind
		want  Phase
	}{{scatter.CachedUpdate, Starting}, {scatter.FailedUpdate, Ready}} {
		o.UpdateEndpoints("test", tc.scope, nil)
		o.tick()
		if o.Phase() != tc.want {
			t.Errorf("after list of kind %d: %v, want %v", tc.scope, o.Phase(), tc.want)
		}
	}
}

// A remembered list does after a while, be it there before the first turn or a moment after: the order was a race once,
// and a coordinator that lost it was not ready for the 10 s of a silent watch.
func TestRememberedListIsPresumed(t *testing.T) {
	for _, before := range []bool{true, false} {
		settings := newHarness(t, nil).cfg.Settings
		settings.Subscribe, settings.ListMaxAge = true, 10*time.Second
		now := time.Hour
		o, err := New(Config{Settings: settings, Clock: func() time.Duration { return now }, Subscribe: func() {}, PolledSource: "test"})
		if err != nil {
			t.Fatal(err)
		}
		remember := func() {
			o.UpdateEndpoints("test", scatter.CachedUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Scheme: "fake"}})
			o.tick()
		}
		if before {
			remember()
		} else {
			o.tick()
			remember()
		}
		for _, want := range []Phase{Starting, Ready} {
			now += cachedListDelay - ms
			if o.tick(); o.Phase() != want {
				t.Errorf("list before the first turn: %t; %v, want %v", before, o.Phase(), want)
			}
		}
	}
}

// A list from a source that was not asked is no answer to a subscription: the module still wants one.
func TestInventoryIsNoSubscription(t *testing.T) {
	subscribed := 0
	h := newHarness(t, func(c *Config) {
		c.Settings.Subscribe, c.Settings.ListMaxAge = true, time.Second
		c.PolledSource, c.Subscribe = "discovery", func() { subscribed++ }
	}) // which brings a list of the source "test"
	h.pass(10 * time.Second)
	if subscribed < 2 {
		t.Errorf("%d subscriptions, want one after the other", subscribed)
	}
}

// A full list of one source leaves the nodes of the others alone.
func TestSourcesOfNodes(t *testing.T) {
	h := newHarness(t, nil)
	node := func(id string) Endpoint { return Endpoint{Replica: scatter.Replica{ID: id}, Scheme: "fake"} }
	h.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{node("b"), node("c")})
	h.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{node("b")})
	h.tick()
	if len(h.endpoints.byID) != 2 || h.endpoints.byID["a"].source != "test" || h.endpoints.byID["b"].source != "other" {
		t.Errorf("nodes %v, want a and b", h.endpoints.byID)
	}
}

func TestDeadlinesRunInOrderOnce(t *testing.T) {
	h := newHarness(t, nil)
	var ran []int
	for _, at := range []int{3, 1, 2, 1} {
		h.deadlines.add(h.clock+time.Duration(at)*ms, func() { ran = append(ran, at) })
	}
	gone := h.deadlines.add(h.clock+ms, func() { ran = append(ran, 9) })
	h.deadlines.remove(gone)
	h.pass(2 * ms)
	h.pass(2 * ms)
	if want := []int{1, 1, 2, 3}; !reflect.DeepEqual(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
}

func TestSecondStepsAreNotServed(t *testing.T) {
	s := newHarness(t, nil).cfg.Settings
	s.Classes[0].SecondRoundParts = 2
	if _, err := New(Config{Settings: s}); err == nil {
		t.Error("a class with a second step is taken")
	}
}

// What no node could serve is told at once and never begun: another open query's id above all, for nodes would
// take its parts for that one's.
func TestQueriesThatAreNone(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Limits.Shards = 24
		c.Settings.Tenants = []scatter.Tenant{{Name: "kitakaze"}}
	})
	for change, want := range map[string]struct {
		do     func(*Query)
		reason string
	}{
		"no id":          {func(q *Query) { q.ID = "" }, "bad id"},
		"long id":        {func(q *Query) { q.ID = strings.Repeat("x", 200) }, "bad id"},
		"id with a dot":  {func(q *Query) { q.ID = "a.3" }, "bad id"},
		"id of lines":    {func(q *Query) { q.ID = "a\nb" }, "bad id"},
		"class":          {func(q *Query) { q.Class = "none" }, "unknown class"},
		"tenant":         {func(q *Query) { q.Tenant = "none" }, "unknown tenant"},
		"no time":        {func(q *Query) { q.Deadline = h.clock }, "no time left"},
		"no parts":       {func(q *Query) { q.Parts = nil }, "no parts"},
		"shard":          {func(q *Query) { q.Parts[1].Shard = 24 }, "unknown shard 24"},
		"negative shard": {func(q *Query) { q.Parts[1].Shard = -1 }, "unknown shard -1"},
		"shard twice":    {func(q *Query) { q.Parts[1].Shard = 0 }, "shard 0 twice"},
		"no weight":      {func(q *Query) { q.Parts[0].Weight, q.Parts[1].Weight = 0, 1 }, "weight 0"},
		"negative":       {func(q *Query) { q.Parts[0].Weight, q.Parts[1].Weight = -0.5, 1.5 }, "weight -0.5"},
		"not a number":   {func(q *Query) { q.Parts[0].Weight = math.NaN() }, "weight NaN"},
		"too little":     {func(q *Query) { q.Parts[0].Weight = 0.4 }, "weights sum to 0.9"},
		"too much":       {func(q *Query) { q.Parts[0].Weight = 0.6 }, "weights sum to 1.1"},
	} {
		q := h.query("free", 0, 1)
		q.Tenant = "kitakaze"
		want.do(q)
		if a := h.Execute(q, nil); a.Status != Invalid || a.Reason != want.reason || len(h.queue) > 0 {
			t.Errorf("%s: %+v, want %q", change, a, want.reason)
		}
	}
	first, second := h.query("free", 0), h.query("free", 0)
	first.Deadline += time.Minute // no client is waited for longer than its class allows
	if second.ID = first.ID; h.validate(&Query{ID: "x", Class: "free", Tenant: "kitakaze", Parts: first.Parts, Deadline: first.Deadline}) != nil {
		t.Error("a sound query is turned away")
	}
	h.Submit(first)
	h.Submit(second)
	h.pass(0)
	h.want(t, "3 whole=false []")
	h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
	h.pass(0)
	h.Submit(second) // nor is it free right after the answer
	h.pass(0)
	h.want(t, "3 whole=false []", `0 whole=true ["v"]`, "3 whole=false []")
	h.pass(2 * time.Minute)
	if len(h.open.clientIDs) > 0 || h.deadlines.tree.Len() > 1 {
		t.Errorf("%d ids and %d deadlines remain", len(h.open.clientIDs), h.deadlines.tree.Len())
	}
}

// A long life of ever-new nodes leaves nothing behind: what has gone is forgotten, and its connections closed.
func TestNodesAreForgotten(t *testing.T) {
	h := newHarness(t, nil)
	node := func(i int, s scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", i), State: s}, Address: "x", Scheme: "fake"}
	}
	for i := range 50 {
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node(i, scatter.Ready)})
		h.pass(time.Second)
		h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node(i, scatter.Removed)})
	}
	h.pass(0)
	if len(h.endpoints.byID) != 1 || len(h.caller.disconnected) < 50 {
		t.Errorf("%d nodes remain, %d were disconnected", len(h.endpoints.byID), len(h.caller.disconnected))
	}
	h.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node(99, scatter.Ready)})
	h.pass(0)
	if h.endpoints.byID["n99"].ID == "" || len(h.endpoints.byID) != 1 || h.caller.disconnected[len(h.caller.disconnected)-1] != "a" {
		t.Errorf("nodes %v after a full list, disconnected %v", h.endpoints.byID, h.caller.disconnected)
	}
}
