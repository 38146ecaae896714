package failover

import "time"

const (
	// DefaultStaleAfter is the staleness of a source from which on its reader looks for a fresher source, where nothing
	// else is configured. New does not apply it: the caller passes it to SetStaleAfter.
	DefaultStaleAfter = 1500 * time.Millisecond
	// clearlyFresher is by how much the staleness of another source has to be less for the reader to follow it, as a
	// share of the staleness from which on a source is stale. Readers do not change sources for less. A source that was
	// stale has to be so much below that staleness before it counts as fresh again.
	clearlyFresher = 0.5
)

// freshness is how stale the current source is.
type freshness struct {
	staleAfter time.Duration // staleness from which on a source is stale; 0 for never
	staleness  time.Duration // staleness of the source at its last answer; 0 before the first
}

func (f *freshness) isStale(staleness time.Duration) bool {
	return f.staleAfter > 0 && staleness > f.staleAfter
}

// margin is the difference of stalenesses for which readers change sources.
func (f *freshness) margin() time.Duration {
	return time.Duration(clearlyFresher * float64(f.staleAfter))
}

// isClearlyFresher reports whether a source of a staleness is worth leaving the current, stale one for.
func (f *freshness) isClearlyFresher(staleness time.Duration) bool {
	return staleness <= f.staleness-f.margin()
}

// isClearlyFresh reports whether a source of a staleness is far from being stale. One that is cut off from the
// authority grows staler by the second, so one that is just not stale may be about to be.
func (f *freshness) isClearlyFresh(staleness time.Duration) bool {
	return staleness <= f.staleAfter-f.margin()
}

// SetStaleAfter sets the staleness from which on a source is stale; 0 for never.
func (s *Selector) SetStaleAfter(staleness time.Duration) { s.freshness.staleAfter = staleness }

// Stale reports whether the current source is stale by its last answer. It is false while there is none.
func (s *Selector) Stale() bool {
	return s.current != none && s.freshness.isStale(s.freshness.staleness)
}

// RecordStaleness records the staleness of the current source, as its last answer gives it. A source that becomes stale
// begins a search for a fresher one.
func (s *Selector) RecordStaleness(now, staleness time.Duration) {
	wasStale := s.Stale()
	s.freshness.staleness = staleness
	if s.current != none && s.freshness.isClearlyFresh(staleness) {
		s.candidates[s.current].lagging = false
	}
	if s.Stale() && !wasStale {
		s.search = probeSearch{nextProbe: now + draw(s.rand, firstProbeSpread)}
	}
}
