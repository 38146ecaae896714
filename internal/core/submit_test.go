package core

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// Replicas answer every part, and some attempts are reported twice, as happens if a connection breaks right after its
// answer. The module is notified of one outcome of each attempt, and the client gets one answer.
func TestOneAnswerPerQueryAndOneOutcomePerAttempt(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0, 1, 2))
	calls := h.caller.calls
	if len(calls) != 2 || len(calls[0]) != 2 || len(calls[1]) != 1 {
		t.Fatalf("calls %v, want the three attempts of one step in calls of two and one", calls)
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
		t.Errorf("the module is notified of %d outcomes, want 3", len(h.events))
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

// Two processes of one coordinator serve in parallel during an upgrade. Each may open half as much, because the limit
// is for the machine.
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
			t.Errorf("limits shared: %t; %d queries open, want %d", tc.shared, len(h.open.byID), tc.opened)
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

// A client leaves while its query is open: the query's attempts are cancelled, and it gets no answer.
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

// A faulty module leaves a query unanswered past its deadline: the client still gets an answer. The test simulates that
// by running the timers without the module, which would answer in a tick. The first run is at the instant of the tick,
// before the query's deadline; the second is when its give-up timer is due.
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

// A query is submitted while the coordinator's last tick applies earlier messages. Submit has accepted it, so it must
// be answered although no tick follows. Nothing was sent for it, so it is rejected.
func TestQuerySubmittedDuringLastTickIsAnswered(t *testing.T) {
	h := newHarness(t, nil)
	left := make(chan struct{})
	close(left)
	answered := h.query("free", 0)
	answered.client.closed = left // answered in the tick that takes it from the queue
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
		t.Fatal("the late query was not accepted, so the test is inconclusive")
	}
	select {
	case a := <-answers:
		if a.Status != Rejected || a.RetryAfter != time.Second {
			t.Errorf("answer %+v, want a rejection with Retry-After 1s", a)
		}
	default:
		t.Error("the late query got no answer")
	}
}
