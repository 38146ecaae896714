package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// newTwoPhaseHarness has a class that may be answered from 70%, with first phases, over sections 0 to 3 whose values
// are retained as known, if so.
func newTwoPhaseHarness(t *testing.T, known bool, change func(*Config)) *harness {
	h := newHarness(t, func(c *Config) {
		c.Settings.Classes[0].MinFraction = 0.7
		c.Planner, c.TwoPhaseClasses, c.TwoPhaseSchemes = twophase.New(1<<20), []string{"free"}, map[string]bool{"fake": true}
		if change != nil {
			change(c)
		}
	})
	if known {
		for s := range 4 {
			h.cfg.Planner.ObserveFull(twophase.Topic{Index: "ix", Class: "free"}, s, "text", state(1), fmt.Appendf(nil, "known%d", s), 0)
		}
	}
	return h
}

func state(max float64) twophase.Evidence {
	return twophase.Evidence{Readable: true, Matches: 1, Versioned: true, Version: twophase.Version{Docs: 1, Max: max, Min: max, Sum: max}}
}

func (h *harness) search() *Query {
	q := h.query("free", 0, 1, 2, 3)
	q.Index, q.Body, q.EmptyValue = "ix", []byte("text"), []byte("none")
	q.Done = func(a Answer) {
		h.answers = append(h.answers, fmt.Sprintf("%d %t %q %v", a.Status, a.Complete, a.Values, a.Pruned))
	}
	h.Submit(q)
	h.pass(0)
	return q
}

// out lists the attempts that have not ended, of first phases or in full.
func (h *harness) out(first bool) (list []*Attempt) {
	for _, call := range h.caller.calls {
		for _, at := range call {
			if !at.ended && at.FirstPhase == first && !slices.Contains(h.caller.cancelled, at) {
				list = append(list, at)
			}
		}
	}
	return list
}

func (h *harness) end(at *Attempt, o scatter.Outcome, found twophase.Evidence) {
	at.Evidence = found
	h.AttemptEnded(at, o, fmt.Appendf(nil, "v%d", at.Shard))
	h.pass(0)
}

