package failover

import "time"

// Nearer returns a source to probe for a reader whose current source is not stale: one that is nearer and whose time to
// return has come. ok is false if there is none.
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

// SwitchTo records that a source which Nearer or Fresher returned has answered its probe, follows it if it is better
// than the current one, and reports whether it does. age is the age of the probed source's state. A stale current
// source is left for one that is clearly fresher. Otherwise a nearer source that is not stale is followed. Sources that
// are about as stale as each other are never exchanged.
func (s *Selector) SwitchTo(now time.Duration, source Source, age time.Duration) bool {
	i := s.index(source)
	if i == none || s.current == none || i == s.current {
		return false
	}
	if s.Stale() {
		if !s.freshness.isClearlyFresher(age) {
			s.candidates[i].failed(now, Stale, s.rand)
			return false
		}
		s.candidates[s.current].failed(now, Stale, s.rand)
		s.choose(i)
		return true
	}
	if s.freshness.isStale(age) {
		s.candidates[i].failed(now, Stale, s.rand)
		return false
	}
	if s.candidates[i].distance >= s.candidates[s.current].distance {
		return false
	}
	s.choose(i)
	return true
}
