// Package failover decides which of several sources of the same versions a reader follows: one in its own zone before one
// in its region before any other, and among equals in an order drawn for each reader. A source that failed is left for
// the next one and tried again after a pause that grows with each failure; a reader that had to go far returns to a nearer
// source once that is healthy, at a moment of its own, so that a relay that comes back is not met by all its readers at
// once. A reader whose source is stale looks for a fresher one (freshness.go). Times are durations on the caller's clock;
// randomness is passed in.
package failover

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Place is where something runs.
type Locality struct {
	Zone   string
	Region string
}

// Source is one that may be followed.
type Source struct {
	Address string
	Locality
}

// Reason is why a source is left.
type Reason int

// The reasons.
const (
	Failed  Reason = iota // refused, reset, or an answer that tells of a failure
	Silent                // no answer within the heartbeat and its allowance
	Behind                // it has an older version than the reader
	Invalid               // an answer that no source gives by the contract
	Stale                 // what it has was last known to be the newest too long ago
)

// String names the reason for logs.
func (r Reason) String() string {
	return [...]string{"failed", "silent", "behind", "spoilt", "stale"}[r]
}

// pause is how long a source is left alone: least after the first failure, twice as long with each further one, most at
// last.
type pause struct{ least, most time.Duration }

var pauses = map[Reason]pause{
	Failed:  {250 * time.Millisecond, longestPause},
	Silent:  {500 * time.Millisecond, longestPause},
	Behind:  {250 * time.Millisecond, time.Second}, // it is about to catch up
	Invalid: {2 * time.Second, 30 * time.Second},
	Stale:   {time.Second, time.Second}, // it answers: where the current one fails it is better than none
}

// longestPause bounds the pause after failures: a reader all of whose sources were cut off for long has to have what is new
// within 3 s of their return, and a call in vain that is under way then takes its heartbeat and allowance as well.
const longestPause = 1500 * time.Millisecond

const (
	// jitter is the share of a pause that is drawn.
	jitter = 0.5
	// spread is over what time the readers of a lost source turn to their next ones.
	spread = 100 * time.Millisecond
	// returnSpread is over what time readers return to a nearer source.
	returnSpread = 3 * time.Second
	// stable is how long a source has to serve until its failures are forgotten.
	stable = 5 * time.Second
	// patience is how many refusals of a busy source in a row are borne before one farther away is asked. One that has a
	// place for this reader later refuses it once.
	patience = 4
	// idlePause is how long a reader without any source waits before it looks again.
	idlePause = time.Second
)

// distance orders sources; nearer ones are lower.
type distance int

const (
	sameZone distance = iota
	sameRegion
	elsewhere
)

func distanceOf(own, other Locality) distance {
	switch {
	case own.Region != other.Region:
		return elsewhere
	case own.Zone != other.Zone:
		return sameRegion
	}
	return sameZone
}

// candidate is what is known of a source.
type candidate struct {
	Source
	distance distance
	failures int           // since it was stable last
	retryAt  time.Duration // not tried before
	returnAt time.Duration // not returned to before, by a reader that has another one
	served   bool          // since it was chosen last
	servedAt time.Duration // its first answer since then
	refusals int           // in a row, for want of capacity
}

// none stands for no source.
const none = -1

// Selector is for one reader. Use New.
type Selector struct {
	candidates []candidate // nearest first
	current    int
	notBefore  time.Duration
	rand       *rand.Rand
	freshness  freshness
}

// New returns a Selector for a reader at a place.
func New(own Locality, list []Source, rng *rand.Rand) *Selector {
	s := &Selector{current: none, rand: rng}
	for _, source := range list {
		s.candidates = append(s.candidates, candidate{Source: source, distance: distanceOf(own, source.Locality)})
	}
	rng.Shuffle(len(s.candidates), func(i, j int) {
		s.candidates[i], s.candidates[j] = s.candidates[j], s.candidates[i]
	})
	slices.SortStableFunc(s.candidates, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	return s
}

// Current is the source that is followed; ok is false where there is none.
func (s *Selector) Current() (source Source, ok bool) {
	if s.current == none {
		return Source{}, false
	}
	return s.candidates[s.current].Source, true
}

// Next chooses the source to follow after the last one was left. Where none may be tried yet it returns how long to wait
// before asking again.
func (s *Selector) Next(now time.Duration) (source Source, wait time.Duration) {
	if now < s.notBefore {
		return Source{}, s.notBefore - now
	}
	at := time.Duration(-1)
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.retryAt <= now {
			if at >= 0 && s.awaited(i) {
				break
			}
			s.choose(i)
			return c.Source, 0
		}
		if at < 0 || c.retryAt < at {
			at = c.retryAt
		}
	}
	if at < 0 {
		return Source{}, idlePause
	}
	return Source{}, at - now
}

// awaited tells whether a source nearer than candidate i is busy and worth waiting for.
func (s *Selector) awaited(i int) bool {
	return slices.ContainsFunc(s.candidates[:i], func(c candidate) bool {
		return c.distance < s.candidates[i].distance && c.refusals > 0 && c.refusals < patience
	})
}

func (s *Selector) choose(i int) {
	s.current = i
	s.candidates[i].served = false
	s.freshness = freshness{staleAfter: s.freshness.staleAfter}
}

// Served notes a good answer of the current source.
func (s *Selector) Succeeded(now time.Duration) {
	c := &s.candidates[s.current]
	c.refusals = 0
	if !c.served {
		c.served, c.servedAt = true, now
	}
	if now-c.servedAt >= stable {
		c.failures = 0
	}
}

// Leave gives the current source up.
func (s *Selector) Leave(now time.Duration, reason Reason) {
	s.fail(s.current, now, reason)
	s.current = none
	s.notBefore = now + s.draw(spread)
}

// Busy gives the current source up because it has no capacity for this reader; it said when to ask again, and has spread
// these times over the readers that it refused.
func (s *Selector) Rejected(now, retryAfter time.Duration) {
	c := &s.candidates[s.current]
	c.refusals++
	c.retryAt = now + retryAfter
	c.returnAt = c.retryAt + s.draw(returnSpread)
	s.current = none
}

// Nearer is a source to try in place of the current one: one that is nearer, and whose moment has come.
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

// Stay notes that a source that Nearer or Fresher named is not fit yet.
func (s *Selector) ProbeFailed(now time.Duration, source Source, reason Reason) {
	if i := s.index(source); i != none && i != s.current {
		s.fail(i, now, reason)
	}
}

// index is a source's place among the candidates.
func (s *Selector) index(source Source) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.Source == source })
}

// fail notes that a source is not fit, and draws when it is tried again.
func (s *Selector) fail(i int, now time.Duration, reason Reason) {
	c, p := &s.candidates[i], pauses[reason]
	wait := p.least
	for range c.failures {
		wait = min(2*wait, p.most)
	}
	if reason != Stale {
		c.failures = min(c.failures+1, maxFailures)
	}
	c.refusals = 0
	c.retryAt = now + time.Duration((1-jitter)*float64(wait)) + s.draw(time.Duration(jitter*float64(wait)))
	c.returnAt = c.retryAt + s.draw(returnSpread)
}

// maxFailures bounds what is counted: every pause is at its longest by then.
const maxFailures = 16

// draw is a moment in a span.
func (s *Selector) draw(span time.Duration) time.Duration {
	return time.Duration(s.rand.Float64() * float64(span))
}
