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

// hand is a Caller that does nothing by itself: the test ends the attempts.
type hand struct {
	calls     [][]*Attempt
	abandoned []*Attempt
	idle      []string
}

func (h *hand) Call(_ Endpoint, list []*Attempt) { h.calls = append(h.calls, list) }
func (h *hand) Cancel(at *Attempt)               { h.abandoned = append(h.abandoned, at) }
func (h *hand) CloseIdleConnections(node string) { h.idle = append(h.idle, node) }

func (h *hand) last() *Attempt { c := h.calls[len(h.calls)-1]; return c[len(c)-1] }

// rig is an owner whose turns and clock the test moves.
type rig struct {
	*Coordinator
	hand    *hand
	clock   time.Duration
	answers []string
	asked   int
}

func newRig(t testing.TB, change func(*Config)) *rig {
	t.Helper()
	r := &rig{hand: &hand{}, clock: time.Hour}
	cfg := Config{Seed: 1, PolledSource: "test", Clock: func() time.Duration { return r.clock }, Callers: map[string]Caller{"hand": r.hand},
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
	r.Coordinator = o
	o.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "hand"}})
	r.pass(0)
	return r
}

// pass lets time go by in turns as the loop would take them.
func (r *rig) pass(d time.Duration) {
	end := r.clock + d
	r.turn()
	for r.clock < end {
		r.clock = min(end, r.clock+max(ms, r.untilNext()))
		r.turn()
	}
}

func (r *rig) query(class string, shards ...int) *Query {
	r.asked++
	q := &Query{ID: fmt.Sprint("q", r.asked), Class: class, Deadline: r.clock + 3*time.Second}
	for _, s := range shards {
		q.Parts = append(q.Parts, Part{Shard: s, Weight: 1 / float64(len(shards))})
	}
	q.Done = func(a Answer) {
		r.answers = append(r.answers, fmt.Sprintf("%d whole=%t %q", a.Status, a.Complete, a.Values))
	}
	return q
}

func (r *rig) want(t *testing.T, answers ...string) {
	t.Helper()
	if len(answers)+len(r.answers) > 0 && !reflect.DeepEqual(r.answers, answers) {
		t.Errorf("answers %q, want %q", r.answers, answers)
	}
}

func TestOneAnswerAndOneOutcomeEach(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("free", 0, 1, 2))
	r.pass(0)
	if len(r.hand.calls) != 2 || len(r.hand.calls[0]) != 2 || len(r.hand.calls[1]) != 1 {
		t.Fatalf("calls %v, want the three sends of one step in calls of two and one", r.hand.calls)
	}
	for _, call := range r.hand.calls {
		for _, at := range call {
			r.AttemptEnded(at, scatter.Succeeded, fmt.Appendf(nil, "v%d", at.Shard))
			r.AttemptEnded(at, scatter.Errored, nil) // a second word on it changes nothing
		}
	}
	for n := len(r.queue); n > 0; n-- {
		(<-r.queue).apply(r.Coordinator)
	}
	if len(r.events) != 3 {
		t.Errorf("the module is told of %d outcomes, want 3", len(r.events))
	}
	r.pass(5 * time.Second)
	r.want(t, `0 whole=true ["v0" "v1" "v2"]`)
	if r.held != 0 || len(r.parts) != 0 || len(r.byQuery) != 0 {
		t.Errorf("%d held, %d parts and %d queries remain", r.held, len(r.parts), len(r.byQuery))
	}
}

// The next attempt of a part goes out only when the word that the one before is given up is out, or has
// had its time: a node must not see two at once.
func TestNoSecondCopy(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		r := newRig(t, nil)
		r.Submit(r.query("free", 0))
		r.pass(0)
		first := r.hand.last()
		r.pass(first.Timeout)
		if len(r.hand.abandoned) != 1 || len(r.hand.calls) != 1 {
			t.Fatalf("%d given up and %d calls at the time-out, want 1 and 1", len(r.hand.abandoned), len(r.hand.calls))
		}
		if confirmed {
			r.AttemptEnded(first, scatter.Cancelled, nil)
			r.pass(0)
		} else {
			r.pass(abandonWait)
		}
		if !first.ended {
			t.Error("the attempt has not ended")
		}
		if closed := len(r.hand.abandoned) == 2; closed == confirmed { // what the word could not reach has to be cut off
			t.Errorf("word out: %t, connection closed: %t", confirmed, closed)
		}
	}
}

// A caller takes an attempt back by itself where another's spoilt answer ended their connection: that is no
// answer, and the part goes out again.
func TestTakenBackByTheCaller(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("free", 0))
	r.pass(0)
	r.AttemptEnded(r.hand.last(), scatter.Cancelled, nil)
	r.pass(0)
	if r.want(t); len(r.hand.calls) != 2 {
		t.Errorf("%d calls, want 2", len(r.hand.calls))
	}
}

// A value that crosses with the giving up still counts.
func TestServedWhileGivenUp(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("once", 0))
	r.pass(0)
	at := r.hand.last()
	r.clock += at.Timeout
	r.turn()
	r.AttemptEnded(at, scatter.Succeeded, []byte("v"))
	r.pass(time.Second)
	if len(r.answers) != 1 || len(r.hand.calls) != 1 {
		t.Errorf("answers %q, %d calls", r.answers, len(r.hand.calls))
	}
}

