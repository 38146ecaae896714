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

// own is the locality of the readers in these tests.
var own = Locality{Zone: "r1-a", Region: "r1"}

func random(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

// sixSources returns two sources in the reader's zone, two in its region and two in other regions. One of the last two
// is in a zone with the same name as the reader's zone.
func sixSources() []Source {
	return []Source{
		{"far:1", Locality{"r2-a", "r2"}}, {"region:1", Locality{"r1-b", "r1"}}, {"zone:1", own},
		{"far:2", Locality{"r1-a", "r3"}}, {"region:2", Locality{"r1-c", "r1"}}, {"zone:2", own},
	}
}

// oneInRegionOneInZone returns one of sixSources in the reader's region and one in its zone.
func oneInRegionOneInZone() []Source { return sixSources()[1:3] }

// next advances now until FollowNext chooses a source, and returns that source.
func next(t *testing.T, s *Selector, now *time.Duration) Source {
	t.Helper()
	for range 100 {
		source, wait := s.FollowNext(*now)
		if wait == 0 {
			return source
		}
		*now += wait
	}
	t.Fatal("FollowNext chose no source in 100 calls")
	return Source{}
}
