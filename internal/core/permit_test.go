package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
)

// An attempt waits at its Caller while its replica or its client leaves. It must no longer begin. If only the replica
// left, the part is sent to the other replica at once, because the attempt has never run. An attempt that has begun may
// have run, so its part is not sent elsewhere.
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
		"its client has left":          {func(h *harness, q *Query, _ *Attempt) { h.CancelQuery(q) }, false},
		"its client's deadline passes": {func(h *harness, _ *Query, _ *Attempt) { h.pass(4 * time.Second) }, false},
	} {
		for _, began := range []bool{false, true} {
			h := newTwoEndpointHarness(t, nil)
			q := h.query("once", 0)
			h.submit(q)
			at := h.caller.last()
			if began && !at.Begin() {
				t.Fatalf("%s: the attempt may not begin before the event", name)
			}
			tc.happen(h, q, at)
			h.pass(0)
			if at.Begin() {
				t.Errorf("%s, begun before: %t: the attempt may still begin", name, began)
			}
			next := h.caller.last()
			moved := len(h.caller.calls) == 2 && next.ReplicaID == other[at.ReplicaID]
			if want := tc.moves && !began; moved != want || moved && (!at.ended || !next.Begin()) {
				t.Errorf("%s, begun before: %t: sent to the other replica: %t, want %t", name, began, moved, want)
			}
		}
	}
}

// A retry waits at its Caller while the deduplication window of an earlier attempt that may have run passes. After the
// window, replicas would run the part again, so the retry must not begin. An attempt that never ran sets no window.
func TestRetryBeginsInsideDedupWindow(t *testing.T) {
	const window = 300 * ms
	for outcome, bound := range map[scatter.Outcome]bool{
		scatter.Errored: true, scatter.ConnectionReset: true, scatter.ConnectFailed: false,
	} {
		for _, past := range []time.Duration{-ms, 0, ms} { // relative to the window's end
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
				t.Fatalf("after outcome %d there are %d calls, want an immediate retry", outcome, len(h.caller.calls))
			}
			h.pass(window - 50*ms + past)
			retry := h.caller.last()
			if got := retry.Begin(); got != (past <= 0 || !bound) {
				t.Errorf("after outcome %d, %v past the window's end: the retry may begin: %t", outcome, past, got)
			}
			if first.IdempotencyKey != "key" || retry.IdempotencyKey != "key" {
				t.Errorf("after outcome %d the attempts' keys are %q and %q",
					outcome, first.IdempotencyKey, retry.IdempotencyKey)
			}
		}
	}
}

// A client leaves while its query is queued, before Execute, or while an attempt waits at its Caller without a notice
// to the coordinator. In each case no attempt begins for it.
func TestNothingBeginsForClientThatLeft(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	left := make(chan struct{})
	q := h.query("free", 0)
	q.client.closed = left
	h.Submit(q)
	close(left)
	h.pass(0)
	if a := h.Execute(h.query("free", 0), left); a.Status != Failed {
		t.Errorf("Execute after the client left: answer %+v, want Failed", a)
	}
	if h.pass(time.Second); len(h.caller.calls) > 0 || h.open.count > 0 {
		t.Errorf("%d calls, %d queries and parts open for clients that have left", len(h.caller.calls), h.open.count)
	}
	left = make(chan struct{})
	q = h.query("free", 0)
	q.client.closed = left
	h.submit(q)
	if close(left); h.caller.last().Begin() {
		t.Error("an attempt may begin after its client has left")
	}
}

// The settings change the class of existing queries. If the class becomes keyed, a queued query without a key is
// invalid. If it stops being keyed, a query accepted before keeps its key, and its retries keep to the deduplication
// window.
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
	h.submit(h.query("free", 0)) // valid under the settings that its front checked
	if len(h.caller.calls) > 0 {
		t.Error("a query without a key was sent in a keyed class")
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
		t.Error("the retry may begin after the deduplication window, or has lost its key")
	}
}

// Several parts have two outstanding attempts when their replicas drain. The module is notified of the attempts in the
// order of queries, parts and attempt numbers in every run, because equal events must give equal actions.
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
				t.Fatalf("outcome %d belongs to attempt %d of part %s, out of order", i, ended.Attempt, ended.Part)
			}
		}
		if len(h.events) != 32 {
			t.Fatalf("%d outcomes, want 32", len(h.events))
		}
	}
}

// Two attempts of a query are about to begin on different connections, and the client left a while ago. While one of
// them asks the system, the other may not take the question for its answer.
func TestUnansweredQuestionAboutClientDoesNotCount(t *testing.T) {
	h := newTwoEndpointHarness(t, nil)
	q := h.query("free", 0, 1)
	left, asked := false, false
	var second *Attempt
	q.ClientLeft = func() bool {
		if left && !asked {
			asked = true
			if second.Begin() {
				t.Error("an attempt may begin while it is being asked whether its client has left")
			}
		}
		return left
	}
	h.submit(q)
	list := slices.Concat(h.caller.calls...)
	left, second = true, list[1]
	h.clock += maxClientAnswerAge
	if list[0].Begin() || !asked {
		t.Errorf("an attempt may begin after its client has left; asked: %t", asked)
	}
}
