package core

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// An attempt waits at its caller while its replica leaves or its client does. It must not begin any more. Where the
// replica alone is the reason, the part goes to the other replica at once, for the attempt has never run; an attempt
// that has begun may have run, and its part stays where it is.
func TestBeginAfterReplicaOrClientLeft(t *testing.T) {
	other := map[string]string{"a": "b", "b": "a"}
	for name, tc := range map[string]struct {
		happen func(h *harness, q *Query, at *Attempt)
		moves  bool
	}{
		"listed as draining": {func(h *harness, _ *Query, at *Attempt) {
			h.update(scatter.IncrementalUpdate, fakeEndpoint(at.ReplicaID, scatter.Draining))
		}, true},
		"listed as removed": {func(h *harness, _ *Query, at *Attempt) {
			h.update(scatter.IncrementalUpdate, fakeEndpoint(at.ReplicaID, scatter.Removed))
		}, true},
		"no longer listed": {func(h *harness, _ *Query, at *Attempt) {
			h.update(scatter.FullUpdate, fakeEndpoint(other[at.ReplicaID], scatter.Ready))
		}, true},
		"in maintenance": {func(h *harness, _ *Query, at *Attempt) {
			register := maintenance.Register{}
			register.Apply(at.ReplicaID, maintenance.Entry{Out: true, At: h.clock})
			h.SetMaintenance(register)
		}, true},
		"its client has left":      {func(h *harness, q *Query, _ *Attempt) { h.CancelQuery(q) }, false},
		"its client's time passes": {func(h *harness, _ *Query, _ *Attempt) { h.pass(4 * time.Second) }, false},
	} {
		for _, began := range []bool{false, true} {
			h := newTwoEndpointHarness(t, nil)
			q := h.query("once", 0)
			h.submit(q)
			at := h.caller.last()
			if began && !at.Begin() {
				t.Fatalf("%s: an attempt may not begin though nothing has happened", name)
			}
			tc.happen(h, q, at)
			h.pass(0)
			if at.Begin() {
				t.Errorf("%s, begun before: %t: the attempt may begin", name, began)
			}
			next := h.caller.last()
			moved := len(h.caller.calls) == 2 && next.ReplicaID == other[at.ReplicaID]
			if want := tc.moves && !began; moved != want || moved && (!at.ended || !next.Begin()) {
				t.Errorf("%s, begun before: %t: sent to the other replica: %t, want %t", name, began, moved, want)
			}
		}
	}
}

// A retry waits at its caller until the deduplication window of an attempt that may have run is over: replicas would
// run the part again, so the retry must not begin. After an attempt that never ran there is no window.
func TestRetryBeginsInsideDedupWindow(t *testing.T) {
	const window = 300 * ms
	for outcome, bound := range map[scatter.Outcome]bool{
		scatter.Errored: true, scatter.ConnectionReset: true, scatter.ConnectFailed: false,
	} {
		for _, past := range []time.Duration{-ms, 0, ms} { // the window's end
			h := newTwoEndpointHarness(t, func(c *Config) {
				c.Settings.Classes[0].Idempotency, c.Settings.Classes[0].DedupWindow = scatter.Keyed, window
			})
			q := h.query("free", 0)
			q.IdempotencyKeys = []string{"key"}
			h.submit(q)
			first := h.caller.last()
			first.Begin()
			h.pass(50 * ms)
			h.AttemptEnded(first, outcome, nil)
			h.pass(0)
			if len(h.caller.calls) != 2 {
				t.Fatalf("after outcome %d there are %d calls, want a retry at once", outcome, len(h.caller.calls))
			}
			h.pass(window - 50*ms + past)
			retry := h.caller.last()
			if got := retry.Begin(); got != (past <= 0 || !bound) {
				t.Errorf("after outcome %d, %v past the window's end: the retry may begin: %t", outcome, past, got)
			}
			if first.IdempotencyKey != "key" || retry.IdempotencyKey != "key" {
				t.Errorf("after outcome %d the keys are %q and %q", outcome, first.IdempotencyKey, retry.IdempotencyKey)
			}
		}
	}
}

// A client leaves while its query is queued, before Execute, or while an attempt waits at its caller and nobody has
// told the coordinator. In each case nothing begins for it.
func TestNothingBeginsForClientThatLeft(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	left := make(chan struct{})
	q := h.query("free", 0)
	q.client.closed = left
	h.Submit(q)
	close(left)
	h.pass(0)
	if a := h.Execute(h.query("free", 0), left); a.Status != Failed {
		t.Errorf("the answer is %+v", a)
	}
	if h.pass(time.Second); len(h.caller.calls) > 0 || h.open.count > 0 {
		t.Errorf("%d calls, %d queries and parts open for clients that have left", len(h.caller.calls), h.open.count)
	}
	left = make(chan struct{})
	q = h.query("free", 0)
	q.client.closed = left
	h.submit(q)
	if close(left); h.caller.last().Begin() {
		t.Error("an attempt begins after its client has left")
	}
}

// The settings change the class of open queries: a class that is keyed from now on finds a queued query without a key,
// and one that is not keyed any more must not free the retries of a query that was accepted under the rule.
func TestRetryPolicyIsThatOfTheArrival(t *testing.T) {
	const window = 300 * ms
	h := newTwoEndpointHarness(t, nil)
	configure := func(i scatter.Idempotency) {
		t.Helper()
		s := h.inForce().Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		s.Classes[0].Idempotency, s.Classes[0].DedupWindow = i, window
		result := make(chan error, 1)
		configureRequest{&settingsInForce{s, Limits{}}, result}.apply(h.Coordinator)
		if err := <-result; err != nil {
			t.Fatal(err)
		}
	}
	configure(scatter.Keyed)
	h.submit(h.query("free", 0)) // valid when its front checked it
	if len(h.caller.calls) > 0 {
		t.Error("a query without a key is sent in a keyed class")
	}
	h.want(t, fmt.Sprintf("%s complete=false []", statusNames[Invalid]))
	q := h.query("free", 0)
	q.IdempotencyKeys = []string{"key"}
	h.submit(q)
	first := h.caller.last()
	first.Begin()
	configure(scatter.Idempotent)
	h.pass(50 * ms)
	h.AttemptEnded(first, scatter.ConnectionReset, nil)
	h.pass(window - 49*ms)
	if retry := h.caller.last(); retry == first || retry.IdempotencyKey != "key" || retry.Begin() {
		t.Error("the retry is not bound to its window any more, or has lost its key")
	}
}

// Several parts have two attempts out when their replicas drain. The module hears of the attempts in the order of their
// queries, parts and numbers in every run: the same events have to give the same actions.
func TestWithheldAttemptsEndInOneOrder(t *testing.T) {
	for range 20 {
		h := newTwoEndpointHarness(t, nil)
		h.submit(h.query("free", 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15))
		for _, p := range h.open.parts {
			h.newAttempt(scatter.Send{Part: p.id, Replica: "b", Timeout: time.Second})
		}
		h.lease.expired = true
		h.events = nil
		h.withholdUnsendable()
		for i, e := range h.events {
			ended := e.(scatter.AttemptEnded)
			if i%2 != ended.Attempt {
				t.Fatalf("outcome %d is that of attempt %d of part %s", i, ended.Attempt, ended.Part)
			}
		}
		if len(h.events) != 32 {
			t.Fatalf("%d outcomes, want 32", len(h.events))
		}
	}
}
