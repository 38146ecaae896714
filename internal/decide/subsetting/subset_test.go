package subsetting

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// minHolders is the minimum number of holders of each shard in the subsets of most tests.
const minHolders = 2

// ringOf returns a ring with perPosition replicas at each position, on which three positions hold each shard.
func ringOf(size, perPosition int) Ring {
	return Ring{Size: size, ReplicationFactor: 3, Replicas: size * perPosition}
}

// For fleets and rings of all sizes, the numbers of subsets that contain each replica differ by at most one. Each
// subset has at least the wanted holders of each shard, less one for each additional replica per position. It exceeds
// its fraction of the holders by at most the number of replicas per position.
func TestSubsetsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 1000).Draw(t, "coordinators")
		perPosition := rapid.IntRange(1, 3).Draw(t, "replicas a position")
		r := ringOf(rapid.IntRange(3, 210).Draw(t, "positions"), perPosition)
		least := rapid.IntRange(1, 4).Draw(t, "least")
		first := NewSubset(Member{Index: 0, FleetSize: size}, r, least)
		if size > 100 && perPosition == 2 && least == 2 && r.Size > 20 && first.Fraction > 0.75 {
			t.Fatalf("%d coordinators, %d replicas: fraction %.2f, want at most 0.75", size, r.Replicas, first.Fraction)
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
				if holders < min(least, 3*perPosition)-(perPosition-1) ||
					float64(holders) > want+float64(perPosition)+1e-6 {
					t.Fatalf("member %v, fraction %.3f: shard %d has %d of %d holders in the subset",
						m, s.Fraction, shard, holders, 3*perPosition)
				}
			}
		}
		if low, high := slices.Min(containedBy), slices.Max(containedBy); high-low > 1 {
			t.Fatalf("%d coordinators, fraction %.3f: replicas in %d to %d subsets", size, first.Fraction, low, high)
		}
	})
}

// If a coordinator joins the fleet, only replicas near the bounds of the subsets change. If a replica is missing,
// nothing changes.
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
		// The other coordinators drop at least as many replicas as the new one has. Drops and additions are both
		// counted.
		if least := contained / size; changes > 3*least {
			t.Errorf("%d to %d coordinators: %d changes, want at most 3 times the new one's %d replicas",
				size, size+1, changes, least)
		}
		s := NewSubset(Member{1, size}, r, minHolders)
		if fewer := NewSubset(Member{1, size}, Ring{200, 3, 199}, minHolders); fewer != s {
			t.Errorf("%d coordinators: one replica less changes the subset from %v to %v", size, s, fewer)
		}
	}
}

// Subsets contain all replicas in a small fleet, where the coordinators' traffic differs too much to be divided, and
// for a coordinator that does not know its index or has no peers.
func TestSubsetContainsAllWithoutLargeFleet(t *testing.T) {
	r := ringOf(200, 1)
	for i := range 30 {
		if s := NewSubset(Member{i, 30}, r, minHolders); s.Fraction < 1 {
			t.Errorf("30 coordinators: fraction %.2f, want 1", s.Fraction)
		}
	}
	for _, m := range []Member{{-1, 300}, {300, 300}, {0, 1}, {}} {
		if s := NewSubset(m, r, minHolders); s.Fraction < 1 {
			t.Errorf("member %v without peers: fraction %.2f, want 1", m, s.Fraction)
		}
	}
}

// The fleet size changes, and some coordinators are notified before others. The number of subsets that contain a
// replica deviates from the number given by the fraction by at most the change of the size and two.
func TestSubsetsWhileFleetSizeChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.IntRange(150, 400).Draw(t, "old") // below this range the fraction changes with the fleet size
		now := old + rapid.IntRange(-20, 20).Draw(t, "more")
		notified := rapid.IntRange(0, min(old, now)).Draw(t, "coordinators that know")
		r := ringOf(60, 1)
		containedBy := make([]int, r.Size)
		fraction, members := 0.0, min(old, now)
		for i := range members {
			m := Member{i, old}
			if i < notified {
				m.FleetSize = now
			}
			s := NewSubset(m, r, minHolders)
			fraction = s.Fraction
			for position := range containedBy {
				if s.Contains(s.Key(position, 0)) {
					containedBy[position]++
				}
			}
		}
		// The notified members and the others each cover an arc of the circle. There is a gap or an overlap where the
		// arcs meet.
		slack := math.Abs(float64(now-old)) + 2
		for position, n := range containedBy {
			if want := fraction * float64(members); math.Abs(float64(n)-want) > slack {
				t.Fatalf("%d to %d coordinators, %d notified: replica at position %d is in %d subsets, want about %.1f",
					old, now, notified, position, n, want)
			}
		}
	})
}

// Holders in the subset fail. They are replaced at once by as many other holders as are needed, and no more.
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
			t.Errorf("holders ready %v: HolderCount is %d, want %d", c.ready, n, c.want)
		}
	}
}

// The offsets of the coordinators whose subsets contain a given replica are spaced evenly, whichever arc of the fleet
// these coordinators form.
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
					t.Fatalf("%d coordinators: offset %d of %d for the replica at position %d is %.3f",
						size, i, len(offsets), position, at)
				}
			}
		}
	}
}
