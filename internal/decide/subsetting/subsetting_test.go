package subsetting

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain has the properties draw the same cases every time; other seeds are for whoever looks for more.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7") // a flag given on the command line goes before it
	os.Exit(m.Run())
}

func fleet(m int) (all []Member) {
	for i := range m {
		all = append(all, Member{Index: i, FleetSize: m})
	}
	return all
}

// However many coordinators and cells there are: every node is kept by the same number of coordinators within one, and every
// section has the holders that it is to have, with none to spare beyond one for each node that a cell has more.
func TestSubsetsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(1, 1000).Draw(t, "coordinators")
		layers := rapid.IntRange(1, 3).Draw(t, "nodes a cell")
		r := Ring{Size: rapid.IntRange(3, 210).Draw(t, "cells"), ReplicationFactor: 3}
		r.Replicas = layers * r.Size
		least := rapid.IntRange(1, 4).Draw(t, "least")
		s0 := NewSubset(Member{Index: 0, FleetSize: m}, r, least)
		if m > 100 && layers == 2 && least == 2 && r.Size > 20 && s0.Share > 0.75 {
			t.Fatalf("%d coordinators of %d nodes keep %.2f of them each", m, r.Replicas, s0.Share)
		}
		kept := make([]int, r.Replicas)
		for _, p := range fleet(m) {
			s := NewSubset(p, r, least)
			holds := make([]int, r.Size)
			for i := range kept {
				if s.Contains(s.Key(i/layers, i%layers)) {
					kept[i]++
					holds[i/layers]++
				}
			}
			for c := range r.Size {
				has := holds[c] + holds[(c+1)%r.Size] + holds[(c+2)%r.Size]
				want := s.Share * float64(r.ReplicationFactor*layers)
				if has < min(least, 3*layers)-(layers-1) || float64(has) > want+float64(layers)+1e-6 {
					t.Fatalf("place %v, share %.3f: section %d has %d of %d holders", p, s.Share, c, has, 3*layers)
				}
			}
		}
		if low, high := slices.Min(kept), slices.Max(kept); high-low > 1 {
			t.Fatalf("%d coordinators, share %.3f: nodes are kept by %d to %d", m, s0.Share, low, high)
		}
	})
}

// A coordinator more moves only what lies near the bounds, and a node that replaces another of its cell nothing.
func TestSubsetsStay(t *testing.T) {
	r := Ring{Size: 200, ReplicationFactor: 3, Replicas: 200}
	for _, m := range []int{150, 300, 600} {
		moved, all := 0, 0
		for i := range m {
			s, next := NewSubset(Member{i, m}, r, 2), NewSubset(Member{i, m + 1}, r, 2)
			for c := range r.Size {
				if s.Contains(s.Key(c, 0)) != next.Contains(next.Key(c, 0)) {
					moved++
				}
			}
			all += int(s.Share * float64(r.Size))
		}
		// The new one's nodes, for which others give theirs up, are least; both kinds of change are counted.
		if least := all / m; moved > 3*least {
			t.Errorf("%d to %d coordinators: %d changes, where %d nodes are kept by the new one", m, m+1, moved, least)
		}
		s := NewSubset(Member{1, m}, r, 2)
		if one := NewSubset(Member{1, m}, Ring{200, 3, 199}, 2); one != s {
			t.Errorf("%d: a node less changes the subset from %v to %v", m, s, one)
		}
	}
	for i := range 30 {
		if s := NewSubset(Member{i, 30}, r, 2); s.Share < 1 {
			t.Errorf("30 coordinators, whose traffic differs, keep only %.2f of the nodes each", s.Share)
		}
	}
	for _, p := range []Member{{-1, 300}, {300, 300}, {0, 1}, {}} {
		if s := NewSubset(p, r, 2); s.Share < 1 {
			t.Errorf("place %v is none and keeps %.2f", p, s.Share)
		}
	}
}

// Some members know of a change of the fleet's size and some not yet: what both together keep of a node deviates by two at
// most from what the share says, and no section loses a holder.
func TestSubsetsWhileMembersDisagree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old := rapid.IntRange(150, 400).Draw(t, "old") // a threshold of the share lies below
		now := old + rapid.IntRange(-20, 20).Draw(t, "more")
		told := rapid.IntRange(0, min(old, now)).Draw(t, "so many have heard")
		r := Ring{Size: 60, ReplicationFactor: 3, Replicas: 60}
		kept := make([]int, r.Size)
		share, members := 0.0, min(old, now)
		for i := range members {
			p := Member{i, old}
			if i < told {
				p.FleetSize = now
			}
			s := NewSubset(p, r, 2)
			share = s.Share
			for c := range kept {
				if s.Contains(s.Key(c, 0)) {
					kept[c]++
				}
			}
		}
		// The members there are lie on an arc of the circle, with a gap or an overlap where the two views meet.
		slack := math.Abs(float64(now-old)) + 2
		for c, n := range kept {
			if math.Abs(float64(n)-share*float64(members)) > slack {
				t.Fatalf("%d to %d, %d told: node %d is kept by %d, %.1f wanted", old, now, told, c, n, share*float64(members))
			}
		}
	})
}

