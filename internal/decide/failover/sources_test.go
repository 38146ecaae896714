package failover

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

var own = Locality{Zone: "r1-a", Region: "r1"}

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// list is two sources in the reader's zone, two in its region and two elsewhere, one of them in a zone of the same name.
func list() []Source {
	return []Source{{"far:1", Locality{"r2-a", "r2"}}, {"region:1", Locality{"r1-b", "r1"}}, {"zone:1", own},
		{"far:2", Locality{"r1-a", "r3"}}, {"region:2", Locality{"r1-c", "r1"}}, {"zone:2", own}}
}

// next is the source that is chosen once it may be.
func next(t *testing.T, s *Selector, now *time.Duration) Source {
	t.Helper()
	for range 100 {
		source, wait := s.Next(*now)
		if wait == 0 {
			return source
		}
		*now += wait
	}
	t.Fatal("no source is chosen")
	return Source{}
}

// Sources are gone through by distance; among equals readers draw the order.
func TestOrder(t *testing.T) {
	firsts := map[string]int{}
	for seed := range uint64(200) {
		s, now := New(own, list(), random(seed)), time.Duration(0)
		var distances []distance
		for range 6 {
			source := next(t, s, &now)
			if len(distances) == 0 {
				firsts[source.Address]++
			}
			distances = append(distances, distanceOf(own, source.Locality))
			s.Leave(now, Invalid) // for longer than it takes to go through all
		}
		if !slices.IsSorted(distances) || distances[5] != elsewhere {
			t.Fatalf("seed %d: distances %v", seed, distances)
		}
		if now >= sec {
			t.Errorf("seed %d: it took %v to go through all", seed, now)
		}
	}
	if firsts["zone:1"] < 70 || firsts["zone:2"] < 70 || len(firsts) != 2 {
		t.Errorf("first choices %v", firsts)
	}
}

// Whatever happens: a source is not tried in its pause, which is bounded; a nearer one that may be tried is not passed over
// but for one that is busy; the next one is known within the spread where there is one; and a reader returns to nearer
// sources only.
func TestChoices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(own, list(), random(rapid.Uint64().Draw(t, "seed")))
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms
			if s.current == none {
				before := now
				source, wait := s.Next(now)
				for ; wait > 0; source, wait = s.Next(now) {
					if now += wait; now-before > pauses[Invalid].most+longestRetryAfter {
						t.Fatalf("no source for %v", now-before)
					}
				}
				for _, c := range s.candidates {
					if c.Address == source.Address && c.retryAt > now {
						t.Fatalf("%s is tried at %v, its pause ends at %v", c.Address, now, c.retryAt)
					}
					if c.distance < s.candidates[s.current].distance && c.retryAt <= now {
						t.Fatalf("%s is passed over for %s", c.Address, source.Address)
					}
				}
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.Leave(now, Reason(rapid.IntRange(0, 4).Draw(t, "reason")))
				if s.notBefore-now > spread {
					t.Fatalf("the next one is turned to %v later", s.notBefore-now)
				}
			case 1:
				s.Rejected(now, time.Duration(rapid.IntRange(0, 5).Draw(t, "busy"))*sec)
			default:
				s.Succeeded(now)
				nearer, ok := s.Nearer(now)
				if !ok {
					continue
				}
				current, _ := s.Current()
				if distanceOf(own, nearer.Locality) >= distanceOf(own, current.Locality) {
					t.Fatalf("from %s it would return to %s", current.Address, nearer.Address)
				}
				if rapid.Bool().Draw(t, "fit") {
					if got, _ := s.Current(); !s.SwitchTo(now, nearer, 0) || got == nearer {
						t.Fatalf("it does not return from %s to %s", got.Address, nearer.Address)
					}
					if got, _ := s.Current(); got != nearer || s.SwitchTo(now, nearer, 0) {
						t.Fatalf("it follows %s, not %s", got.Address, nearer.Address)
					}
				} else if s.ProbeFailed(now, nearer, Failed); s.current == none {
					t.Fatal("it has no source though it stays")
				}
			}
		}
	})
}

// longestRetryAfter is what the test's busy sources ask for, with what is drawn on top.
const longestRetryAfter = 8 * time.Second

// The pauses of a source that goes on failing grow to their bound; once it has served for a while they begin anew.
func TestPausesGrow(t *testing.T) {
	s, now := New(own, list()[2:3], random(1)), time.Duration(0)
	last := time.Duration(0)
	for i := range 12 {
		next(t, s, &now)
		s.Leave(now, Failed)
		wait := s.candidates[0].retryAt - now
		if wait < last/2 || wait > pauses[Failed].most || i > 6 && wait < pauses[Failed].most/2 {
			t.Errorf("failure %d: %v after %v", i, wait, last)
		}
		last = wait
	}
	next(t, s, &now)
	s.Succeeded(now)
	now += stable
	s.Succeeded(now)
	if s.Leave(now, Failed); s.candidates[0].retryAt-now > pauses[Failed].least {
		t.Errorf("after a stable time: %v", s.candidates[0].retryAt-now)
	}
}

// A busy source is waited for, though there is one farther away; not for ever.
func TestBusy(t *testing.T) {
	s, now := New(own, list()[1:3], random(1)), time.Duration(0)
	for range patience {
		if source := next(t, s, &now); source.Address != "zone:1" {
			t.Fatalf("%s at %v", source.Address, now)
		}
		s.Rejected(now, 9*sec)
	}
	if source, wait := s.Next(now); wait != 0 || source.Address != "region:1" {
		t.Errorf("%s, wait %v after %v", source.Address, wait, now)
	}
}

// The readers of a lost relay turn away from it at moments of their own, and so they return: no tenth of a second has
// more than a tenth of them, and none takes longer than the longest pause and the spread.
func TestReturnsSpread(t *testing.T) {
	const readers, back = 300, 20 * sec
	returned := map[time.Duration]int{}
	for seed := range uint64(readers) {
		s, now := New(own, list()[1:3], random(seed)), time.Duration(0)
		next(t, s, &now)
		s.Leave(now, Failed)
		if source := next(t, s, &now); source.Address != "region:1" {
			t.Fatalf("it follows %s", source.Address)
		}
		for {
			now += 100 * ms
			s.Succeeded(now)
			nearer, ok := s.Nearer(now)
			if !ok {
				continue
			}
			if now >= back {
				break
			}
			s.ProbeFailed(now, nearer, Failed)
		}
		if now > back+pauses[Failed].most+returnSpread+100*ms {
			t.Errorf("seed %d returns %v late", seed, now-back)
		}
		returned[now.Truncate(100*ms)]++
	}
	for at, n := range returned {
		if n > readers/10 {
			t.Errorf("%d of %d return at %v", n, readers, at)
		}
	}
}
