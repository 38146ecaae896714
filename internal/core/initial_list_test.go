package core

import (
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// starting is a Coordinator in the phase Starting that subscribes to the source "test" in its first tick.
type starting struct {
	*Coordinator
	clock time.Duration
}

func newStarting(t *testing.T) *starting {
	t.Helper()
	s := &starting{clock: time.Hour}
	settings := newHarness(t, nil).cfg.Settings
	settings.Subscribe, settings.ListMaxAge = true, 10*time.Second
	c, err := New(Config{Settings: settings, Clock: func() time.Duration { return s.clock }, Subscribe: func() {},
		PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	s.Coordinator = c
	return s
}

// A cached list does not make the coordinator Ready immediately. The polled source's answer does, even if it is a
// failure.
func TestStartingUntilTheListIsKnown(t *testing.T) {
	c, err := New(Config{Settings: newHarness(t, nil).cfg.Settings, Clock: func() time.Duration { return time.Hour },
		Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		kind scatter.UpdateKind
		want Phase
	}{{scatter.CachedUpdate, Starting}, {scatter.FailedUpdate, Ready}} {
		c.UpdateEndpoints("test", tc.kind, nil)
		c.tick()
		if c.Phase() != tc.want {
			t.Errorf("after an update of kind %d: %v, want %v", tc.kind, c.Phase(), tc.want)
		}
	}
}

// Discovery accepts the watch and stays silent for 10 s. The coordinator serves with its cached list after
// cachedListDelay, whether that list arrived before the first tick or after it.
func TestCachedListIsUsedAfterDelay(t *testing.T) {
	for _, before := range []bool{true, false} {
		s := newStarting(t)
		if !before {
			s.tick()
		}
		s.UpdateEndpoints("test", scatter.CachedUpdate, []Endpoint{fakeEndpoint("a", scatter.Ready)})
		s.tick()
		for _, want := range []Phase{Starting, Ready} {
			s.clock += cachedListDelay - ms
			if s.tick(); s.Phase() != want {
				t.Errorf("cached list before the first tick: %t; phase %v, want %v", before, s.Phase(), want)
			}
		}
	}
}

// A source sends its first list slowly, in several pieces. The entries take effect at once, but only the last piece
// makes the coordinator Ready, however long that takes: part of a list never counts as the whole list.
func TestPartialListDoesNotMakeReady(t *testing.T) {
	s := newStarting(t)
	s.tick()
	s.UpdateEndpointsPartially("test", []Endpoint{fakeEndpoint("a", scatter.Ready), fakeEndpoint("b", scatter.Ready)})
	s.UpdateEndpointsPartially("test", []Endpoint{fakeEndpoint("a", scatter.Draining),
		fakeEndpoint("b", scatter.Removed)})
	for range 3 {
		s.clock += 2 * cachedListDelay
		if s.tick(); s.Phase() != Starting {
			t.Fatalf("phase with half a list: %v, want starting", s.Phase())
		}
	}
	listed := s.endpoints.byID
	if _, found := listed["b"]; found || listed["a"].State != scatter.Draining {
		t.Errorf("endpoints after two pieces: %v, want a draining, no b", listed)
	}
	s.UpdateEndpoints("test", scatter.IncrementalUpdate, []Endpoint{fakeEndpoint("c", scatter.Ready)})
	if s.tick(); s.Phase() != Ready || len(s.endpoints.byID) != 2 {
		t.Errorf("after the complete list: phase %v, endpoints %v", s.Phase(), s.endpoints.byID)
	}
}
