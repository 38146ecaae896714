package scatter

import (
	"fmt"
	"math"
	"testing"
)

// The expected shares are calculated by hand: an equal share of n is 1/n, the cap 1.2/n, the floor 0.5/n.
func TestComputeShares(t *testing.T) {
	two := []Class{{Name: "tight", LatencyObjective: sec, Deadline: 3 * sec, CompleteFraction: 1, MinFraction: 1},
		{Name: "loose", LatencyObjective: 2 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 1}}
	one := two[:1]
	three := append(two[:2:2],
		Class{Name: "last", LatencyObjective: 3 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 1})
	for _, tc := range []struct {
		name    string
		classes []Class
		rates   []float64
		bases   []float64   // by class
		ratios  []float64   // by replica
		want    [][]float64 // by class, then replica
	}{
		{"ties are even", one, []float64{10}, []float64{.2}, []float64{1, 1, 1, 1}, [][]float64{{.25, .25, .25, .25}}},
		// Floors of 0.125 leave 0.5: 0.175 for the first and the second, 0.15 for the third.
		{"lowest mean first, to its cap", one, []float64{10}, []float64{.1}, []float64{1, 2, 3, 4},
			[][]float64{{.3, .3, .275, .125}}},
		// Rate 20, capacity 7 at each replica. Tight takes its 5 from A (floor .25 + .5), loose finds 2 at A.
		{"tightest class first", two, []float64{10, 10}, []float64{.1, .1}, []float64{1, 2},
			[][]float64{{.75, .25}, {.45, .55}}},
		// The first pass, as above, gives loose a mean of .45*1.5 + .55*3 = 2.3 > 2, so it moves to the front: .75,
		// .25.
		{"a late class moves to the front", two, []float64{10, 10}, []float64{.1, 1.5}, []float64{1, 2},
			[][]float64{{.45, .55}, {.75, .25}}},
		// Three classes at two replicas, rate 30, capacity 10.5 each: the first two classes take 5 each from A, the
		// third finds 0.5 there and 4.5 at B.
		{"more classes than a replica can take", three, []float64{10, 10, 10}, []float64{.1, .1, .1}, []float64{1, 2},
			[][]float64{{.75, .25}, {.75, .25}, {.3, .7}}},
	} {
		s := base()
		s.Classes = tc.classes
		var ids []string
		for i := range tc.ratios {
			ids = append(ids, fmt.Sprint("r", i))
		}
		h := start(t, s, names(ids...)...)
		sh := h.m.shardOf(0)
		copy(sh.rates, tc.rates)
		for i, v := range tc.ratios {
			h.m.replicas.all[i].latencyRatio = v
		}
		for k, v := range tc.bases {
			h.m.classes.list[k].meanLatency = v
		}
		h.m.computeShares(sh, h.m.currentBasis())
		for k := range tc.want {
			for i, want := range tc.want[k] {
				if got := sh.shares[k][i]; math.Abs(got-want) > 1e-3 {
					t.Errorf("%s: class %d replica %d: share %.4f, want %.4f", tc.name, k, i, got, want)
				}
			}
		}
	}
}
