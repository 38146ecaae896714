package failover

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// own is where the readers of these tests run.
var own = Locality{Zone: "r1-a", Region: "r1"}

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// sixSources are two in the reader's zone, two in its region and two elsewhere, one of these in a zone of the reader's
// zone's name.
func sixSources() []Source {
	return []Source{
		{"far:1", Locality{"r2-a", "r2"}}, {"region:1", Locality{"r1-b", "r1"}}, {"zone:1", own},
		{"far:2", Locality{"r1-a", "r3"}}, {"region:2", Locality{"r1-c", "r1"}}, {"zone:2", own},
	}
}

// oneInRegionOneInZone are two of sixSources.
func oneInRegionOneInZone() []Source { return sixSources()[1:3] }

// next waits, by moving now on, until a source is chosen, and returns it.
func next(t *testing.T, s *Selector, now *time.Duration) Source {
	t.Helper()
	for range 100 {
		source, wait := s.FollowNext(*now)
		if wait == 0 {
			return source
		}
		*now += wait
	}
	t.Fatal("no source is chosen")
	return Source{}
}
