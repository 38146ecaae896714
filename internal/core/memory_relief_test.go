package core

import (
	"fmt"
	"testing"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// Memory runs short. The Planner's retained values are dropped first; then the queries that take the most bytes for the
// least priority are ended, with an incomplete answer if their class allows one and rejected otherwise. A query is kept
// if a part that must not run twice may have run. Once memory is no longer short, values are retained again.
func TestMemoryReliefDropsValuesThenQueries(t *testing.T) {
	h := newHarness(t, func(c *Config) {
		c.Admitter, c.Planner, c.CacheBytes = &fakeAdmitter{}, twophase.New(1<<20), 1<<20
		c.Settings.Classes[0].MinFraction = 0.5
	})
	retain := func() {
		h.cfg.Planner.ObserveFullWithVersion(searchTopic, 0, "q", state(1), []byte("v"), 0)
	}
	relieve := func(level overload.MemoryLevel, excess int64) {
		h.RelieveMemory(level, excess)
		h.pass(0)
	}
	retain()
	var once *Query
	for i := range 3 {
		q := h.query("free", 0, 1)
		if i == 2 {
			q = h.query("once", 0)
			once = q
		}
		q.Done = func(a Answer) {
			h.answers = append(h.answers, fmt.Sprintf("%s: %s complete=%t", q.ID, statusNames[a.Status], a.Complete))
		}
		h.submit(q)
	}
	h.AttemptEnded(h.caller.calls[0][0], scatter.Succeeded, make([]byte, 100<<10)) // one of q1's two parts
	h.pass(0)
	relieve(overload.DropCached, 0)
	if n, _ := h.cfg.Planner.Cached(); n != 0 || len(h.answers) != 0 {
		t.Errorf("%d values retained, answers %q; want none of either", n, h.answers)
	}
	relieve(overload.EndQueries, 1)
	h.want(t, "q1: served complete=false")
	relieve(overload.EndQueries, 1<<30)
	h.want(t, "q1: served complete=false", "q2: refused complete=false")
	if h.open.byQuery[once] == nil {
		t.Error("a non-idempotent query that may have run was ended")
	}
	relieve(overload.MemoryNormal, 0)
	retain()
	if n, _ := h.cfg.Planner.Cached(); n != 1 {
		t.Error("no value is retained after memory is back to normal")
	}
}
