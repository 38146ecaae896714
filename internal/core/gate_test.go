package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// keeper is a Gate that admits as told and books what it hears.
type keeper struct {
	refuse bool
	asked  []overload.Arrival
	done   []int
	turns  []Tick
}

func (k *keeper) Admit(a overload.Arrival) (bool, time.Duration) {
	k.asked = append(k.asked, a)
	return !k.refuse, 3 * time.Second
}
func (k *keeper) QueryDone(parts int) { k.done = append(k.done, parts) }
func (k *keeper) ObserveTick(t Tick)  { k.turns = append(k.turns, t) }

// What the gate refuses never reaches the owner; what it let in before is not asked about again.
func TestGate(t *testing.T) {
	k := &keeper{refuse: true}
	h := newHarness(t, func(c *Config) { c.Admitter = k })
	q := h.query("free", 0, 1)
	if a := h.Execute(q, nil); a.Status != Rejected || a.RetryAfter != 3*time.Second || len(h.queue) != 0 {
		t.Errorf("%+v, %d messages for the owner", a, len(h.queue))
	}
	if len(k.asked) != 1 || k.asked[0].Parts != 2 || k.asked[0].Class != "free" {
		t.Errorf("asked %+v", k.asked)
	}
	q = h.query("free", 0)
	q.Admitted = true
	gone := make(chan struct{})
	close(gone)
	if a := h.Execute(q, gone); a.Status != Failed || len(k.asked) != 1 {
		t.Errorf("%+v, asked %d times", a, len(k.asked))
	}
	h = newHarness(t, func(c *Config) { c.Admitter, c.Settings.RetryAfter = k, 0 }) // clients may not be told when to come back
	if a := h.Execute(h.query("free", 0), nil); a.RetryAfter != 0 {
		t.Errorf("told to come back in %v", a.RetryAfter)
	}
}

// The owner tells how late it was, what it holds, and of each query's end once; all books end at nothing.
func TestTurnsTold(t *testing.T) {
	k := &keeper{}
	h := newHarness(t, func(c *Config) { c.Admitter, c.Limits.MaxOpen = k, 100 })
	h.Submit(h.query("free", 0, 1))
	h.clock += 30 * ms
	h.tick()
	last := k.turns[len(k.turns)-1]
	if last.Count != 1 || last.TotalWait != 30*ms || last.MaxWait != 30*ms || last.OpenFraction != 0.03 || last.QueryBytes != queryBytes+2*partBytes {
		t.Errorf("%+v", last)
	}
	for _, call := range h.caller.calls {
		for _, at := range call {
			h.AttemptEnded(at, scatter.Succeeded, make([]byte, 100))
		}
	}
	h.pass(0)
	if last := k.turns[len(k.turns)-1]; last.QueryBytes != 0 || last.OpenFraction != 0 || !slices.Equal(k.done, []int{2}) || h.open.bytes != 0 {
		t.Errorf("%+v, ended %v, %d bytes", last, k.done, h.open.bytes)
	}
}

// For want of memory, retained values go, then queries end that hold most for least worth: with an answer in part where
// that is allowed, refused else; and none of which a part may have run that must not run twice.
func TestSqueeze(t *testing.T) {
	k := &keeper{}
	h := newHarness(t, func(c *Config) {
		c.Admitter, c.Planner, c.CacheBytes = k, twophase.New(1<<20), 1<<20
		c.Settings.Classes[0].MinFraction = 0.5
	})
	h.cfg.Planner.ObserveFull(twophase.Topic{Index: "ix", Class: "free"}, 0, "q", state(1), []byte("v"), 0)
	var once *Query
	for i := range 3 {
		q := h.query("free", 0, 1)
		if i == 2 {
			q = h.query("once", 0)
			once = q
		}
		q.Done = func(a Answer) {
			h.answers = append(h.answers, fmt.Sprintf("%s: %d whole=%t", q.ID, a.Status, a.Complete))
		}
		h.Submit(q)
		h.pass(0)
	}
	h.AttemptEnded(h.caller.calls[0][0], scatter.Succeeded, make([]byte, 100<<10)) // of the first query's two parts
	h.pass(0)
	h.RelieveMemory(overload.DropCached, 0)
	h.pass(0)
	if n, _ := h.cfg.Planner.Cached(); n != 0 || len(h.answers) != 0 {
		t.Errorf("%d values retained, answers %q", n, h.answers)
	}
	h.RelieveMemory(overload.EndQueries, 1)
	h.pass(0)
	h.want(t, "q1: 0 whole=false") // half of it is in
	h.RelieveMemory(overload.EndQueries, 1<<30)
	h.pass(0)
	h.want(t, "q1: 0 whole=false", "q2: 1 whole=false")
	if h.open.byQuery[once] == nil {
		t.Error("a report that may have run was ended")
	}
	h.RelieveMemory(overload.MemoryNormal, 0)
	h.pass(0)
	h.cfg.Planner.ObserveFull(twophase.Topic{Index: "ix", Class: "free"}, 0, "q", state(1), []byte("v"), 0)
	if n, _ := h.cfg.Planner.Cached(); n != 1 {
		t.Error("nothing is retained after memory came back")
	}
}
