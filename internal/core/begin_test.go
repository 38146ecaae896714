package core

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// two is a rig with two nodes that hold all.
func two(t *testing.T, change func(*Config)) *rig {
	r := newRig(t, change)
	r.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "hand"},
		{Replica: scatter.Replica{ID: "b"}, Address: "b", Scheme: "hand"}})
	r.pass(0)
	return r
}

// An attempt that its caller has not begun is held to what has changed since it was decided: one that may not begin has
// never run, so where its node alone is the reason the part goes to another at once, and one that has begun stays as it is.
func TestWhatMayStillBegin(t *testing.T) {
	other := map[string]string{"a": "b", "b": "a"}
	for name, tc := range map[string]struct {
		happen func(r *rig, q *Query, at *Attempt)
		moves  bool
	}{
		"listed as draining": {func(r *rig, _ *Query, at *Attempt) {
			r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: at.Endpoint, State: scatter.Draining}, Address: at.Endpoint, Scheme: "hand"}})
		}, true},
		"listed as gone": {func(r *rig, _ *Query, at *Attempt) {
			r.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: at.Endpoint, State: scatter.Removed}, Address: at.Endpoint, Scheme: "hand"}})
		}, true},
		"no longer listed": {func(r *rig, _ *Query, at *Attempt) {
			r.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: other[at.Endpoint]}, Address: other[at.Endpoint], Scheme: "hand"}})
		}, true},
		"out by hand": {func(r *rig, _ *Query, at *Attempt) {
			b := maintenance.Register{}
			b.Apply(at.Endpoint, maintenance.Entry{Out: true, At: r.clock})
			r.SetMaintenance(b)
		}, true},
		"its client has left":      {func(r *rig, q *Query, _ *Attempt) { r.ClientGone(q) }, false},
		"its client's time passes": {func(r *rig, _ *Query, _ *Attempt) { r.pass(4 * time.Second) }, false},
	} {
		for _, began := range []bool{false, true} {
			r := two(t, nil)
			q := r.query("once", 0)
			r.Submit(q)
			r.pass(0)
			at := r.hand.last()
			if began && !at.Begin() {
				t.Fatalf("%s: an attempt may not begin though nothing has happened", name)
			}
			tc.happen(r, q, at)
			r.pass(0)
			if at.Begin() {
				t.Errorf("%s, begun before: %t: the attempt may begin", name, began)
			}
			moved := len(r.hand.calls) == 2 && r.hand.last().Endpoint == other[at.Endpoint]
			if want := tc.moves && !began; moved != want || moved && (!at.ended || !r.hand.last().Begin()) {
				t.Errorf("%s, begun before: %t: went on elsewhere: %t, want %t", name, began, moved, want)
			}
		}
	}
}

// A part that may have run is begun again inside its window only, whatever it waits for; one that was turned away unseen has
// no window.
func TestRepeatsBeginInTheirWindow(t *testing.T) {
	const window = 300 * ms
	for outcome, bound := range map[scatter.Outcome]bool{scatter.Errored: true, scatter.ConnectionReset: true, scatter.ConnectFailed: false} {
		for _, past := range []time.Duration{-ms, 0, ms} { // the window's end
			r := two(t, func(c *Config) {
				c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, window
			})
			q := r.query("free", 0)
			q.IdempotencyKeys = []string{"key"}
			r.Submit(q)
			r.pass(0)
			first := r.hand.last()
			first.Begin()
			r.pass(50 * ms)
			r.AttemptEnded(first, outcome, nil)
			r.pass(0)
			if len(r.hand.calls) != 2 {
				t.Fatalf("after outcome %d there are %d calls, want a repeat at once", outcome, len(r.hand.calls))
			}
			r.pass(window - 50*ms + past)
			if got := r.hand.last().Begin(); got != (past <= 0 || !bound) {
				t.Errorf("after outcome %d, %v past the window's end: the repeat may begin: %t", outcome, past, got)
			}
			if first.IdempotencyKey != "key" || r.hand.last().IdempotencyKey != "key" {
				t.Errorf("after outcome %d the keys are %q and %q", outcome, first.IdempotencyKey, r.hand.last().IdempotencyKey)
			}
		}
	}
}