func TestHoldsNoMoreThanItMay(t *testing.T) {
	r := newRig(t, func(c *Config) { c.Limits.MaxOpen = 5 })
	r.Submit(r.query("free", 0, 1))
	r.Submit(r.query("free", 0, 1))
	r.pass(0)
	r.want(t, "1 whole=false []")
	for _, call := range r.hand.calls {
		for _, at := range call {
			r.AttemptEnded(at, scatter.Succeeded, []byte("v"))
		}
	}
	r.pass(0)
	r.Submit(r.query("free", 0, 1))
	r.pass(0)
	r.want(t, "1 whole=false []", `0 whole=true ["v" "v"]`)
	if r.held != 3 {
		t.Errorf("%d held, want 3", r.held)
	}
}

func TestFullQueueTakesNothing(t *testing.T) {
	r := newRig(t, nil)
	for i := range queueSize + 1 {
		if took := r.Submit(r.query("free", 0)); took != (i < queueSize) {
			t.Fatalf("submission %d taken: %t", i, took)
		}
	}
}

// What a client leaves behind is given up and answered to nobody.
func TestClientLeaves(t *testing.T) {
	r := newRig(t, nil)
	q := r.query("free", 0)
	r.Submit(q)
	r.pass(0)
	r.ClientGone(q)
	r.pass(0)
	if len(r.hand.abandoned) != 1 {
		t.Errorf("%d attempts given up, want 1", len(r.hand.abandoned))
	}
	r.AttemptEnded(r.hand.last(), scatter.Cancelled, nil)
	r.pass(5 * time.Second)
	r.want(t)
	if r.held != 0 || len(r.parts) != 0 {
		t.Errorf("%d held, %d parts remain", r.held, len(r.parts))
	}
}

// Whatever the module does, a query has its answer by the end of its client's time.
func TestAnswerByTheDeadline(t *testing.T) {
	r := newRig(t, nil)
	q := r.query("free", 0)
	r.Submit(q)
	r.turn()
	r.clock = q.Deadline + overdue
	r.sweep()
	r.now = r.clock
	r.sweep()
	r.want(t, "2 whole=false []")
}

// The phases go one way, and a draining owner stops when its last query has been answered.
// What is taken while it drains has its answer before the platform kills, whatever time the client gives.
func TestDrainBoundsTheTime(t *testing.T) {
	r := newRig(t, func(c *Config) { c.Limits.DrainTimeout = time.Second })
	r.Drain()
	r.pass(600 * ms)
	r.Submit(r.query("free", 0))
	r.pass(390 * ms)
	r.want(t)
	r.pass(11 * ms)
	r.want(t, "1 whole=false []")
}

func TestPhases(t *testing.T) {
	r := newRig(t, nil)
	var seen []string
	note := func() { seen = append(seen, r.Phase().String()) }
	note()
	r.Submit(r.query("free", 0))
	r.Drain()
	r.pass(0)
	note()
	r.Submit(r.query("free", 1)) // still taken
	r.post(stopping{})
	r.pass(0)
	note()
	for _, call := range r.hand.calls {
		r.AttemptEnded(call[0], scatter.Succeeded, []byte("v"))
	}
	r.pass(0)
	note()
	if want := []string{"ready", "draining", "draining", "stopped"}; !reflect.DeepEqual(seen, want) {
		t.Errorf("phases %v, want %v", seen, want)
	}
	r.want(t, `0 whole=true ["v"]`, `0 whole=true ["v"]`)
	if r.Submit(r.query("free", 0)) {
		t.Error("a stopped owner takes a query")
	}
}

func TestStartingUntilTheListIsKnown(t *testing.T) {
	o, err := New(Config{Settings: newRig(t, nil).cfg.Settings, Clock: func() time.Duration { return time.Hour },
		Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		scope scatter.UpdateKind
		want  Phase
	}{{scatter.CachedUpdate, Starting}, {scatter.FailedUpdate, Ready}} {
		o.UpdateEndpoints("test", tc.scope, nil)
		o.turn()
		if o.Phase() != tc.want {
			t.Errorf("after list of kind %d: %v, want %v", tc.scope, o.Phase(), tc.want)
		}
	}
}

// A remembered list does after a while, be it there before the first turn or a moment after: the order was a race once,
// and a coordinator that lost it was not ready for the 10 s of a silent watch.
func TestRememberedListIsPresumed(t *testing.T) {
	for _, before := range []bool{true, false} {
		settings := newRig(t, nil).cfg.Settings
		settings.Subscribe, settings.ListMaxAge = true, 10*time.Second
		now := time.Hour
		o, err := New(Config{Settings: settings, Clock: func() time.Duration { return now }, Subscribe: func() {}, PolledSource: "test"})
		if err != nil {
			t.Fatal(err)
		}
		remember := func() {
			o.UpdateEndpoints("test", scatter.CachedUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Scheme: "hand"}})
			o.turn()
		}
		if before {
			remember()
		} else {
			o.turn()
			remember()
		}
		for _, want := range []Phase{Starting, Ready} {
			now += presumeAfter - ms
			if o.turn(); o.Phase() != want {
				t.Errorf("list before the first turn: %t; %v, want %v", before, o.Phase(), want)
			}
		}
	}
}