// A section's holders that fail are made up for in the same step, and no more than that.
func TestSubsetWidens(t *testing.T) {
	s := NewSubset(Member{7, 300}, Ring{200, 3, 200}, 2)
	keys := []float64{0.1, 0.5, 0.9}
	for _, c := range []struct {
		ready []bool
		want  int
	}{{[]bool{true, true, true}, 2}, {[]bool{false, true, true}, 3}, {[]bool{true, false, false}, 3}, {[]bool{true, true, false}, 2}} {
		if n := s.HolderCount(keys, c.ready, 2); n != c.want {
			t.Errorf("ready %v: %d belong to the subset, want %d", c.ready, n, c.want)
		}
	}
}

// Members with a share p of a draw send p of their number together, within one, whatever p and the size; with any traffic
// each, what all send deviates from the sum of the shares by less than chance would, and never by more than the fall rule
// of the platform gives away (N + 3 root N + 3).
func TestSequencesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(1, 1000).Draw(t, "coordinators")
		p := rapid.Float64Range(0, 1).Draw(t, "share")
		salt := rapid.Uint64().Draw(t, "salt")
		n := 0
		for _, pl := range fleet(m) {
			if l := pl.Position().Sequence(salt); l.Next(1) < p {
				n++
			}
		}
		if m > 1 && math.Abs(float64(n)-p*float64(m)) > 1 {
			t.Fatalf("%d of %d may send with a share of %.4f", n, m, p)
		}
		rng := rand.New(rand.NewPCG(salt, 1))
		skew := rapid.Float64Range(0, 2).Draw(t, "skew")
		sent, wanted := 0, 0.0
		for _, pl := range fleet(m) {
			l := pl.Position().Sequence(salt)
			draws := int(math.Exp(skew*rng.NormFloat64()) * 2)
			own := 0
			for range draws {
				if wanted += p; l.Next(1) < p {
					own++
				}
			}
			if sent += own; math.Abs(float64(own)-p*float64(draws)) > 1.5+0.5*math.Log2(float64(draws+1)) {
				t.Fatalf("a member's %d draws under %.4f sent %d", draws, p, own)
			}
		}
		if float64(sent) > wanted+3*math.Sqrt(wanted)+3 {
			t.Fatalf("%d members, skew %.2f: %d sent, %.1f in the budget", m, skew, sent, wanted)
		}
	})
}

// Those who keep a node sit at equal distances, whichever arc of the fleet they are.
func TestPositionsOfKeepers(t *testing.T) {
	for _, m := range []int{150, 301, 1000} {
		r := Ring{Size: 179, ReplicationFactor: 3, Replicas: 179}
		for c := range r.Size {
			var positions []float64
			for _, p := range fleet(m) {
				s := NewSubset(p, r, 2)
				if key := s.Key(c, 0); s.Contains(key) {
					positions = append(positions, float64(s.Position(p, key)))
				}
			}
			slices.Sort(positions)
			for i, at := range positions {
				if math.Abs(at-float64(i)/float64(len(positions))) > 2/float64(len(positions)) {
					t.Fatalf("%d: position %d of %d at node %d is at %.3f", m, i, len(positions), c, at)
				}
			}
		}
	}
}

// Slots come once a period, evenly, and never sooner than half of it; no more than their even number, and one, in any time.
func TestSlotsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := rapid.IntRange(2, 1000).Draw(t, "coordinators")
		wait := time.Duration(rapid.IntRange(1, 20000).Draw(t, "wait")) * time.Millisecond
		now := time.Duration(rapid.Int64Range(0, 1<<50).Draw(t, "now"))
		salt := rapid.Uint64().Draw(t, "salt")
		var at []time.Duration
		for _, p := range fleet(m) {
			slot := p.Position().NextSlot(now, wait, salt)
			if slot < now+wait/2 || slot > now+3*wait/2 {
				t.Fatalf("%v waits %v, its slot is after %v", p, wait, slot-now)
			}
			if again := p.Position().NextSlot(slot, wait, salt); again < slot+wait/2 || again > slot+3*wait/2 {
				t.Fatalf("%v: one slot after another by %v", p, again-slot)
			}
			at = append(at, slot)
		}
		slices.Sort(at)
		for _, part := range []int{2, 5, 10} {
			span, from := wait/time.Duration(part), 0
			for i := range at {
				for at[i]-at[from] > span {
					from++
				}
				if i-from+1 > m/part+3 {
					t.Fatalf("%d of %d slots within 1/%d of the time", i-from+1, m, part)
				}
			}
		}
	})
	if d := SlotPeriod(200, 25); d != 8*time.Second {
		t.Errorf("200 at 25 a second: %v", d)
	}
}
