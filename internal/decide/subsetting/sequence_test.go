package subsetting

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// A fleet shares a budget of which each coordinator's share is less than a part. With one draw each, the number of
// those that may send is right within one. With any traffic each, what all send deviates from the sum of their shares
// by less than chance would, and stays below what overloads a replica in slow start (N + 3 root N + 3).
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
			t.Fatalf("%d of %d may send with a share of %.4f", senders, size, share)
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
				t.Fatalf("a member's %d draws under %.4f sent %d", draws, share, own)
			}
		}
		if float64(sent) > wanted+3*math.Sqrt(wanted)+3 {
			t.Fatalf("%d members, skew %.2f: %d sent, %.1f in the budget", size, skew, sent, wanted)
		}
	})
}
