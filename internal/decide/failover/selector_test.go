package failover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A reader loses one source after the other. It goes through them by distance; among equals readers draw the order, so
// that the readers of a zone divide themselves among its sources.
func TestNextGoesByDistanceThenAtRandom(t *testing.T) {
	firsts := map[string]int{}
	for seed := range uint64(200) {
		s, now := New(own, sixSources(), random(seed)), time.Duration(0)
		var distances []distance
		for range 6 {
			source := next(t, s, &now)
			if len(distances) == 0 {
				firsts[source.Address]++
			}
			distances = append(distances, distanceOf(own, source.Locality))
			s.Leave(now, Invalid) // for longer than it takes to go through all
		}
		if !slices.IsSorted(distances) || distances[5] != otherRegion {
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

// longestRetryAfter is what the test's rejecting sources ask for at most, with the spread that is drawn on top.
const longestRetryAfter = 8 * time.Second

// choices plays one reader with random events and checks each of its choices.
type choices struct {
	*rapid.T
	s   *Selector
	now time.Duration
}

// choose has a reader without a source choose one: not one in backoff, none farther than one that may be followed, and
// within a bounded time.
func (c *choices) choose() {
	before := c.now
	source, wait := c.s.FollowNext(c.now)
	for ; wait > 0; source, wait = c.s.FollowNext(c.now) {
		if c.now += wait; c.now-before > backoffs[Invalid].max+longestRetryAfter {
			c.Fatalf("no source for %v", c.now-before)
		}
	}
	for _, other := range c.s.candidates {
		if other.Address == source.Address && other.retryAt > c.now {
			c.Fatalf("%s is followed at %v, its backoff ends at %v", other.Address, c.now, other.retryAt)
		}
		if other.distance < c.s.candidates[c.s.current].distance && other.retryAt <= c.now {
			c.Fatalf("%s is passed over for %s", other.Address, source.Address)
		}
	}
}

// leave has the reader lose its source.
func (c *choices) leave() {
	c.s.Leave(c.now, Reason(rapid.IntRange(0, 4).Draw(c.T, "reason")))
	if c.s.notBefore-c.now > leaveSpread {
		c.Fatalf("the next source is chosen %v later", c.s.notBefore-c.now)
	}
}

// probe has the reader probe a nearer source where there is one, and switch to it or stay.
func (c *choices) probe() {
	c.s.Succeeded(c.now)
	nearer, ok := c.s.Nearer(c.now)
	if !ok {
		return
	}
	current, _ := c.s.Current()
	if distanceOf(own, nearer.Locality) >= distanceOf(own, current.Locality) {
		c.Fatalf("from %s it would return to %s", current.Address, nearer.Address)
	}
	if !rapid.Bool().Draw(c.T, "fit") {
		if c.s.ProbeFailed(c.now, nearer, Failed); c.s.current == none {
			c.Fatal("it has no source though it stays")
		}
		return
	}
	if got, _ := c.s.Current(); !c.s.ProbeSucceeded(c.now, nearer, 0) || got == nearer {
		c.Fatalf("it does not return from %s to %s", got.Address, nearer.Address)
	}
	if got, _ := c.s.Current(); got != nearer || c.s.ProbeSucceeded(c.now, nearer, 0) {
		c.Fatalf("it follows %s, not %s", got.Address, nearer.Address)
	}
}

// Sources fail, reject and recover at random. Whatever happens: a source is not followed in its backoff, which is
// bounded; a nearer one that may be followed is passed over only while it awaits capacity; the next one is known within
// the spread where there is one; and a reader returns to nearer sources only.
func TestChoicesKeepBackoffsAndDistances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &choices{T: t, s: New(own, sixSources(), random(rapid.Uint64().Draw(t, "seed")))}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * ms
			if c.s.current == none {
				c.choose()
			}
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				c.leave()
			case 1:
				c.s.Rejected(c.now, time.Duration(rapid.IntRange(0, 5).Draw(t, "retry after"))*sec)
			default:
				c.probe()
			}
		}
	})
}

// A source fails again and again. Its backoff grows to its bound; once it has served for a while it begins anew.
func TestBackoffGrowsUntilSourceIsStable(t *testing.T) {
	s, now := New(own, sixSources()[2:3], random(1)), time.Duration(0)
	last := time.Duration(0)
	for i := range 12 {
		next(t, s, &now)
		s.Leave(now, Failed)
		wait := s.candidates[0].retryAt - now
		if wait < last/2 || wait > backoffs[Failed].max || i > 6 && wait < backoffs[Failed].max/2 {
			t.Errorf("failure %d: %v after %v", i, wait, last)
		}
		last = wait
	}
	next(t, s, &now)
	s.Succeeded(now)
	now += stableAfter
	s.Succeeded(now)
	if s.Leave(now, Failed); s.candidates[0].retryAt-now > backoffs[Failed].min {
		t.Errorf("after it was stable: %v", s.candidates[0].retryAt-now)
	}
}

// The source in the reader's zone has no capacity for it and rejects it. The reader waits for it although there is one
// farther away, but not for ever.
func TestRejectingSourceIsAwaitedUpToMaxRejections(t *testing.T) {
	s, now := New(own, oneInRegionOneInZone(), random(1)), time.Duration(0)
	for range maxRejections {
		if source := next(t, s, &now); source.Address != "zone:1" {
			t.Fatalf("%s at %v", source.Address, now)
		}
		s.Rejected(now, 9*sec)
	}
	if source, wait := s.FollowNext(now); wait != 0 || source.Address != "region:1" {
		t.Errorf("%s, wait %v after %v", source.Address, wait, now)
	}
}

// A relay with 300 readers is lost for 20 s. Its readers return at random instants: no tenth of a second has more than
// a tenth of them, and none takes longer than the longest backoff and the spread.
func TestReadersReturnSpread(t *testing.T) {
	const readers, healthyAt = 300, 20 * sec
	returned := map[time.Duration]int{}
	for seed := range uint64(readers) {
		s, now := New(own, oneInRegionOneInZone(), random(seed)), time.Duration(0)
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
			if now >= healthyAt {
				break
			}
			s.ProbeFailed(now, nearer, Failed)
		}
		if now > healthyAt+backoffs[Failed].max+returnSpread+100*ms {
			t.Errorf("seed %d returns %v late", seed, now-healthyAt)
		}
		returned[now.Truncate(100*ms)]++
	}
	for at, n := range returned {
		if n > readers/10 {
			t.Errorf("%d of %d return at %v", n, readers, at)
		}
	}
}
