package failover

import "time"

// Nearer returns a source to probe while the current source is not stale: a nearer one whose returnAt has passed. ok is
// false if there is none. Nearer records nothing: it returns the same source until the caller reports ProbeSucceeded or
// ProbeFailed.
func (s *Selector) Nearer(now time.Duration) (source Source, ok bool) {
	if s.current == none {
		return Source{}, false
	}
	for _, c := range s.candidates {
		if c.distance >= s.candidates[s.current].distance {
			break
		}
		if c.returnAt <= now {
			return c.Source, true
		}
	}
	return Source{}, false
}

// ProbeFailed records that the reader cannot follow a source that Nearer or Fresher returned. It ignores an unknown
// source, and a source that has become the current one.
func (s *Selector) ProbeFailed(now time.Duration, source Source, reason Reason) {
	if i := s.index(source); i != none && i != s.current {
		s.candidates[i].failed(now, reason, s.rand)
	}
}

// ProbeSucceeded decides whether the reader switches to a source that Nearer or Fresher returned, after that source has
// answered a probe with the given staleness. It returns true if it has made the probed source the current one:
//
//   - If the current source is stale, the reader switches to a probed source that is clearly fresher. The one of the
//     two that the reader does not follow gets the Stale backoff. The reader never switches between sources of about
//     the same staleness.
//   - If the current source is not stale, the reader switches to a nearer one that is not stale either. A nearer source
//     that is lagging, because the reader left it or passed it over as Stale, must be clearly fresh: otherwise the
//     reader would soon leave it again. A probed source that is stale, or a nearer one that is still lagging, gets the
//     Stale backoff. A farther probed source that is not stale, and the current source, get no backoff.
//
// It returns false and records nothing if the probed source is unknown or has become the current one, or if there is no
// current source, because only FollowNext chooses the next source then.
func (s *Selector) ProbeSucceeded(now time.Duration, source Source, staleness time.Duration) bool {
	i := s.index(source)
	if i == none || s.current == none || i == s.current {
		return false
	}
	if s.Stale() {
		if !s.freshness.isClearlyFresher(staleness) {
			s.candidates[i].failed(now, Stale, s.rand)
			return false
		}
		s.candidates[s.current].failed(now, Stale, s.rand)
		s.choose(i)
		return true
	}
	probed := &s.candidates[i]
	if s.freshness.isClearlyFresh(staleness) {
		probed.lagging = false
	}
	nearer := probed.distance < s.candidates[s.current].distance
	switch {
	case s.freshness.isStale(staleness), nearer && probed.lagging:
		probed.failed(now, Stale, s.rand)
		return false
	case nearer:
		s.choose(i)
	}
	return nearer
}
