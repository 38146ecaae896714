package subsetting

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// minHolders is how many holders of each shard the subsets of most tests have.
const minHolders = 2

// ringOf returns a ring with so many replicas at each position, of which three positions hold a shard.
func ringOf(size, perPosition int) Ring {
	return Ring{Size: size, ReplicationFactor: 3, Replicas: size * perPosition}
}

// Fleets and rings of all sizes. Every replica is in the subsets of the same number of coordinators within one. Every
// shard has the holders that it is to have, with none to spare beyond one for each replica that a position has more.
func TestSubsetsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 1000).Draw(t, "coordinators")
		perPosition := rapid.IntRange(1, 3).Draw(t, "replicas a position")
		r := ringOf(rapid.IntRange(3, 210).Draw(t, "positions"), perPosition)
		least := rapid.IntRange(1, 4).Draw(t, "least")
		first := NewSubset(Member{Index: 0, FleetSize: size}, r, least)
		if size > 100 && perPosition == 2 && least == 2 && r.Size > 20 && first.Fraction > 0.75 {
			t.Fatalf("%d coordinators of %d replicas have %.2f of them each", size, r.Replicas, first.Fraction)
		}
		containedBy := make([]int, r.Replicas)
		for _, m := range fleet(size) {
			s := NewSubset(m, r, least)
			atPosition := make([]int, r.Size)
			for i := range containedBy {
				if s.Contains(s.Key(i/perPosition, i%perPosition)) {
					containedBy[i]++
					atPosition[i/perPosition]++
				}
			}
			for shard := range r.Size {
				holders := atPosition[shard] + atPosition[(shard+1)%r.Size] + atPosition[(shard+2)%r.Size]
				want := s.Fraction * float64(r.ReplicationFactor*perPosition)
				if holders < min(least, 3*perPosition)-(perPosition-1) || float64(holders) > want+float64(perPosition)+1e-6 {
					t.Fatalf("member %v, share %.3f: shard %d has %d of %d holders", m, s.Fraction, shard, holders, 3*perPosition)
				}
			}
		}
		if low, high := slices.Min(containedBy), slices.Max(containedBy); high-low > 1 {
			t.Fatalf("%d coordinators, share %.3f: replicas are in %d to %d subsets", size, first.Fraction, low, high)
		}
	})
}

// A coordinator joins a fleet, or a replica is missing. Another coordinator changes only what lies near the bounds of
// the subsets, and a missing replica changes nothing.
func TestSubsetsChangeLittleWithFleet(t *testing.T) {
	r := ringOf(200, 1)
	for _, size := range []int{150, 300, 600} {
		changes, contained := 0, 0
		for i := range size {
			s, next := NewSubset(Member{i, size}, r, minHolders), NewSubset(Member{i, size + 1}, r, minHolders)
			for position := range r.Size {
				if s.Contains(s.Key(position, 0)) != next.Contains(next.Key(position, 0)) {
					changes++
				}
			}
			contained += int(s.Fraction * float64(r.Size))
		}
		// The others give up at least as many replicas as the new one has; both kinds of change are counted.
		if least := contained / size; changes > 3*least {
			t.Errorf("%d to %d coordinators: %d changes, where the new one has %d replicas", size, size+1, changes, least)
		}
		s := NewSubset(Member{1, size}, r, minHolders)
		if fewer := NewSubset(Member{1, size}, Ring{200, 3, 199}, minHolders); fewer != s {
			t.Errorf("%d: a replica less changes the subset from %v to %v", size, s, fewer)
		}
	}
}

// A small fleet, whose coordinators' traffic differs too much to be divided, and a coordinator that does not know its
// index or has no peers have all replicas.
func TestSubsetContainsAllWithoutLargeFleet(t *testing.T) {
	r := ringOf(200, 1)
	for i := range 30 {
		if s := NewSubset(Member{i, 30}, r, minHolders); s.Fraction < 1 {
			t.Errorf("30 coordinators, whose traffic differs, have only %.2f of the replicas each", s.Fraction)
		}
	}
	for _, m := range []Member{{-1, 300}, {300, 300}, {0, 1}, {}} {
		if s := NewSubset(m, r, minHolders); s.Fraction < 1 {
			t.Errorf("%v has no peers and only %.2f of the replicas", m, s.Fraction)
		}
	}
}

// A fleet changes its size, and some of its coordinators know of it before others. The number of subsets that contain a
// replica deviates by the change of size and two at most from what the share says.
func TestSubsetsWhileFleetSizeChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.IntRange(150, 400).Draw(t, "old") // a threshold of the share lies below
		now := old + rapid.IntRange(-20, 20).Draw(t, "more")
		notified := rapid.IntRange(0, min(old, now)).Draw(t, "coordinators that know")
		r := ringOf(60, 1)
		containedBy := make([]int, r.Size)
		share, members := 0.0, min(old, now)
		for i := range members {
			m := Member{i, old}
			if i < notified {
				m.FleetSize = now
			}
			s := NewSubset(m, r, minHolders)
			share = s.Fraction
			for position := range containedBy {
				if s.Contains(s.Key(position, 0)) {
					containedBy[position]++
				}
			}
		}
		// The members lie on an arc of the circle, with a gap or an overlap where the two sizes meet.
		slack := math.Abs(float64(now-old)) + 2
		for position, n := range containedBy {
			if want := share * float64(members); math.Abs(float64(n)-want) > slack {
				t.Fatalf("%d to %d, %d know: the replica at %d is in %d subsets, %.1f wanted",
					old, now, notified, position, n, want)
			}
		}
	})
}

// Holders that are in the subset fail. Others make up for them in the same step, and no more than that.
func TestHolderCountMakesUpForFailedHolders(t *testing.T) {
	s := NewSubset(Member{7, 300}, ringOf(200, 1), minHolders)
	keys := []float64{0.1, 0.5, 0.9}
	for _, c := range []struct {
		ready []bool
		want  int
	}{
		{[]bool{true, true, true}, 2},
		{[]bool{false, true, true}, 3},
		{[]bool{true, false, false}, 3},
		{[]bool{true, true, false}, 2},
	} {
		if n := s.HolderCount(keys, c.ready, minHolders); n != c.want {
			t.Errorf("ready %v: %d holders, want %d", c.ready, n, c.want)
		}
	}
}

// The coordinators whose subsets contain one replica lie at equal distances among themselves, whichever arc of the
// fleet they are.
func TestOffsetsWithinSubsetsAreEven(t *testing.T) {
	for _, size := range []int{150, 301, 1000} {
		r := ringOf(179, 1)
		for position := range r.Size {
			var offsets []float64
			for _, m := range fleet(size) {
				s := NewSubset(m, r, minHolders)
				if key := s.Key(position, 0); s.Contains(key) {
					offsets = append(offsets, float64(s.Offset(m, key)))
				}
			}
			slices.Sort(offsets)
			for i, at := range offsets {
				if math.Abs(at-float64(i)/float64(len(offsets))) > 2/float64(len(offsets)) {
					t.Fatalf("%d coordinators: number %d of %d with the replica at %d lies at %.3f",
						size, i, len(offsets), position, at)
				}
			}
		}
	}
}
