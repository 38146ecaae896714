package core

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// two is a rig with two nodes that hold all.
func two(t *testing.T, change func(*Config)) *harness {
	h := newHarness(t, change)
	h.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: "a"}, Address: "a", Scheme: "fake"},
		{Replica: scatter.Replica{ID: "b"}, Address: "b", Scheme: "fake"}})
	h.pass(0)
	return h
}

// An attempt that its caller has not begun is held to what has changed since it was decided: one that may not begin
// has never run, so where its node alone is the reason the part goes to another at once, and one that has begun stays
// as it is.
func TestWhatMayStillBegin(t *testing.T) {
	other := map[string]string{"a": "b", "b": "a"}
	for name, tc := range map[string]struct {
		happen func(h *harness, q *Query, at *Attempt)
		moves  bool
	}{
		"listed as draining": {func(h *harness, _ *Query, at *Attempt) {
			h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: at.Endpoint, State: scatter.Draining}, Address: at.Endpoint, Scheme: "fake"}})
		}, true},
		"listed as gone": {func(h *harness, _ *Query, at *Attempt) {
			h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: at.Endpoint, State: scatter.Removed}, Address: at.Endpoint, Scheme: "fake"}})
		}, true},
		"no longer listed": {func(h *harness, _ *Query, at *Attempt) {
			h.UpdateEndpoints("test", scatter.FullUpdate, []Endpoint{{Replica: scatter.Replica{ID: other[at.Endpoint]}, Address: other[at.Endpoint], Scheme: "fake"}})
		}, true},
		"out by hand": {func(h *harness, _ *Query, at *Attempt) {
			b := maintenance.Register{}
			b.Apply(at.Endpoint, maintenance.Entry{Out: true, At: h.clock})
			h.SetMaintenance(b)
		}, true},
		"its client has left":      {func(h *harness, q *Query, _ *Attempt) { h.CancelQuery(q) }, false},
		"its client's time passes": {func(h *harness, _ *Query, _ *Attempt) { h.pass(4 * time.Second) }, false},
	} {
		for _, began := range []bool{false, true} {
			h := two(t, nil)
			q := h.query("once", 0)
			h.Submit(q)
			h.pass(0)
			at := h.caller.last()
			if began && !at.Begin() {
				t.Fatalf("%s: an attempt may not begin though nothing has happened", name)
			}
			tc.happen(h, q, at)
			h.pass(0)
			if at.Begin() {
				t.Errorf("%s, begun before: %t: the attempt may begin", name, began)
			}
			moved := len(h.caller.calls) == 2 && h.caller.last().Endpoint == other[at.Endpoint]
			if want := tc.moves && !began; moved != want || moved && (!at.ended || !h.caller.last().Begin()) {
				t.Errorf("%s, begun before: %t: went on elsewhere: %t, want %t", name, began, moved, want)
			}
		}
	}
}

// A part that may have run is begun again inside its window only, whatever it waits for; one that was turned away
// unseen has no window.
func TestRepeatsBeginInTheirWindow(t *testing.T) {
	const window = 300 * ms
	for outcome, bound := range map[scatter.Outcome]bool{scatter.Errored: true, scatter.ConnectionReset: true, scatter.ConnectFailed: false} {
		for _, past := range []time.Duration{-ms, 0, ms} { // the window's end
			h := two(t, func(c *Config) {
				c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, window
			})
			q := h.query("free", 0)
			q.IdempotencyKeys = []string{"key"}
			h.Submit(q)
			h.pass(0)
			first := h.caller.last()
			first.Begin()
			h.pass(50 * ms)
			h.AttemptEnded(first, outcome, nil)
			h.pass(0)
			if len(h.caller.calls) != 2 {
				t.Fatalf("after outcome %d there are %d calls, want a repeat at once", outcome, len(h.caller.calls))
			}
			h.pass(window - 50*ms + past)
			if got := h.caller.last().Begin(); got != (past <= 0 || !bound) {
				t.Errorf("after outcome %d, %v past the window's end: the repeat may begin: %t", outcome, past, got)
			}
			if first.IdempotencyKey != "key" || h.caller.last().IdempotencyKey != "key" {
				t.Errorf("after outcome %d the keys are %q and %q", outcome, first.IdempotencyKey, h.caller.last().IdempotencyKey)
			}
		}
	}
}

