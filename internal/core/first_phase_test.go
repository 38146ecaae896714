package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// searchTopic is the topic of the queries that search submits.
var searchTopic = twophase.Topic{Index: "ix", Class: "free"}

// newTwoPhaseHarness returns a harness with first phases over shards 0 to 3, whose class has a minimum fraction of 70%.
// If retained is set, the Planner retains the values known0 to known3 for search's query, as of state 1.
func newTwoPhaseHarness(t *testing.T, retained bool, change func(*Config)) *harness {
	h := newHarness(t, func(c *Config) {
		c.Settings.Classes[0].MinFraction = 0.7
		c.Planner, c.TwoPhaseClasses = twophase.New(1<<20), []string{"free"}
		c.TwoPhaseSchemes = map[string]bool{"fake": true}
		if change != nil {
			change(c)
		}
	})
	if retained {
		for s := range 4 {
			h.cfg.Planner.ObserveFullWithVersion(searchTopic, s, "text", state(1), fmt.Appendf(nil, "known%d", s), 0)
		}
	}
	return h
}

// state is the evidence of a shard with one hit and data at the given version; higher versions are newer.
func state(version float64) twophase.Evidence {
	return twophase.Evidence{Readable: true, Matches: 1, Versioned: true,
		Version: twophase.Version{Docs: 1, Max: version, Min: version, Sum: version}}
}

// search submits a query over shards 0 to 3 that may have a first phase.
func (h *harness) search() *Query {
	q := h.query("free", 0, 1, 2, 3)
	q.Index, q.Body, q.EmptyValue, q.Cacheable = "ix", []byte("text"), []byte("none"), true
	q.Done = func(a Answer) {
		h.answers = append(h.answers, fmt.Sprintf("%s %t %q %v", statusNames[a.Status], a.Complete, a.Values, a.Pruned))
	}
	h.submit(q)
	return q
}

// outstanding returns the attempts that have neither ended nor been cancelled, of first phases or of full queries.
func (h *harness) outstanding(firstPhase bool) (list []*Attempt) {
	for _, call := range h.caller.calls {
		for _, at := range call {
			if !at.ended && at.FirstPhase == firstPhase && !slices.Contains(h.caller.cancelled, at) {
				list = append(list, at)
			}
		}
	}
	return list
}

// end ends an attempt with an outcome and evidence; its value is v and the shard's number.
func (h *harness) end(at *Attempt, o scatter.Outcome, found twophase.Evidence) {
	at.Evidence = found
	h.AttemptEnded(at, o, fmt.Appendf(nil, "v%d", at.Shard))
	h.pass(0)
}

// A first phase proves all values, some, or none. Parts with a proven value are not sent in full. The others are, and
// ask for versioned values so that these can be retained.
func TestFirstPhaseOutcomes(t *testing.T) {
	always := func(e twophase.Evidence) func(int) twophase.Evidence { return func(int) twophase.Evidence { return e } }
	empty := twophase.Evidence{Readable: true, Versioned: true, Version: state(1).Version}
	oneChanged := func(shard int) twophase.Evidence {
		if shard == 2 {
			return state(2)
		}
		return state(1)
	}
	const noneProven = `served true ["v0" "v1" "v2" "v3"] [false false false false]`
	for _, tc := range []struct {
		name        string
		retained    bool
		outcome     scatter.Outcome
		found       func(shard int) twophase.Evidence
		full        int // parts sent in full
		withVersion bool
		answer      string
	}{
		{"all unchanged", true, scatter.Succeeded, always(state(1)), 0, false,
			`served true ["known0" "known1" "known2" "known3"] [true true true true]`},
		{"all empty", false, scatter.Succeeded, always(empty), 0, false,
			`served true ["none" "none" "none" "none"] [true true true true]`},
		{"all changed", true, scatter.Succeeded, always(state(2)), 4, true, noneProven},
		{"nothing retained", false, scatter.Succeeded, always(state(1)), 4, true, noneProven},
		{"one changed", true, scatter.Succeeded, oneChanged, 1, true,
			`served true ["known0" "known1" "v2" "known3"] [true true false true]`},
		{"all behind", true, scatter.Succeeded, always(state(0)), 4, true, noneProven},
		{"unreadable", true, scatter.Succeeded, always(twophase.Evidence{}), 4, true, noneProven},
		{"all failed", true, scatter.Errored, always(state(1)), 4, true, noneProven},
		{"all rejected", true, scatter.Rejected, always(state(1)), 4, true, noneProven},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newTwoPhaseHarness(t, tc.retained, nil)
			h.search()
			firsts := h.outstanding(true)
			if n := len(h.outstanding(false)); len(firsts) != 4 || n != 0 {
				t.Fatalf("%d first phases and %d full parts outstanding, want 4 and 0", len(firsts), n)
			}
			for _, at := range firsts {
				h.end(at, tc.outcome, tc.found(at.Shard))
			}
			if tc.outcome != scatter.Succeeded { // the only replica is ejected for a while
				h.pass(450 * ms)
			}
			full := h.outstanding(false)
			if n := len(h.outstanding(true)); len(full) != tc.full || n != 0 {
				t.Fatalf("%d full parts and %d first phases after it, want %d and 0", len(full), n, tc.full)
			}
			for _, at := range full {
				if at.WithVersion != tc.withVersion {
					t.Errorf("shard %d: full part asks for the version: %t", at.Shard, at.WithVersion)
				}
				h.end(at, scatter.Succeeded, state(3))
			}
			h.pass(5 * time.Second)
			h.want(t, tc.answer)
			h.wantNothingOpen(t)
		})
	}
}