func TestFirstPhase(t *testing.T) {
	behind, gone := state(0), twophase.Evidence{Readable: true, Versioned: true, Version: state(1).Version}
	for _, tc := range []struct {
		name    string
		known   bool
		outcome scatter.Outcome
		found   func(shard int) twophase.Evidence
		full    int  // parts asked in full
		signed  bool // with their version
		answer  string
	}{
		{"all pruned", true, scatter.Succeeded, func(int) twophase.Evidence { return state(1) }, 0, false,
			`0 true ["known0" "known1" "known2" "known3"] [true true true true]`},
		{"all empty", false, scatter.Succeeded, func(int) twophase.Evidence { return gone }, 0, false,
			`0 true ["none" "none" "none" "none"] [true true true true]`},
		{"none pruned", true, scatter.Succeeded, func(int) twophase.Evidence { return state(2) }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
		{"nothing known", false, scatter.Succeeded, func(int) twophase.Evidence { return state(1) }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
		{"one changed", true, scatter.Succeeded, func(s int) twophase.Evidence {
			if s == 2 {
				return state(2)
			}
			return state(1)
		}, 1, true, `0 true ["known0" "known1" "v2" "known3"] [true true false true]`},
		{"all behind", true, scatter.Succeeded, func(int) twophase.Evidence { return behind }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
		{"unreadable", true, scatter.Succeeded, func(int) twophase.Evidence { return twophase.Evidence{} }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
		{"all failed", true, scatter.Errored, func(int) twophase.Evidence { return state(1) }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
		{"all full", true, scatter.Rejected, func(int) twophase.Evidence { return state(1) }, 4, true,
			`0 true ["v0" "v1" "v2" "v3"] [false false false false]`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newTwoPhaseHarness(t, tc.known, nil)
			h.search()
			firsts := h.out(true)
			if len(firsts) != 4 || len(h.out(false)) != 0 {
				t.Fatalf("%d first phases, %d full parts, want 4 and 0", len(firsts), len(h.out(false)))
			}
			for _, at := range firsts {
				h.end(at, tc.outcome, tc.found(at.Shard))
			}
			if tc.outcome != scatter.Succeeded { // the one replica is let be for a while
				h.pass(450 * ms)
			}
			full := h.out(false)
			if len(full) != tc.full || len(h.out(true)) != 0 {
				t.Fatalf("%d full parts and %d first phases after it, want %d and 0", len(full), len(h.out(true)), tc.full)
			}
			for _, at := range full {
				if at.WithVersion != tc.signed {
					t.Errorf("section %d asked with its version: %t", at.Shard, at.WithVersion)
				}
				h.end(at, scatter.Succeeded, state(3))
			}
			h.pass(5 * time.Second)
			h.want(t, tc.answer)
			if h.open.count != 0 || len(h.open.parts) != 0 || len(h.firstPhases) != 0 {
				t.Errorf("%d held, %d parts, %d first phases remain", h.open.count, len(h.open.parts), len(h.firstPhases))
			}
		})
	}
}

// The first phase has its time and no more: then the full questions go out, and what it still proves is taken.
func TestFirstPhaseLate(t *testing.T) {
	h := newTwoPhaseHarness(t, true, nil)
	for range 10 { // slow answers in full leave it 100 ms
		h.cfg.Planner.ObserveLatency(twophase.Topic{Index: "ix", Class: "free"}, 0, true, 50*ms)
	}
	h.search()
	firsts := h.out(true)
	h.pass(100*ms - 1)
	if n := len(h.out(false)); n != 0 {
		t.Fatalf("%d full parts before the first phase's time is over", n)
	}
	h.pass(1)
	full := h.out(false)
	if len(full) != 4 || len(h.out(true)) != 4 {
		t.Fatalf("%d full parts and %d first phases, want 4 and 4", len(full), len(h.out(true)))
	}
	h.end(firsts[0], scatter.Succeeded, state(1)) // late, and true all the same: its full part is called off
	if !slices.Contains(h.caller.cancelled, full[0]) {
		t.Error("a full part that is known goes on")
	}
	h.AttemptEnded(full[0], scatter.Succeeded, []byte("late"))
	h.end(full[1], scatter.Succeeded, state(1)) // the first phase of that section has nothing to add
	if !slices.Contains(h.caller.cancelled, firsts[1]) {
		t.Error("a first phase goes on whose section is in")
	}
	h.end(firsts[1], scatter.Succeeded, state(1))
	h.end(full[2], scatter.Succeeded, state(1))
	h.end(full[3], scatter.Succeeded, state(1))
	h.pass(5 * time.Second)
	h.want(t, `0 true ["known0" "v1" "v2" "v3"] [true false false false]`)
}

// A first phase that eats all the time leaves an answer in part where the weight suffices, else a refusal; both in
// time, and once.
func TestFirstPhaseEatsTheTime(t *testing.T) {
	for proven, want := range []string{`1 false [] []`, `1 false [] []`, `1 false [] []`,
		`0 false ["known0" "known1" "known2" ""] [true true true false]`} {
		h := newTwoPhaseHarness(t, true, nil)
		q := h.search()
		for _, at := range h.out(true)[:proven] {
			h.end(at, scatter.Succeeded, state(1))
		}
		h.pass(q.Deadline - h.clock)
		h.want(t, want)
		h.pass(5 * time.Second)
		h.want(t, want)
		if h.open.count != 0 || len(h.open.byID) != 0 {
			t.Errorf("%d held, %d queries remain", h.open.count, len(h.open.byID))
		}
	}
}

// A client that leaves, a limit on what is open, and a holder that knows of no first phase.
func TestFirstPhaseAside(t *testing.T) {
	h := newTwoPhaseHarness(t, true, nil)
	h.CancelQuery(h.search())
	h.pass(0)
	if len(h.out(true)) != 0 || h.open.count != 0 || len(h.firstPhases) != 0 {
		t.Errorf("after its client left: %d first phases out, %d held", len(h.out(true)), h.open.count)
	}
	h = newTwoPhaseHarness(t, true, func(c *Config) { c.Limits.MaxOpen = 9 })
	if h.search(); len(h.out(true)) != 0 || len(h.out(false)) != 4 {
		t.Errorf("%d first phases, %d full parts where there is room for one query only", len(h.out(true)), len(h.out(false)))
	}
	h = newTwoPhaseHarness(t, true, func(c *Config) { c.Callers["frames"] = c.Callers["fake"] })
	h.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{{Replica: scatter.Replica{ID: "b"}, Address: "b", Scheme: "frames"}})
	h.pass(0)
	if h.search(); len(h.out(true)) != 0 || len(h.out(false)) != 4 {
		t.Errorf("%d first phases, %d full parts with a holder that speaks frames", len(h.out(true)), len(h.out(false)))
	}
}

// The module counts one query in a tenant's share, whatever its phases: of twelve at once under load, as many are
// admitted in two phases as in one.
func TestFirstPhaseCountsOnce(t *testing.T) {
	admitted := func(twoPhase bool) (n int) {
		h := newTwoPhaseHarness(t, true, func(c *Config) {
			c.Settings.Tenants = []scatter.Tenant{{Name: "t", Quota: 0.1}}
			c.Settings.OverQuotaWeight = 0.05
			if !twoPhase {
				c.TwoPhaseClasses = nil
			}
		})
		for range 20 { // slow full answers make a load at which traffic over the share is refused
			q := h.query("free", 0)
			h.Submit(q)
			h.pass(0)
			h.pass(350 * ms)
			h.end(h.out(false)[0], scatter.Succeeded, state(1))
		}
		for range 12 {
			q := h.query("free", 0, 1, 2, 3)
			q.Tenant, q.Index, q.Body = "t", "ix", []byte("text")
			h.Submit(q)
			h.pass(0)
		}
		return len(h.open.byID)
	}
	one, two := admitted(false), admitted(true)
	if one != two || one == 12 || one == 0 {
		t.Errorf("%d of 12 queries admitted in one phase, %d in two", one, two)
	}
}
