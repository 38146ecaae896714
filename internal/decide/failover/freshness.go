package failover

import "time"

const (
	// DefaultStaleAfter is the age of what a source has from which on its reader looks for a fresher one.
	DefaultStaleAfter = 1500 * time.Millisecond
	// clearly is the share of the bound by which another source has to be fresher than a stale one.
	clearly = 0.5
	// firstLook is over what time the readers of a source that has grown stale begin to look at others.
	firstLook = 300 * time.Millisecond
)

// looks is the pause between two looks at other sources: least until each was looked at, twice as long in each further round.
var looks = pause{100 * time.Millisecond, 3 * time.Second}

// freshness is what is known of the age of the current source, and when others are looked at while it is stale.
type freshness struct {
	staleAfter time.Duration // 0: never
	age        time.Duration // of what the source has, at its last answer
	lookAt     time.Duration // not before
	looked     int           // since it has been stale
	next       int           // the candidate to begin with
}

func (f *freshness) isStale(age time.Duration) bool { return f.staleAfter > 0 && age > f.staleAfter }

// StaleAfter sets from which age on a source is stale. Without it none is.
func (s *Selector) SetStaleAfter(bound time.Duration) { s.freshness.staleAfter = bound }

// Stale tells whether the current source is.
func (s *Selector) Stale() bool { return s.current != none && s.freshness.isStale(s.freshness.age) }

// Aged notes the age of what the current source has, by its last answer.
func (s *Selector) RecordAge(now, age time.Duration) {
	f, before := &s.freshness, s.Stale()
	f.age = age
	if s.Stale() && !before {
		f.looked, f.next = 0, 0
		f.lookAt = now + s.draw(firstLook)
	}
}

// LookIn is how long it takes until Fresher may name a source; 0 where that is not known.
func (s *Selector) FresherIn(now time.Duration) time.Duration {
	if !s.Stale() {
		return 0
	}
	return max(0, s.freshness.lookAt-now)
}

// Fresher is a source to look at in place of the current one, which is stale: the others in turn, in the order of the
// candidates, without those that failed lately.
func (s *Selector) Fresher(now time.Duration) (source Source, ok bool) {
	f := &s.freshness
	if !s.Stale() || now < f.lookAt {
		return Source{}, false
	}
	for offset := range s.candidates {
		i := (f.next + offset) % len(s.candidates)
		if i == s.current || s.candidates[i].retryAt > now {
			continue
		}
		f.next = i + 1
		f.lookAt = now + s.lookPause()
		f.looked++
		return s.candidates[i].Source, true
	}
	return Source{}, false
}

// lookPause draws the time until the next look.
func (s *Selector) lookPause() time.Duration {
	wait := looks.least
	for range s.freshness.looked / max(1, len(s.candidates)-1) {
		if wait = min(2*wait, looks.most); wait == looks.most {
			break
		}
	}
	return time.Duration((1-jitter)*float64(wait)) + s.draw(time.Duration(jitter*float64(wait)))
}

// Return follows a source that Nearer or Fresher named and that has answered, where it is better than the current one: a
// nearer one that is not stale in place of one that is not, and one that is clearly fresher in place of a stale one. age is
// that of what the source has. Sources that are equally stale are never exchanged.
func (s *Selector) SwitchTo(now time.Duration, source Source, age time.Duration) bool {
	i := s.index(source)
	if i == none || s.current == none || i == s.current {
		return false
	}
	f := &s.freshness
	if s.Stale() {
		if age > f.age-time.Duration(clearly*float64(f.staleAfter)) {
			s.fail(i, now, Stale)
			return false
		}
		s.fail(s.current, now, Stale)
		s.choose(i)
		return true
	}
	if f.isStale(age) {
		s.fail(i, now, Stale)
		return false
	}
	if s.candidates[i].distance >= s.candidates[s.current].distance {
		return false
	}
	s.choose(i)
	return true
}
