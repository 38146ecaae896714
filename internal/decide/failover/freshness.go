package failover

import "time"

const (
	// DefaultStaleAfter is the default staleness above which a source is stale, so that its reader probes for a fresher
	// one. New does not apply it: the caller passes it to SetStaleAfter.
	DefaultStaleAfter = 1500 * time.Millisecond
	// clearlyFresher is the smallest difference in staleness for which a reader changes sources, as a share of
	// staleAfter. A source that was stale counts as fresh again only when its staleness is below staleAfter by the same
	// difference.
	clearlyFresher = 0.5
)

// freshness is the staleness of the current source and the limit for it.
type freshness struct {
	staleAfter time.Duration // staleness above which a source is stale; 0 if no source ever is
	staleness  time.Duration // staleness of the source at its last answer; 0 before the first answer
}

func (f *freshness) isStale(staleness time.Duration) bool {
	return f.staleAfter > 0 && staleness > f.staleAfter
}

// margin is the smallest difference in staleness for which a reader changes sources.
func (f *freshness) margin() time.Duration {
	return time.Duration(clearlyFresher * float64(f.staleAfter))
}

// isClearlyFresher reports whether the reader should leave its stale current source for a source of the given
// staleness.
func (f *freshness) isClearlyFresher(staleness time.Duration) bool {
	return staleness <= f.staleness-f.margin()
}

// isClearlyFresh reports whether the given staleness is below staleAfter by at least margin. The staleness of a source
// that is cut off from the authority grows with time, so a source that is barely not stale may soon be stale.
func (f *freshness) isClearlyFresh(staleness time.Duration) bool {
	return staleness <= f.staleAfter-f.margin()
}

// SetStaleAfter sets the staleness above which a source is stale. With 0 no source is ever stale.
func (s *Selector) SetStaleAfter(staleness time.Duration) { s.freshness.staleAfter = staleness }

// Stale reports whether the current source was stale at its last answer. It returns false while there is no current
// source.
func (s *Selector) Stale() bool {
	return s.current != none && s.freshness.isStale(s.freshness.staleness)
}

// RecordStaleness records the staleness of the current source at its last answer. When the source becomes stale, the
// search for a fresher one begins.
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