// A client that has left before its query reaches the owner, or before Execute, has nothing sent.
func TestNothingBeginsForWhoHasLeft(t *testing.T) {
	h := two(t, nil)
	gone := make(chan struct{})
	q := h.query("free", 0)
	q.client.closed = gone
	h.Submit(q)
	close(gone)
	h.pass(0)
	if a := h.Execute(h.query("free", 0), gone); a.Status != Failed {
		t.Errorf("the answer is %+v", a)
	}
	if h.pass(time.Second); len(h.caller.calls) > 0 || h.open.count > 0 {
		t.Errorf("%d calls, %d held for clients that have left", len(h.caller.calls), h.open.count)
	}
	left := make(chan struct{})
	q = h.query("free", 0)
	q.client.closed = left
	h.Submit(q)
	h.pass(0)
	if close(left); h.caller.last().Begin() { // the owner has not heard of it
		t.Error("an attempt begins after its client has left")
	}
}

// A query keeps the rule of repeats and the key of when it was taken: a class that is keyed from now on finds no query
// without a key, and one that no longer is does not set attempts of earlier queries free.
func TestRepeatRuleIsThatOfTheArrival(t *testing.T) {
	const window = 300 * ms
	configure := func(h *harness, repeat scatter.Idempotency) {
		t.Helper()
		s := h.inForce().Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow = repeat, window
		done := make(chan error, 1)
		configureRequest{&settingsSnapshot{s, Limits{}}, done}.apply(h.Coordinator)
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	h := two(t, nil)
	configure(h, scatter.Keyed)
	h.Submit(h.query("free", 0)) // checked by its front when the class was not keyed
	h.pass(0)
	if len(h.caller.calls) > 0 {
		t.Error("a query without a key is sent in a keyed class")
	}
	h.want(t, fmt.Sprintf("%d whole=false []", Invalid))
	q := h.query("free", 0)
	q.IdempotencyKeys = []string{"key"}
	h.Submit(q)
	h.pass(0)
	first := h.caller.last()
	first.Begin()
	configure(h, scatter.Idempotent)
	h.pass(50 * ms)
	h.AttemptEnded(first, scatter.ConnectionReset, nil)
	h.pass(window - 49*ms)
	if again := h.caller.last(); again == first || again.IdempotencyKey != "key" || again.Begin() {
		t.Error("the repeat is no longer held to its window, or lost its key")
	}
}

// A second copy goes out while the first attempt still runs, with the same key.
func TestSecondCopyHasTheKey(t *testing.T) {
	h := two(t, func(c *Config) {
		c.Settings.Hedging = true
		c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, 4*time.Second
	})
	ask := func(key string) {
		q := h.query("free", 0)
		q.IdempotencyKeys = []string{key}
		h.Submit(q)
		h.pass(0)
	}
	for range 50 { // so that copies are within what is earned
		ask("earlier")
		h.caller.last().Begin()
		h.AttemptEnded(h.caller.last(), scatter.Succeeded, []byte("v"))
		h.pass(5 * ms)
	}
	ask("key")
	first, calls := h.caller.last(), len(h.caller.calls)
	first.Begin()
	h.pass(500 * ms)
	if len(h.caller.calls) != calls+1 || first.ended || len(h.caller.cancelled) > 0 {
		t.Fatalf("%d further calls, the first attempt ended: %t, %d given up", len(h.caller.calls)-calls, first.ended, len(h.caller.cancelled))
	}
	if second := h.caller.last(); first.IdempotencyKey != "key" || second.IdempotencyKey != "key" || second.Endpoint == first.Endpoint || !second.Begin() {
		t.Errorf("the copy has the key %q at %s, the first attempt %q at %s", second.IdempotencyKey, second.Endpoint, first.IdempotencyKey, first.Endpoint)
	}
}