// A first phase is slow. When its time is used up, all parts are sent in full. Later evidence can still resolve a part,
// whose full attempt is then cancelled. A part that receives its value cancels its first phase.
func TestSlowFirstPhaseReleasesItsParts(t *testing.T) {
	h := newTwoPhaseHarness(t, true, nil)
	for range 10 { // first phases of 50 ms, after which one may take 100 ms
		h.cfg.Planner.ObserveLatency(searchTopic, 0, true, 50*ms)
	}
	h.search()
	firsts := h.outstanding(true)
	h.pass(100*ms - 1)
	if n := len(h.outstanding(false)); n != 0 {
		t.Fatalf("%d full parts sent before the first phase's time is used up", n)
	}
	h.pass(1)
	full := h.outstanding(false)
	if n := len(h.outstanding(true)); len(full) != 4 || n != 4 {
		t.Fatalf("%d full parts and %d first phases outstanding, want 4 and 4", len(full), n)
	}
	h.end(firsts[0], scatter.Succeeded, state(1))
	if !slices.Contains(h.caller.cancelled, full[0]) {
		t.Error("a full part was not cancelled although its value is proven")
	}
	h.AttemptEnded(full[0], scatter.Succeeded, []byte("late"))
	h.end(full[1], scatter.Succeeded, state(1))
	if !slices.Contains(h.caller.cancelled, firsts[1]) {
		t.Error("a first phase was not cancelled although its part has a value")
	}
	h.end(firsts[1], scatter.Succeeded, state(1))
	h.end(full[2], scatter.Succeeded, state(1))
	h.end(full[3], scatter.Succeeded, state(1))
	h.pass(5 * time.Second)
	h.want(t, `served true ["known0" "v1" "v2" "v3"] [true false false false]`)
}

// A first phase and the full parts after it use up the client's time. The query is answered incompletely if the weight
// of the proven parts suffices, and rejected otherwise: by the deadline, and once.
func TestFirstPhaseUsesUpTheTime(t *testing.T) {
	const rejected = `refused false [] []`
	for proven, want := range []string{rejected, rejected, rejected,
		`served false ["known0" "known1" "known2" ""] [true true true false]`} {
		h := newTwoPhaseHarness(t, true, nil)
		q := h.search()
		for _, at := range h.outstanding(true)[:proven] {
			h.end(at, scatter.Succeeded, state(1))
		}
		h.pass(q.Deadline - h.clock)
		h.want(t, want)
		h.pass(5 * time.Second)
		h.want(t, want)
		if h.open.count != 0 || len(h.open.byID) != 0 {
			t.Errorf("after the answer: %d queries and parts count as open, %d queries remain",
				h.open.count, len(h.open.byID))
		}
	}
}

func TestFirstPhaseEndsWithItsClient(t *testing.T) {
	h := newTwoPhaseHarness(t, true, nil)
	h.CancelQuery(h.search())
	h.pass(0)
	if n := len(h.outstanding(true)); n != 0 || h.open.count != 0 || len(h.open.firstPhases) != 0 {
		t.Errorf("after the client left: %d first phases outstanding, %d queries and parts open", n, h.open.count)
	}
}

func TestNoFirstPhaseBeyondTheOpenLimit(t *testing.T) {
	h := newTwoPhaseHarness(t, true, func(c *Config) { c.Limits.MaxOpen = 9 })
	h.search()
	if firsts, full := len(h.outstanding(true)), len(h.outstanding(false)); firsts != 0 || full != 4 {
		t.Errorf("%d first phases and %d full parts under the open limit, want 0 and 4", firsts, full)
	}
}

func TestNoFirstPhaseWhereAHolderCannotTakeIt(t *testing.T) {
	h := newTwoPhaseHarness(t, true, func(c *Config) { c.Callers["frames"] = c.Callers["fake"] })
	b := fakeEndpoint("b", scatter.Ready)
	b.Scheme = "frames"
	h.update(scatter.IncrementalUpdate, b)
	h.search()
	if firsts, full := len(h.outstanding(true)), len(h.outstanding(false)); firsts != 0 || full != 4 {
		t.Errorf("%d first phases and %d full parts with a holder that lacks support, want 0 and 4", firsts, full)
	}
}

// A tenant sends twelve queries at once under load. As many are admitted with a first phase as without one, because the
// module counts a first phase toward no tenant's quota.
func TestFirstPhaseIsNotCountedInQuota(t *testing.T) {
	admitted := func(twoPhase bool) int {
		h := newTwoPhaseHarness(t, true, func(c *Config) {
			c.Settings.Tenants = []scatter.Tenant{{Name: "t", Quota: 0.1}}
			c.Settings.OverQuotaWeight = 0.05
			if !twoPhase {
				c.TwoPhaseClasses = nil
			}
		})
		for range 20 { // slow full parts create a load at which queries over the quota are rejected
			h.submit(h.query("free", 0))
			h.pass(350 * ms)
			h.end(h.outstanding(false)[0], scatter.Succeeded, state(1))
		}
		for range 12 {
			q := h.query("free", 0, 1, 2, 3)
			q.Tenant, q.Index, q.Body, q.Cacheable = "t", "ix", []byte("text"), true
			h.submit(q)
		}
		return len(h.open.byID)
	}
	one, two := admitted(false), admitted(true)
	if one != two || one == 12 || one == 0 {
		t.Errorf("%d of 12 queries admitted in one phase, %d in two", one, two)
	}
}
