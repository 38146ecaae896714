package failover

import "time"

const (
	// DefaultStaleAfter is the age of a source's state from which on its reader looks for a fresher source.
	DefaultStaleAfter = 1500 * time.Millisecond
	// clearlyFresher is by how much the state of another source has to be younger to be followed, as a share of the age
	// from which on a source is stale. Readers do not change sources for less.
	clearlyFresher = 0.5
	// firstProbeSpread is the time over which the readers of a source that grows stale begin to probe others.
	firstProbeSpread = 300 * time.Millisecond
)

// probeBackoff is the delay between two probes for a fresher source. It doubles with each round through all others.
var probeBackoff = backoff{100 * time.Millisecond, 3 * time.Second}

// freshness is the age of the current source's state, and the search for a fresher source while it is stale.
type freshness struct {
	staleAfter time.Duration // age from which on a source is stale; 0 for never
	age        time.Duration // age of the source's state at its last answer
	nextProbe  time.Duration // earliest instant of the next probe
	probes     int           // probes since the source became stale
	next       int           // index of the candidate to begin the next choice with
}

func (f *freshness) isStale(age time.Duration) bool { return f.staleAfter > 0 && age > f.staleAfter }

// isClearlyFresher reports whether a source with a state of an age is worth leaving the current, stale one for.
func (f *freshness) isClearlyFresher(age time.Duration) bool {
	return age <= f.age-time.Duration(clearlyFresher*float64(f.staleAfter))
}

// becameStale begins a search, of which the first probe is at an instant.
func (f *freshness) becameStale(firstProbe time.Duration) {
	f.probes, f.next, f.nextProbe = 0, 0, firstProbe
}

// SetStaleAfter sets the age from which on a source's state is stale; 0 for never.
func (s *Selector) SetStaleAfter(age time.Duration) { s.freshness.staleAfter = age }

// Stale reports whether the current source is stale by its last answer. It is false while there is none.
func (s *Selector) Stale() bool { return s.current != none && s.freshness.isStale(s.freshness.age) }

// RecordAge records the age of the current source's state, as its last answer gives it.
func (s *Selector) RecordAge(now, age time.Duration) {
	wasStale := s.Stale()
	s.freshness.age = age
	if s.Stale() && !wasStale {
		s.freshness.becameStale(now + draw(s.rand, firstProbeSpread))
	}
}

// FresherIn returns how long it takes until Fresher may return a source. It is 0 if Fresher may do so now, and while
// the current source is not stale.
func (s *Selector) FresherIn(now time.Duration) time.Duration {
	if !s.Stale() {
		return 0
	}
	return max(0, s.freshness.nextProbe-now)
}

// Fresher returns a source to probe while the current one is stale: each other in turn, in the order of the candidates,
// without those in backoff. ok is false if there is none now.
func (s *Selector) Fresher(now time.Duration) (source Source, ok bool) {
	f := &s.freshness
	if !s.Stale() || now < f.nextProbe {
		return Source{}, false
	}
	for offset := range s.candidates {
		i := (f.next + offset) % len(s.candidates)
		if i == s.current || s.candidates[i].retryAt > now {
			continue
		}
		rounds := f.probes / max(1, len(s.candidates)-1)
		f.next = i + 1
		f.nextProbe = now + probeBackoff.delay(rounds, s.rand)
		f.probes++
		return s.candidates[i].Source, true
	}
	return Source{}, false
}
