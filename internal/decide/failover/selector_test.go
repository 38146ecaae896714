package failover

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A reader loses one source after another. It follows them in the order of their distance. At the same distance the
// order is random, so that the readers of a zone are divided among its sources.
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
			s.Leave(now, Invalid) // its backoff is longer than the time in which the reader tries all sources
		}
		if !slices.IsSorted(distances) || distances[5] != otherRegion {
			t.Fatalf("seed %d: distances %v", seed, distances)
		}
		if now >= sec {
			t.Errorf("seed %d: the reader took %v to try all sources", seed, now)
		}
	}
	if firsts["zone:1"] < 70 || firsts["zone:2"] < 70 || len(firsts) != 2 {
		t.Errorf("first choices %v", firsts)
	}
}

// longestRetryAfter is the longest time for which a rejecting source of this test is in backoff: retryAfter and the
// random spread that is added.
const longestRetryAfter = 8 * time.Second

// randomReader applies random events to the Selector of one reader and checks each of its choices.
type randomReader struct {
	*rapid.T
	s   *Selector
	now time.Duration
}

// choose has a reader without a source choose one within a bounded time. The chosen source must not be in backoff, and
// no nearer source may be available.
func (c *randomReader) choose() {
	before := c.now
	source, wait := c.s.FollowNext(c.now)
	for ; wait > 0; source, wait = c.s.FollowNext(c.now) {
		if c.now += wait; c.now-before > backoffs[Invalid].max+longestRetryAfter {
			c.Fatalf("reader without a source for %v", c.now-before)
		}
	}
	for _, other := range c.s.candidates {
		if other.Address == source.Address && other.retryAt > c.now {
			c.Fatalf("reader follows %s at %v although its backoff ends at %v", other.Address, c.now, other.retryAt)
		}
		if other.distance < c.s.candidates[c.s.current].distance && other.retryAt <= c.now {
			c.Fatalf("reader follows %[2]s although %[1]s is nearer and available", other.Address, source.Address)
		}
	}
}

// leave has the reader leave its source for a random reason.
func (c *randomReader) leave() {
	c.s.Leave(c.now, Reason(rapid.IntRange(0, 4).Draw(c.T, "reason")))
	if c.s.notBefore-c.now > leaveSpread {
		c.Fatalf("reader may choose its next source only after %v", c.s.notBefore-c.now)
	}
}

// probe has the reader probe a nearer source if there is one. The probe succeeds or fails at random, so the reader
// switches or stays.
func (c *randomReader) probe() {
	c.s.Succeeded(c.now)
	nearer, ok := c.s.Nearer(c.now)
	if !ok {
		return
	}
	current, _ := c.s.Current()
	if distanceOf(own, nearer.Locality) >= distanceOf(own, current.Locality) {
		c.Fatalf("reader of %s would probe %s, which is not nearer", current.Address, nearer.Address)
	}
	if !rapid.Bool().Draw(c.T, "fit") {
		if c.s.ProbeFailed(c.now, nearer, Failed); c.s.current == none {
			c.Fatal("reader lost its source when a probe of another source failed")
		}
		return
	}
	if got, _ := c.s.Current(); !c.s.ProbeSucceeded(c.now, nearer, 0) || got == nearer {
		c.Fatalf("reader did not switch from %s to %s", got.Address, nearer.Address)
	}
	if got, _ := c.s.Current(); got != nearer || c.s.ProbeSucceeded(c.now, nearer, 0) {
		c.Fatalf("reader follows %s, want %s and no second switch", got.Address, nearer.Address)
	}
}

// Sources fail, reject and recover at random. After any sequence of events, a reader follows no source in backoff, and
// backoffs are bounded; it follows no farther source while a nearer one is available; it may choose its next source
// within leaveSpread; and it returns only to nearer sources.
func TestChoicesKeepBackoffsAndDistances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &randomReader{T: t, s: New(own, sixSources(), random(rapid.Uint64().Draw(t, "seed")))}
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

// A source fails repeatedly. Its backoff grows up to its bound. After the source has served for stableAfter, its next
// backoff is the shortest again.
func TestBackoffGrowsUntilSourceIsStable(t *testing.T) {
	s, now := New(own, sixSources()[2:3], random(1)), time.Duration(0)
	last := time.Duration(0)
	for i := range 12 {
		next(t, s, &now)
		s.Leave(now, Failed)
		wait := s.candidates[0].retryAt - now
		if wait < last/2 || wait > backoffs[Failed].max || i > 6 && wait < backoffs[Failed].max/2 {
			t.Errorf("failure %d: backoff of %v after one of %v", i, wait, last)
		}
		last = wait
	}
	next(t, s, &now)
	s.Succeeded(now)
	now += stableAfter
	s.Succeeded(now)
	if s.Leave(now, Failed); s.candidates[0].retryAt-now > backoffs[Failed].min {
		t.Errorf("first failure of a stable source: backoff of %v", s.candidates[0].retryAt-now)
	}
}

// The source in the reader's zone lacks capacity and rejects the reader. The reader waits for this source although a
// farther one is available, until maxRejections rejections in a row.
func TestRejectingSourceIsAwaitedUpToMaxRejections(t *testing.T) {
	s, now := New(own, oneInRegionOneInZone(), random(1)), time.Duration(0)
	for range maxRejections {
		if source := next(t, s, &now); source.Address != "zone:1" {
			t.Fatalf("reader follows %s at %v, want zone:1", source.Address, now)
		}
		s.Rejected(now, 9*sec)
	}
	if source, wait := s.FollowNext(now); wait != 0 || source.Address != "region:1" {
		t.Errorf("reader gets source %q and wait %v at %v, want region:1 at once", source.Address, wait, now)
	}
}

// A relay with 300 readers is lost for 20 s. Its readers return at random instants: at most a tenth of them within the
// same tenth of a second, and all within the longest backoff plus returnSpread.
func TestReadersReturnSpread(t *testing.T) {
	const readers, healthyAt = 300, 20 * sec
	returned := map[time.Duration]int{}
	for seed := range uint64(readers) {
		s, now := New(own, oneInRegionOneInZone(), random(seed)), time.Duration(0)
		next(t, s, &now)
		s.Leave(now, Failed)
		if source := next(t, s, &now); source.Address != "region:1" {
			t.Fatalf("reader follows %s, want region:1", source.Address)
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
			t.Errorf("seed %d: reader returns %v after the relay is healthy", seed, now-healthyAt)
		}
		returned[now.Truncate(100*ms)]++
	}
	for at, n := range returned {
		if n > readers/10 {
			t.Errorf("%d of %d readers return at %v", n, readers, at)
		}
	}
}