// A list from a source that was not asked is no answer to a subscription: the module still wants one.
func TestInventoryIsNoSubscription(t *testing.T) {
	subscribed := 0
	r := newRig(t, func(c *Config) {
		c.Settings.Subscribe, c.Settings.ListMaxAge = true, time.Second
		c.PolledSource, c.Subscribe = "discovery", func() { subscribed++ }
	}) // which brings a list of the source "test"
	r.pass(10 * time.Second)
	if subscribed < 2 {
		t.Errorf("%d subscriptions, want one after the other", subscribed)
	}
}

// A full list of one source leaves the nodes of the others alone.
func TestSourcesOfNodes(t *testing.T) {
	r := newRig(t, nil)
	node := func(id string) Endpoint { return Endpoint{Replica: scatter.Replica{ID: id}, Scheme: "hand"} }
	r.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{node("b"), node("c")})
	r.UpdateEndpoints("other", scatter.FullUpdate, []Endpoint{node("b")})
	r.turn()
	if len(r.nodes) != 2 || r.nodes["a"].source != "test" || r.nodes["b"].source != "other" {
		t.Errorf("nodes %v, want a and b", r.nodes)
	}
}

func TestDeadlinesRunInOrderOnce(t *testing.T) {
	r := newRig(t, nil)
	var ran []int
	for _, at := range []int{3, 1, 2, 1} {
		r.deadlines.add(r.clock+time.Duration(at)*ms, func() { ran = append(ran, at) })
	}
	gone := r.deadlines.add(r.clock+ms, func() { ran = append(ran, 9) })
	r.deadlines.remove(gone)
	r.pass(2 * ms)
	r.pass(2 * ms)
	if want := []int{1, 1, 2, 3}; !reflect.DeepEqual(ran, want) {
		t.Errorf("ran %v, want %v", ran, want)
	}
}

func TestSecondStepsAreNotServed(t *testing.T) {
	s := newRig(t, nil).cfg.Settings
	s.Classes[0].SecondRoundParts = 2
	if _, err := New(Config{Settings: s}); err == nil {
		t.Error("a class with a second step is taken")
	}
}

// What no node could serve is told at once and never begun: another open query's id above all, for nodes would
// take its parts for that one's.
func TestQueriesThatAreNone(t *testing.T) {
	r := newRig(t, func(c *Config) {
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
		"no time":        {func(q *Query) { q.Deadline = r.clock }, "no time left"},
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
		q := r.query("free", 0, 1)
		q.Tenant = "kitakaze"
		want.do(q)
		if a := r.Ask(q, nil); a.Status != Invalid || a.Reason != want.reason || len(r.queue) > 0 {
			t.Errorf("%s: %+v, want %q", change, a, want.reason)
		}
	}
	first, second := r.query("free", 0), r.query("free", 0)
	first.Deadline += time.Minute // no client is waited for longer than its class allows
	if second.ID = first.ID; r.check(&Query{ID: "x", Class: "free", Tenant: "kitakaze", Parts: first.Parts, Deadline: first.Deadline}) != "" {
		t.Error("a sound query is turned away")
	}
	r.Submit(first)
	r.Submit(second)
	r.pass(0)
	r.want(t, "3 whole=false []")
	r.AttemptEnded(r.hand.last(), scatter.Succeeded, []byte("v"))
	r.pass(0)
	r.Submit(second) // nor is it free right after the answer
	r.pass(0)
	r.want(t, "3 whole=false []", `0 whole=true ["v"]`, "3 whole=false []")
	r.pass(2 * time.Minute)
	if len(r.ids) > 0 || r.deadlines.tree.Len() > 1 {
		t.Errorf("%d ids and %d deadlines remain", len(r.ids), r.deadlines.tree.Len())
	}
}

// A long life of ever-new nodes leaves nothing behind: what has gone is forgotten, and its connections closed.
func TestNodesAreForgotten(t *testing.T) {
	r := newRig(t, nil)
	node := func(i int, s scatter.ReplicaState) Endpoint {
		return Endpoint{Replica: scatter.Replica{ID: fmt.Sprint("n", i), State: s}, Address: "x", Scheme: "hand"}
	}
	for i := range 50 {
		r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node(i, scatter.Ready)})
		r.pass(time.Second)
		r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{node(i, scatter.Removed)})
	}
	r.pass(0)
	if len(r.nodes) != 1 || len(r.hand.idle) < 50 {
		t.Errorf("%d nodes remain, %d were disconnected", len(r.nodes), len(r.hand.idle))
	}
	r.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{node(99, scatter.Ready)})
	r.pass(0)
	if r.nodes["n99"].ID == "" || len(r.nodes) != 1 || r.hand.idle[len(r.hand.idle)-1] != "a" {
		t.Errorf("nodes %v after a full list, disconnected %v", r.nodes, r.hand.idle)
	}
}