// A client that has left before its query reaches the owner, or before Ask, has nothing sent.
func TestNothingBeginsForWhoHasLeft(t *testing.T) {
	r := two(t, nil)
	gone := make(chan struct{})
	q := r.query("free", 0)
	q.gone = gone
	r.Submit(q)
	close(gone)
	r.pass(0)
	if a := r.Ask(r.query("free", 0), gone); a.Status != Failed {
		t.Errorf("the answer is %+v", a)
	}
	if r.pass(time.Second); len(r.hand.calls) > 0 || r.held > 0 {
		t.Errorf("%d calls, %d held for clients that have left", len(r.hand.calls), r.held)
	}
	left := make(chan struct{})
	q = r.query("free", 0)
	q.gone = left
	r.Submit(q)
	r.pass(0)
	if close(left); r.hand.last().Begin() { // the owner has not heard of it
		t.Error("an attempt begins after its client has left")
	}
}

// A query keeps the rule of repeats and the key of when it was taken: a class that is keyed from now on finds no query
// without a key, and one that no longer is does not set attempts of earlier queries free.
func TestRepeatRuleIsThatOfTheArrival(t *testing.T) {
	const window = 300 * ms
	configure := func(r *rig, repeat scatter.Idempotency) {
		t.Helper()
		s := r.set().Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow = repeat, window
		done := make(chan error, 1)
		configured{&facts{s, Limits{}}, done}.apply(r.Coordinator)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	r := two(t, nil)
	configure(r, scatter.Keyed)
	r.Submit(r.query("free", 0)) // checked by its front when the class was not keyed
	r.pass(0)
	if len(r.hand.calls) > 0 {
		t.Error("a query without a key is sent in a keyed class")
	}
	r.want(t, fmt.Sprintf("%d whole=false []", Invalid))
	q := r.query("free", 0)
	q.IdempotencyKeys = []string{"key"}
	r.Submit(q)
	r.pass(0)
	first := r.hand.last()
	first.Begin()
	configure(r, scatter.Idempotent)
	r.pass(50 * ms)
	r.AttemptEnded(first, scatter.ConnectionReset, nil)
	r.pass(window - 49*ms)
	if again := r.hand.last(); again == first || again.IdempotencyKey != "key" || again.Begin() {
		t.Error("the repeat is no longer held to its window, or lost its key")
	}
}

// A second copy goes out while the first attempt still runs, with the same key.
func TestSecondCopyHasTheKey(t *testing.T) {
	r := two(t, func(c *Config) {
		c.Settings.Hedging = true
		c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, 4*time.Second
	})
	ask := func(key string) {
		q := r.query("free", 0)
		q.IdempotencyKeys = []string{key}
		r.Submit(q)
		r.pass(0)
	}
	for range 50 { // so that copies are within what is earned
		ask("earlier")
		r.hand.last().Begin()
		r.AttemptEnded(r.hand.last(), scatter.Succeeded, []byte("v"))
		r.pass(5 * ms)
	}
	ask("key")
	first, calls := r.hand.last(), len(r.hand.calls)
	first.Begin()
	r.pass(500 * ms)
	if len(r.hand.calls) != calls+1 || first.ended || len(r.hand.abandoned) > 0 {
		t.Fatalf("%d further calls, the first attempt ended: %t, %d given up", len(r.hand.calls)-calls, first.ended, len(r.hand.abandoned))
	}
	if second := r.hand.last(); first.IdempotencyKey != "key" || second.IdempotencyKey != "key" || second.Endpoint == first.Endpoint || !second.Begin() {
		t.Errorf("the copy has the key %q at %s, the first attempt %q at %s", second.IdempotencyKey, second.Endpoint, first.IdempotencyKey, first.Endpoint)
	}
}
