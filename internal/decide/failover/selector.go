package failover

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leaveSpread is the time over which the readers of a lost source turn to their next ones.
	leaveSpread = 100 * time.Millisecond
	// idleDelay is how long a reader that has no candidates at all waits before it asks again.
	idleDelay = time.Second
)

// none is the index of no candidate.
const none = -1

// Selector decides which source one reader follows. Use New.
type Selector struct {
	candidates []candidate   // the nearest first
	current    int           // index of the candidate that is followed, or none
	notBefore  time.Duration // earliest instant at which another source is chosen after the last one was left
	freshness  freshness     // how stale the current source is
	search     probeSearch   // for a fresher source; of use while the current one is stale
	rand       *rand.Rand
}

// New returns a Selector for a reader at a locality. No source counts as stale before the caller has set a staleness by
// SetStaleAfter: DefaultStaleAfter is not applied here.
func New(own Locality, sources []Source, rng *rand.Rand) *Selector {
	s := &Selector{current: none, rand: rng}
	for _, source := range sources {
		s.candidates = append(s.candidates, candidate{Source: source, distance: distanceOf(own, source.Locality)})
	}
	rng.Shuffle(len(s.candidates), func(i, j int) {
		s.candidates[i], s.candidates[j] = s.candidates[j], s.candidates[i]
	})
	slices.SortStableFunc(s.candidates, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	return s
}

// Current returns the source that is followed; ok is false while there is none.
func (s *Selector) Current() (source Source, ok bool) {
	if s.current == none {
		return Source{}, false
	}
	return s.candidates[s.current].Source, true
}

// FollowNext makes a source the current one and returns it, for a reader that follows none: the nearest that may be
// followed now. A nearer one that is about to have capacity is waited for. If none may be followed yet, FollowNext
// returns how long to wait before its next call.
func (s *Selector) FollowNext(now time.Duration) (source Source, wait time.Duration) {
	if now < s.notBefore {
		return Source{}, s.notBefore - now
	}
	if len(s.candidates) == 0 {
		return Source{}, idleDelay
	}
	earliest := s.candidates[0].retryAt
	for i := range s.candidates {
		c := &s.candidates[i]
		if c.retryAt > now {
			earliest = min(earliest, c.retryAt)
			continue
		}
		if s.nearerAwaitsCapacity(i) {
			break
		}
		s.choose(i)
		return c.Source, 0
	}
	return Source{}, earliest - now
}

// nearerAwaitsCapacity reports whether a source that is nearer than candidate i is about to have capacity for the
// reader.
func (s *Selector) nearerAwaitsCapacity(i int) bool {
	return slices.ContainsFunc(s.candidates[:i], func(c candidate) bool {
		return c.distance < s.candidates[i].distance && c.awaitsCapacity()
	})
}

// choose makes candidate i the current source. Nothing is known of its answers yet, and no fresher one is looked for.
func (s *Selector) choose(i int) {
	s.current = i
	s.candidates[i].serving = false
	s.freshness = freshness{staleAfter: s.freshness.staleAfter}
	s.search = probeSearch{}
}

// Succeeded records a good answer of the current source. There must be one.
func (s *Selector) Succeeded(now time.Duration) { s.candidates[s.current].succeeded(now) }

// Leave gives the current source up. There must be one.
func (s *Selector) Leave(now time.Duration, reason Reason) {
	s.candidates[s.current].failed(now, reason, s.rand)
	s.current = none
	s.notBefore = now + draw(s.rand, leaveSpread)
}

// Rejected gives the current source up because it has no capacity for this reader now. There must be one. retryAfter is
// the time after which it asked to be called again; it has spread these times over the readers that it rejected.
func (s *Selector) Rejected(now, retryAfter time.Duration) {
	s.candidates[s.current].rejected(now, retryAfter, s.rand)
	s.current = none
}

// index returns the index of a source's candidate, or none.
func (s *Selector) index(source Source) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.Source == source })
}
