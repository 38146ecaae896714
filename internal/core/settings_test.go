package core

import (
	"errors"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// The settings change while a query is open: its class becomes non-idempotent, and another class is removed. The open
// query is retried under its class as of its arrival. A later query follows the new settings, and the removed class is
// unknown.
func TestOpenQueryKeepsItsClass(t *testing.T) {
	h := newHarness(t, nil)
	h.submit(h.query("free", 0))
	first := h.caller.last()
	s := h.cfg.Settings
	s.MaxAttempts = 2
	s.Classes = []scatter.Class{s.Classes[0], {Name: "new", LatencyObjective: time.Second, Deadline: time.Second,
		PriorityWeight: 1, CompleteFraction: 1, MinFraction: 1}}
	s.Classes[0].Idempotency = scatter.NonIdempotent
	if err := h.configure(s); err != nil {
		t.Fatal(err)
	}
	h.submit(h.query("free", 0))
	second := h.caller.last()
	h.AttemptEnded(first, scatter.Errored, nil)
	h.AttemptEnded(second, scatter.Errored, nil)
	for len(h.caller.calls) < 3 && h.clock < time.Hour+2*time.Second {
		h.pass(10 * ms)
	}
	h.want(t, `failed complete=false []`) // the second query; the first is retried
	third := h.caller.last()
	if third == second || third.QueryID != first.QueryID {
		t.Fatalf("sent %+v, want a retry of the first query", third)
	}
	h.AttemptEnded(third, scatter.Errored, nil)
	h.pass(4 * time.Second)
	if n := len(h.caller.calls); n != 3 || len(h.answers) != 2 {
		t.Errorf("%d calls and %d answers, want 3 and 2: MaxAttempts also applies to open queries", n, len(h.answers))
	}
	for class, want := range map[string]error{"once": ErrUnknownClass, "new": nil, "free": nil} {
		if got := h.validate(h.query(class, 0)); !errors.Is(got, want) {
			t.Errorf("class %s: error %v, want %v", class, got, want)
		}
	}
}

// Settings that are invalid, or that this program does not support, change nothing.
func TestInvalidSettingsChangeNothing(t *testing.T) {
	h := newHarness(t, nil)
	before := h.inForce()
	for name, change := range map[string]func(*scatter.Settings){
		"no deadline":           func(s *scatter.Settings) { s.Classes[1].Deadline = 0 },
		"no attempts":           func(s *scatter.Settings) { s.MaxAttempts = 0 },
		"no class":              func(s *scatter.Settings) { s.Classes = nil },
		"no replication factor": func(s *scatter.Settings) { s.ReplicationFactor = 0 },
	} {
		s := before.Settings
		s.Classes = append([]scatter.Class(nil), s.Classes...)
		change(&s)
		var setting *scatter.SettingError
		if err := h.configure(s); !errors.As(err, &setting) || h.inForce() != before {
			t.Errorf("settings with %s: error %v, or settings changed", name, err)
		}
	}
	s := before.Settings
	s.Classes = []scatter.Class{{Name: "c", LatencyObjective: 1, Deadline: 1, CompleteFraction: 1, SecondRoundParts: 1}}
	if err := h.Configure(s, before.limits); !errors.Is(err, ErrSecondRound) {
		t.Errorf("settings with a second round: %v, want ErrSecondRound", err)
	}
	if h.sentTo(t, "once") != "a" {
		t.Error("the old settings no longer serve queries")
	}
}

func TestSecondRoundIsNotSupported(t *testing.T) {
	s := newHarness(t, nil).cfg.Settings
	s.Classes[0].SecondRoundParts = 2
	if _, err := New(Config{Settings: s}); !errors.Is(err, ErrSecondRound) {
		t.Errorf("a class with a second round: %v, want ErrSecondRound", err)
	}
}
