package core

import (
	"errors"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// configure has the owner take settings over in its next turn.
func (r *rig) configure(s scatter.Settings) error {
	done := make(chan error, 1)
	r.post(configured{&facts{s, r.set().limits}, done})
	r.pass(0)
	return <-done
}

// A query under way keeps its class: it is repeated as that class was, though a class of the same name now must not be.
// One that comes after goes by the new one. A class that vanishes is unknown from then on.
func TestSettingsChangeUnderWay(t *testing.T) {
	r := newRig(t, nil)
	r.Submit(r.query("free", 0))
	r.pass(0)
	first := r.hand.last()
	s := r.cfg.Settings
	s.MaxAttempts = 2
	s.Classes = []scatter.Class{s.Classes[0], {Name: "new", LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}}
	s.Classes[0].Idempotency = scatter.NonIdempotent
	if err := r.configure(s); err != nil {
		t.Fatal(err)
	}
	r.Submit(r.query("free", 0))
	r.pass(0)
	second := r.hand.last()
	r.AttemptEnded(first, scatter.Errored, nil)
	r.AttemptEnded(second, scatter.Errored, nil)
	for len(r.hand.calls) < 3 && r.clock < time.Hour+2*time.Second {
		r.pass(10 * ms)
	}
	r.want(t, `2 whole=false []`) // the second one has failed, the first one is tried again
	third := r.hand.last()
	if third == second || third.QueryID != first.QueryID {
		t.Fatalf("tried %+v, want the first query again", third)
	}
	r.AttemptEnded(third, scatter.Errored, nil)
	r.pass(4 * time.Second)
	if n := len(r.hand.calls); n != 3 || len(r.answers) != 2 {
		t.Errorf("%d calls and %d answers, want 3 and 2: fewer attempts hold for what is under way too", n, len(r.answers))
	}
	for class, want := range map[string]string{"once": "unknown class", "new": "", "free": ""} {
		if got := r.check(r.query(class, 0)); got != want {
			t.Errorf("%s: %q, want %q", class, got, want)
		}
	}
}

// Settings that are impossible, or are not served, change nothing.
func TestBadSettingsChangeNothing(t *testing.T) {
	r := newRig(t, nil)
	before := r.set()
	for what, change := range map[string]func(*scatter.Settings){
		"no deadline":      func(s *scatter.Settings) { s.Classes[1].Deadline = 0 },
		"no attempts":      func(s *scatter.Settings) { s.MaxAttempts = 0 },
		"no class":         func(s *scatter.Settings) { s.Classes = nil },
		"no shards' reach": func(s *scatter.Settings) { s.ReplicationFactor = 0 },
	} {
		s := before.Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		change(&s)
		if err := r.configure(s); err == nil || r.set() != before {
			t.Errorf("%s: %v", what, err)
		}
	}
	s := before.Settings
	s.Classes = []scatter.Class{{Name: "c", LatencyObjective: 1, Deadline: 1, CompleteFraction: 1, SecondRoundParts: 1}}
	if err := r.Configure(s, before.limits); !errors.Is(err, ErrSecondStep) {
		t.Errorf("a second step: %v", err)
	}
	if r.askedNode(t, "once") != "a" {
		t.Error("not served by the old settings")
	}
}

// While another process serves beside it, an owner opens half as much.
func TestOpenQueriesShared(t *testing.T) {
	r := newRig(t, func(c *Config) { c.Limits.MaxOpen = 8 })
	for _, tc := range []struct {
		shared bool
		opened int // queries of one part, which take two places
	}{{true, 2}, {false, 4}} {
		r.SetShared(tc.shared)
		for range 6 {
			r.Submit(r.query("free", 0))
		}
		r.pass(0)
		if len(r.queries) != tc.opened {
			t.Errorf("shared %t: %d open, want %d", tc.shared, len(r.queries), tc.opened)
		}
	}
}
