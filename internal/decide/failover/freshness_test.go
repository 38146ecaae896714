package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const staleAfter = 1500 * ms

// probe has a reader probe a fresher or nearer source where it is time, and reports whether it follows that now.
// Sources answer with their stalenesses.
func probe(s *Selector, now time.Duration, stalenesses map[string]time.Duration) (probed, switched bool) {
	better := s.Nearer
	if s.Stale() {
		better = s.Fresher
	}
	source, ok := better(now)
	return ok, ok && s.ProbeSucceeded(now, source, stalenesses[source.Address])
}

// Each source is cut off from the authority at a random instant and learns nothing new after that. A reader switches to
// clearly fresher sources only, never back to one that it has left, and the number of its probes is bounded.
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
				t.Fatalf("at %v it is back at %s", now, after.Address)
			case stale && gain < time.Duration(clearlyFresher*float64(staleAfter)):
				t.Fatalf("at %v it leaves staleness %v for %v", now, stalenesses[before.Address], stalenesses[after.Address])
			case !stale:
				t.Fatalf("at %v it leaves %s, which is fresh", now, before.Address)
			}
			left[before.Address] = true
		}
		if most := len(all)*len(all) + int(end/sec); probes > most {
			t.Errorf("%d probes with %d switches", probes, switches)
		}
	})
}

// All sources are equally stale. A reader has probed all others within a second, once each, and later on probes one in
// 1.5 to 3 s.
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
			t.Fatalf("at %v it follows %s, which is as stale", now, source.Address)
		}
		probes[source.Address]++
		if len(probes) < others && (probes[source.Address] > 1 || now > start+sec) {
			t.Fatalf("at %v it has probed %v", now, probes)
		}
	}
	if gap := latest - last; len(probes) != others || gap < probeBackoff.max/2 || gap > probeBackoff.max+10*ms {
		t.Errorf("probes %v, the last ones %v apart", probes, gap)
	}
}

// leftStaleNearer has a reader leave a stale source in its zone for a fresh one in its region. It returns the nearer
// source too.
func leftStaleNearer(t *testing.T) (s *Selector, now time.Duration, near Source) {
	t.Helper()
	s = New(own, oneInRegionOneInZone(), random(1))
	s.SetStaleAfter(staleAfter)
	near, far := next(t, s, &now), sixSources()[1]
	s.RecordStaleness(now, 2*staleAfter)
	now += firstProbeSpread
	if source, ok := s.Fresher(now); !ok || source != far || !s.ProbeSucceeded(now, far, 0) {
		t.Fatalf("it probes %s", source.Address)
	}
	return s, now, near
}

// probeNearerWhileStale has a reader probe the nearer source several times, which answers that it is still stale.
func probeNearerWhileStale(t *testing.T, s *Selector, now *time.Duration) {
	t.Helper()
	for probes := 0; probes < 5; *now += 100 * ms {
		s.RecordStaleness(*now, 0)
		source, ok := s.Nearer(*now)
		if !ok {
			continue
		}
		if probes++; s.ProbeSucceeded(*now, source, staleAfter+ms) {
			t.Fatalf("at %v it returns to a stale one", *now)
		}
	}
}

// A nearer source was left because it was stale, and is stale for long. The reader probes it again and again, and does
// not return to it.
func TestDoesNotReturnToNearerSourceWhileStale(t *testing.T) {
	s, now, _ := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
}

// A nearer source was left because it was stale, and is still stale when the reader's source fails. A stale source is
// better than none: the reader follows it.
func TestFollowsStaleSourceIfCurrentFails(t *testing.T) {
	s, now, near := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
	now += backoffs[Stale].max
	s.Leave(now, Failed)
	if source := next(t, s, &now); source != near {
		t.Fatalf("it follows %s", source.Address)
	}
}

// A nearer source is stale, then it fails. Once it answers its probe and is just not stale, the reader returns to it.
func TestReturnsToNearerSourceOnceFresh(t *testing.T) {
	s, now, near := leftStaleNearer(t)
	probeNearerWhileStale(t, s, &now)
	now += backoffs[Stale].max
	s.Leave(now, Failed)
	if source := next(t, s, &now); source != near {
		t.Fatalf("it follows %s", source.Address)
	}
	s.RecordStaleness(now, 0)
	s.Leave(now, Failed)
	next(t, s, &now)
	for ; ; now += 100 * ms {
		if source, ok := s.Nearer(now); ok {
			if !s.ProbeSucceeded(now, source, staleAfter) {
				t.Error("it does not return to a fresh one")
			}
			return
		}
	}
}

// A nearer source was left because it was stale. It answers its probes and is just not stale any more, which one that is
// cut off can be for a moment only. The reader returns to it once it is far from being stale, so that it does not go
// back and forth.
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
			t.Fatalf("at %v it returns to a source of staleness %v", now, staleness)
		}
		staleness = staleAfter/2 + ms
	}
	for ; ; now += 100 * ms {
		if source, ok := s.Nearer(now); ok {
			if source != near || !s.ProbeSucceeded(now, source, staleAfter/2) {
				t.Error("it does not return to a clearly fresh one")
			}
			return
		}
	}
}
