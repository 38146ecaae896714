package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const staleAfter = 1500 * ms

// probe has a reader probe a fresher or nearer source if there is one to probe now, and reports whether the reader
// switched to it. Sources answer with their stalenesses.
func probe(s *Selector, now time.Duration, stalenesses map[string]time.Duration) (probed, switched bool) {
	better := s.Nearer
	if s.Stale() {
		better = s.Fresher
	}
	source, ok := better(now)
	return ok, ok && s.ProbeSucceeded(now, source, stalenesses[source.Address])
}

// Each source is cut off from the authority at a random instant, so its staleness grows from then on. A reader switches
// only to clearly fresher sources and never back to one that it has left, and the number of its probes is bounded.
func TestReaderOfCutSourcesSwitchesToFresherOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, all := New(own, sixSources(), random(rapid.Uint64().Draw(t, "seed"))), time.Duration(0), sixSources()
		s.SetStaleAfter(staleAfter)
		cutAt, stalenesses := map[string]time.Duration{}, map[string]time.Duration{}
		for _, source := range all {
			cutAt[source.Address] = time.Duration(rapid.IntRange(0, 10_000).Draw(t, "cut")) * ms
		}
		s.FollowNext(now)
		probes, switches, left := 0, 0, map[string]bool{}
		const end, step = 60 * sec, 50 * ms
		for ; now < end; now += step {
			for _, source := range all {
				stalenesses[source.Address] = max(0, now-cutAt[source.Address])
			}
			before, _ := s.Current()
			s.Succeeded(now)
			s.RecordStaleness(now, stalenesses[before.Address])
			stale := s.Stale()
			probed, switched := probe(s, now, stalenesses)
			if probed {
				probes++
			}
			if !switched {
				continue
			}
			switches++
			after, _ := s.Current()
			switch gain := stalenesses[before.Address] - stalenesses[after.Address]; {
			case left[after.Address]:
				t.Fatalf("at %v: reader returned to %s", now, after.Address)
			case stale && gain < time.Duration(clearlyFresher*float64(staleAfter)):
				t.Fatalf("%v: left staleness %v for %v", now, stalenesses[before.Address], stalenesses[after.Address])
			case !stale:
				t.Fatalf("at %v: reader left %s, which is not stale", now, before.Address)
			}
			left[before.Address] = true
		}
		if most := len(all)*len(all) + int(end/sec); probes > most {
			t.Errorf("%d probes, %d switches; too many probes", probes, switches)
		}
	})
}

// All sources are equally stale. A reader probes each of the others once within the first second. Later it probes one
// source every 1.5 to 3 s.
func TestProbesOfEquallyStaleSources(t *testing.T) {
	s, probes := New(own, sixSources(), random(1)), map[string]int{}
	s.SetStaleAfter(staleAfter)
	s.FollowNext(0)
	const start = 2 * sec
	others := len(sixSources()) - 1
	last, latest := time.Duration(0), time.Duration(0)
	for now := start; now < start+60*sec; now += 10 * ms {
		s.RecordStaleness(now, now)
		source, ok := s.Fresher(now)
		if !ok {
			continue
		}
		last, latest = latest, now
		if s.ProbeSucceeded(now, source, now) {
			t.Fatalf("at %v: reader switched to %s, which is equally stale", now, source.Address)
		}
		probes[source.Address]++
		if len(probes) < others && (probes[source.Address] > 1 || now > start+sec) {
			t.Fatalf("at %v: probes so far %v; want one of each other source within 1 s", now, probes)
		}
	}
	if gap := latest - last; len(probes) != others || gap < probeBackoff.max/2 || gap > probeBackoff.max+10*ms {
		t.Errorf("probes %v, %v between the last two", probes, gap)
	}
}

// leftStaleNearer returns a Selector whose reader has left a stale source in its zone, near, for a fresh one in its
// region.
func leftStaleNearer(t *testing.T) (s *Selector, now time.Duration, near Source) {
	t.Helper()
	s = New(own, oneInRegionOneInZone(), random(1))
	s.SetStaleAfter(staleAfter)
	near, far := next(t, s, &now), sixSources()[1]
	s.RecordStaleness(now, 2*staleAfter)
	now += firstProbeSpread
	if source, ok := s.Fresher(now); !ok || source != far || !s.ProbeSucceeded(now, far, 0) {
		t.Fatalf("reader probes %q, want a switch to the fresh source in its region", source.Address)
	}
	return s, now, near
}

// probeNearerWhileStale has a reader probe the nearer source five times. The source answers that it is still stale.
func probeNearerWhileStale(t *testing.T, s *Selector, now *time.Duration) {
	t.Helper()
	for probes := 0; probes < 5; *now += 100 * ms {
		s.RecordStaleness(*now, 0)
		source, ok := s.Nearer(*now)
		if !ok {
			continue
		}
		if probes++; s.ProbeSucceeded(*now, source, staleAfter+ms) {
			t.Fatalf("at %v: reader returned to a stale source", *now)
		}
	}
}

// A reader left a nearer source because it was stale, and the source remains stale. The reader probes it repeatedly and
// does not return to it.
func TestDoesNotReturnToNearerSourceWhileStale(t *testing.T) {
	s, now, _ := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
}

// A reader left a nearer source because it was stale, and the source is still stale when the reader's current source
// fails. The reader follows the stale source, because it is better than none.
func TestFollowsStaleSourceIfCurrentFails(t *testing.T) {
	s, now, near := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
	now += backoffs[Stale].max
	s.Leave(now, Failed)
	if source := next(t, s, &now); source != near {
		t.Fatalf("reader follows %s, want the stale nearer source", source.Address)
	}
}

// A nearer source is stale, becomes fresh and then fails. The reader returns to it once it answers a probe with a
// staleness of staleAfter, which is not stale.
func TestReturnsToNearerSourceOnceFresh(t *testing.T) {
	s, now, near := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
	now += backoffs[Stale].max
	s.Leave(now, Failed)
	if source := next(t, s, &now); source != near {
		t.Fatalf("reader follows %s, want the stale nearer source", source.Address)
	}
	s.RecordStaleness(now, 0)
	s.Leave(now, Failed)
	next(t, s, &now)
	for ; ; now += 100 * ms {
		if source, ok := s.Nearer(now); ok {
			if !s.ProbeSucceeded(now, source, staleAfter) {
				t.Error("reader did not return to the nearer source, which is not stale")
			}
			return
		}
	}
}

// A reader left a nearer source because it was stale. The source answers probes and is barely not stale any more; a
// source that is cut off can be so only for a moment. To avoid switching back and forth, the reader returns only once
// the source is clearly fresh.
func TestReturnsToLaggingSourceOnceClearlyFresh(t *testing.T) {
	s, now, near := leftStaleNearer(t)
	staleness := staleAfter
	for probes := 0; probes < 5; now += 100 * ms {
		s.RecordStaleness(now, 0)
		source, ok := s.Nearer(now)
		if !ok {
			continue
		}
		if probes++; s.ProbeSucceeded(now, source, staleness) {
			t.Fatalf("at %v: reader returned to a source of staleness %v", now, staleness)
		}
		staleness = staleAfter/2 + ms
	}
	for ; ; now += 100 * ms {
		if source, ok := s.Nearer(now); ok {
			if source != near || !s.ProbeSucceeded(now, source, staleAfter/2) {
				t.Error("reader did not return to the nearer source, which is clearly fresh")
			}
			return
		}
	}
}
