package failover

import "time"

// Nearer returns a source to probe for a reader whose current source is not stale: one that is nearer and whose time to
// return has come. ok is false if there is none. It records nothing: until ProbeSucceeded or ProbeFailed it returns the
// source again.
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

// ProbeFailed records that a source which Nearer or Fresher returned is not fit to be followed. A source that is not
// known, or that is followed by now, is left as it is.
func (s *Selector) ProbeFailed(now time.Duration, source Source, reason Reason) {
	if i := s.index(source); i != none && i != s.current {
		s.candidates[i].failed(now, reason, s.rand)
	}
}

// ProbeSucceeded judges a source that Nearer or Fresher returned and that has answered its probe with a staleness. It
// reports whether the source is better than the current one, and then has made it the current one:
//
//   - A stale current source is left for one that is clearly fresher. The one of the two that is not followed is backed
//     off as Stale. Sources that are about as stale as each other are never exchanged.
//   - A current source that is not stale is left for a nearer one that is not stale either. A nearer one that was left or
//     turned down as Stale has to be clearly fresh: it would soon be left again. A probed one that is stale, or still
//     lags so, is backed off as Stale; a farther one, and the current source, are left as they are.
//
// It is false, and nothing is recorded, where the probed source is not known or is the current one by now, or where the
// reader has no source: its next one is FollowNext's to choose.
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
