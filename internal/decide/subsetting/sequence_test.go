package subsetting

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// The coordinators of a fleet share a budget, and the share of each is less than one part. If each draws once, the
// number that may send is within one of the budget. With uneven traffic, the parts sent by all deviate from the sum of
// their shares by less than with random numbers, and stay below the number that overloads a replica in slow start
// (N + 3 root N + 3).
func TestSequencesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 1000).Draw(t, "coordinators")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		salt := rapid.Uint64().Draw(t, "salt")
		senders := 0
		for _, m := range fleet(size) {
			if s := m.Offset().Sequence(salt); s.Next(1) < share {
				senders++
			}
		}
		if size > 1 && math.Abs(float64(senders)-share*float64(size)) > 1 {
			t.Fatalf("%d of %d coordinators with a share of %.4f may send", senders, size, share)
		}
		rng := rand.New(rand.NewPCG(salt, 1))
		skew := rapid.Float64Range(0, 2).Draw(t, "skew")
		sent, wanted := 0, 0.0
		for _, m := range fleet(size) {
			s := m.Offset().Sequence(salt)
			draws := int(math.Exp(skew*rng.NormFloat64()) * 2)
			own := 0
			for range draws {
				if wanted += share; s.Next(1) < share {
					own++
				}
			}
			if sent += own; math.Abs(float64(own)-share*float64(draws)) > 1.5+0.5*math.Log2(float64(draws+1)) {
				t.Fatalf("a member with %d draws and a share of %.4f sent %d parts", draws, share, own)
			}
		}
		if float64(sent) > wanted+3*math.Sqrt(wanted)+3 {
			t.Fatalf("%d members with a traffic skew of %.2f sent %d parts, budget %.1f", size, skew, sent, wanted)
		}
	})
}
