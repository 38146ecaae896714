package core

import (
	"errors"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// configure has the owner take settings over in its next turn.
func (h *harness) configure(s scatter.Settings) error {
	done := make(chan error, 1)
	h.post(configureRequest{&settingsSnapshot{s, h.inForce().limits}, done})
	h.pass(0)
	return <-done
}

// A query under way keeps its class: it is repeated as that class was, though a class of the same name now must not be.
// One that comes after goes by the new one. A class that vanishes is unknown from then on.
func TestSettingsChangeUnderWay(t *testing.T) {
	h := newHarness(t, nil)
	h.Submit(h.query("free", 0))
	h.pass(0)
	first := h.caller.last()
	s := h.cfg.Settings
	s.MaxAttempts = 2
	s.Classes = []scatter.Class{s.Classes[0], {Name: "new", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}}
	s.Classes[0].Idempotency = scatter.NonIdempotent
	if err := h.configure(s); err != nil {
		t.Fatal(err)
	}
	h.Submit(h.query("free", 0))
	h.pass(0)
	second := h.caller.last()
	h.AttemptEnded(first, scatter.Errored, nil)
	h.AttemptEnded(second, scatter.Errored, nil)
	for len(h.caller.calls) < 3 && h.clock < time.Hour+2*time.Second {
		h.pass(10 * ms)
	}
	h.want(t, `2 whole=false []`) // the second one has failed, the first one is tried again
	third := h.caller.last()
	if third == second || third.QueryID != first.QueryID {
		t.Fatalf("tried %+v, want the first query again", third)
	}
	h.AttemptEnded(third, scatter.Errored, nil)
	h.pass(4 * time.Second)
	if n := len(h.caller.calls); n != 3 || len(h.answers) != 2 {
		t.Errorf("%d calls and %d answers, want 3 and 2: fewer attempts hold for what is under way too", n, len(h.answers))
	}
	for class, want := range map[string]error{"once": ErrUnknownClass, "new": nil, "free": nil} {
		if got := h.validate(h.query(class, 0)); !errors.Is(got, want) {
			t.Errorf("%s: %v, want %v", class, got, want)
		}
	}
}

// Settings that are impossible, or are not served, change nothing.
func TestBadSettingsChangeNothing(t *testing.T) {
	h := newHarness(t, nil)
	before := h.inForce()
	for what, change := range map[string]func(*scatter.Settings){
		"no deadline":      func(s *scatter.Settings) { s.Classes[1].Deadline = 0 },
		"no attempts":      func(s *scatter.Settings) { s.MaxAttempts = 0 },
		"no class":         func(s *scatter.Settings) { s.Classes = nil },
		"no shards' reach": func(s *scatter.Settings) { s.ReplicationFactor = 0 },
	} {
		s := before.Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		change(&s)
		if err := h.configure(s); err == nil || h.inForce() != before {
			t.Errorf("%s: %v", what, err)
		}
	}
	s := before.Settings
	s.Classes = []scatter.Class{{Name: "c", LatencyObjective: 1, Deadline: 1, CompleteFraction: 1, SecondRoundParts: 1}}
	if err := h.Configure(s, before.limits); !errors.Is(err, ErrSecondRound) {
		t.Errorf("a second step: %v", err)
	}
	if h.askedNode(t, "once") != "a" {
		t.Error("not served by the old settings")
	}
}

// While another process serves beside it, an owner opens half as much.
func TestOpenQueriesShared(t *testing.T) {
	h := newHarness(t, func(c *Config) { c.Limits.MaxOpen = 8 })
	for _, tc := range []struct {
		shared bool
		opened int // queries of one part, which take two places
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
