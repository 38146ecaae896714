package core

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Replicas answer every part and report some attempts twice, as a connection that breaks right after its answer does.
// The module hears one outcome of each attempt, and the client gets one answer.
func TestOneAnswerPerQueryAndOneOutcomePerAttempt(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0, 1, 2))
	calls := h.caller.calls
	if len(calls) != 2 || len(calls[0]) != 2 || len(calls[1]) != 1 {
		t.Fatalf("calls %v, want the three sends of one step in calls of two and one", calls)
	}
	for _, call := range calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, fmt.Appendf(nil, "v%d", at.Shard))
			h.AttemptEnded(at, scatter.Errored, nil)
		}
	}
	for n := len(h.queue); n > 0; n-- {
		(<-h.queue).apply(h.Coordinator)
	}
	if len(h.events) != 3 {
		t.Errorf("the module hears %d outcomes, want 3", len(h.events))
	}
	h.pass(5 * time.Second)
	h.want(t, `served complete=true ["v0" "v1" "v2"]`)
	h.wantNothingOpen(t)
}

func TestOpenLimitRejectsQueries(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.MaxOpen = 5 })
	h.Submit(h.query("free", 0, 1))
	h.submit(h.query("free", 0, 1))
	h.want(t, "refused complete=false []")
	h.succeed([]byte("v"))
	h.submit(h.query("free", 0, 1))
	h.want(t, "refused complete=false []", `served complete=true ["v" "v"]`)
	if h.open.count != 3 {
		t.Errorf("%d queries and parts are open, want 3", h.open.count)
	}
}

// Two processes of one coordinator serve side by side during an upgrade. Each opens half as much, for the limit is that
// of the machine.
func TestOpenLimitIsHalvedWhileShared(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.MaxOpen = 8 })
	for _, tc := range []struct {
		shared bool
		opened int // queries of one part, each of which counts as two
	}{{true, 2}, {false, 4}} {
		h.SetLimitsShared(tc.shared)
		for range 6 {
			h.Submit(h.query("free", 0))
		}
		h.pass(0)
		if len(h.open.byID) != tc.opened {
			t.Errorf("shared %t: %d open, want %d", tc.shared, len(h.open.byID), tc.opened)
		}
	}
}

func TestFullQueueRejectsQueries(t *testing.T) {
	h := newHarness(t, nil)
	for i := range queueCapacity + 1 {
		if accepted := h.Submit(h.query("free", 0)); accepted != (i < queueCapacity) {
			t.Fatalf("submission %d accepted: %t", i, accepted)
		}
	}
}

// A client leaves while its query is under way: its attempts are cancelled and nobody gets an answer.
func TestQueryOfClientThatLeftIsCancelled(t *testing.T) {
	h := newHarness(t, nil)
	q := h.query("free", 0)
	h.submit(q)
	h.CancelQuery(q)
	h.pass(0)
	if len(h.caller.cancelled) != 1 {
		t.Errorf("%d attempts cancelled, want 1", len(h.caller.cancelled))
	}
	h.AttemptEnded(h.caller.last(), scatter.Cancelled, nil)
	h.pass(5 * time.Second)
	h.want(t)
	h.wantNothingOpen(t)
}

// The module leaves a query unanswered past its deadline, as it would if it were faulty: the client gets its answer all
// the same. The test plays that by running the timers without the module: a tick would step it, and it would answer.
// The first run is at the instant of the tick, when the query's time is not over; the second is when its give-up timer
// is due.
func TestUnansweredQueryFailsAtItsDeadline(t *testing.T) {
	h := newHarness(t, nil)
	q := h.query("free", 0)
	h.Submit(q)
	h.tick()
	h.clock = q.Deadline + answerGrace
	h.runDueTimers()
	h.now = h.clock
	h.runDueTimers()
	h.want(t, "failed complete=false []")
}

// A query comes in while the coordinator's last tick applies what came before it. Submit has accepted it, so it has to be
// answered, although no tick follows: nothing was sent for it, so it is rejected.
func TestQuerySubmittedDuringLastTickIsAnswered(t *testing.T) {
	h := newHarness(t, nil)
	left := make(chan struct{})
	close(left)
	answered := h.query("free", 0)
	answered.client.closed = left // its answer comes in the tick that takes it from the queue
	late := h.query("free", 0)
	answers, accepted := make(chan Answer, 1), false
	late.Done = func(a Answer) { answers <- a }
	answered.Done = func(Answer) { accepted = h.Submit(late) }
	go h.Stop()
	for len(h.queue) == 0 {
		time.Sleep(ms)
	}
	h.Submit(answered)
	h.Run()
	if !accepted {
		t.Fatal("the query was not accepted, so the test shows nothing")
	}
	select {
	case a := <-answers:
		if a.Status != Rejected || a.RetryAfter != time.Second {
			t.Errorf("answer %+v", a)
		}
	default:
		t.Error("no answer")
	}
}
