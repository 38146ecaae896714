package failover

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const bound = 1500 * ms

// look has a reader look at a fresher or nearer source where it is time, and tells whether it follows that now.
func look(s *Selector, now time.Duration, ages map[string]time.Duration) (looked, changed bool) {
	better := s.Nearer
	if s.Stale() {
		better = s.Fresher
	}
	source, ok := better(now)
	return ok, ok && s.SwitchTo(now, source, ages[source.Address])
}

// Sources that are cut off at moments of their own, and later than that nothing new: a reader changes to a clearly fresher
// one only, never back, and its looks are bounded.
func TestCutSources(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, all := New(own, list(), random(rapid.Uint64().Draw(t, "seed"))), time.Duration(0), list()
		s.SetStaleAfter(bound)
		cutAt, ages := map[string]time.Duration{}, map[string]time.Duration{}
		for _, source := range all {
			cutAt[source.Address] = time.Duration(rapid.IntRange(0, 10_000).Draw(t, "cut")) * ms
		}
		s.Next(now)
		looks, changes, followed := 0, 0, map[string]bool{}
		const end, step = 60 * sec, 50 * ms
		for ; now < end; now += step {
			for _, source := range all {
				ages[source.Address] = max(0, now-cutAt[source.Address])
			}
			before, _ := s.Current()
			s.Succeeded(now)
			s.RecordAge(now, ages[before.Address])
			stale := s.Stale()
			looked, changed := look(s, now, ages)
			if looked {
				looks++
			}
			if !changed {
				continue
			}
			changes++
			after, _ := s.Current()
			switch gain := ages[before.Address] - ages[after.Address]; {
			case followed[after.Address]:
				t.Fatalf("at %v it is back at %s", now, after.Address)
			case stale && gain < time.Duration(clearly*float64(bound)):
				t.Fatalf("at %v it leaves age %v for %v", now, ages[before.Address], ages[after.Address])
			case !stale:
				t.Fatalf("at %v it leaves %s, which is fresh", now, before.Address)
			}
			followed[before.Address] = true
		}
		if most := len(all)*len(all) + int(end/sec); looks > most {
			t.Errorf("%d looks with %d changes", looks, changes)
		}
	})
}

// A reader of a stale source has looked at all others within a second, once each, and at one in 1.5 to 3 s later on.
func TestLooks(t *testing.T) {
	s, looked := New(own, list(), random(1)), map[string]int{}
	s.SetStaleAfter(bound)
	s.Next(0)
	const start = 2 * sec
	last, latest := time.Duration(0), time.Duration(0)
	for now := start; now < start+60*sec; now += 10 * ms {
		s.RecordAge(now, now)
		source, ok := s.Fresher(now)
		if !ok {
			continue
		}
		last, latest = latest, now
		if s.SwitchTo(now, source, now) {
			t.Fatalf("at %v it follows %s, which is as stale", now, source.Address)
		}
		if looked[source.Address]++; len(looked) < len(list())-1 && looked[source.Address] > 1 || len(looked) < len(list())-1 && now > start+sec {
			t.Fatalf("at %v it has looked at %v", now, looked)
		}
	}
	if gap := latest - last; len(looked) != len(list())-1 || gap < looks.most/2 || gap > looks.most+10*ms {
		t.Errorf("looked at %v, the last ones %v apart", looked, gap)
	}
}

// A nearer source that was left as stale is returned to when it is fresh, not before; one that is as stale as the reader's is
// followed all the same where that fails.
func TestReturnsToFresh(t *testing.T) {
	s, now := New(own, list()[1:3], random(1)), time.Duration(0)
	s.SetStaleAfter(bound)
	near, far := next(t, s, &now), list()[1]
	s.RecordAge(now, 2*bound)
	now += firstLook
	if source, ok := s.Fresher(now); !ok || source != far || !s.SwitchTo(now, far, 0) {
		t.Fatalf("it looks at %s", source.Address)
	}
	turns := 0
	for ; turns < 5; now += 100 * ms {
		s.RecordAge(now, 0)
		source, ok := s.Nearer(now)
		if !ok {
			continue
		}
		if turns++; s.SwitchTo(now, source, bound+ms) {
			t.Fatalf("at %v it returns to a stale one", now)
		}
	}
	now += pauses[Stale].most
	s.Leave(now, Failed)
	if source := next(t, s, &now); source != near {
		t.Fatalf("it follows %s", source.Address)
	}
	s.RecordAge(now, 0)
	s.Leave(now, Failed)
	next(t, s, &now)
	for ; ; now += 100 * ms {
		if source, ok := s.Nearer(now); ok {
			if !s.SwitchTo(now, source, bound) {
				t.Error("it does not return to a fresh one")
			}
			return
		}
	}
}
