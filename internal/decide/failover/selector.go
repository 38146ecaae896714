package failover

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// leaveSpread is the time over which the readers that leave a source choose their next ones.
	leaveSpread = 100 * time.Millisecond
	// idleDelay is how long a reader without any candidates waits before it calls FollowNext again.
	idleDelay = time.Second
)

// none is the index that stands for no candidate.
const none = -1

// Selector decides which source one reader follows. New creates one.
type Selector struct {
	candidates []candidate   // nearest first
	current    int           // index of the current source's candidate, or none
	notBefore  time.Duration // earliest instant at which the reader chooses its next source after Leave
	freshness  freshness     // staleness of the current source
	search     probeSearch   // search for a fresher source; used only while the current one is stale
	rand       *rand.Rand
}

// New returns a Selector for a reader at the given locality. No source counts as stale until the caller sets a
// staleness by SetStaleAfter: New does not apply DefaultStaleAfter.
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

// Current returns the source that the reader follows. ok is false while there is none.
func (s *Selector) Current() (source Source, ok bool) {
	if s.current == none {
		return Source{}, false
	}
	return s.candidates[s.current].Source, true
}

// FollowNext is for a reader that follows no source. It makes the nearest source that the reader may follow now the
// current one and returns it. It does not choose a source while a nearer one is expected to have capacity soon. If the
// reader may follow no source yet, FollowNext returns how long to wait before its next call.
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

// nearerAwaitsCapacity reports whether a source that is nearer than candidate i is expected to have capacity for the
// reader soon.
func (s *Selector) nearerAwaitsCapacity(i int) bool {
	return slices.ContainsFunc(s.candidates[:i], func(c candidate) bool {
		return c.distance < s.candidates[i].distance && c.awaitsCapacity()
	})
}

// choose makes candidate i the current source. It resets what is recorded of the current source's answers, and ends the
// search for a fresher one.
func (s *Selector) choose(i int) {
	s.current = i
	s.candidates[i].serving = false
	s.freshness = freshness{staleAfter: s.freshness.staleAfter}
	s.search = probeSearch{}
}

// Succeeded records a good answer of the current source, which must exist.
func (s *Selector) Succeeded(now time.Duration) { s.candidates[s.current].succeeded(now) }

// Leave gives up the current source, which must exist.
func (s *Selector) Leave(now time.Duration, reason Reason) {
	s.candidates[s.current].failed(now, reason, s.rand)
	s.current = none
	s.notBefore = now + draw(s.rand, leaveSpread)
}

// Rejected gives up the current source, which must exist, because it has no capacity for this reader now. retryAfter is
// the time after which the source asked the reader to call again. The source has already spread these times over the
// readers that it rejected.
func (s *Selector) Rejected(now, retryAfter time.Duration) {
	s.candidates[s.current].rejected(now, retryAfter, s.rand)
	s.current = none
}

// index returns the index of a source's candidate, or none.
func (s *Selector) index(source Source) int {
	return slices.IndexFunc(s.candidates, func(c candidate) bool { return c.Source == source })
}
