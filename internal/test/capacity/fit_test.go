package capacity

import (
	"math"
	"testing"
)

func points(f func(x float64) float64) (list []Point) {
	for _, x := range []float64{70, 220, 700, 2200, 7000} {
		list = append(list, Point{X: x, Median: f(x)})
	}
	return list
}

// Curves of a known form are found again; another form leaves a residual.
func TestFitFindsTheCurve(t *testing.T) {
	square := points(func(x float64) float64 { return 3 * x * x })
	line := points(func(x float64) float64 { return 50 + 0.1*x })
	f, err := fit(Power, square)
	if err != nil || math.Abs(f.Exponent-2) > 1e-9 || math.Abs(f.at(Power, 14000)/(3*14000*14000)-1) > 1e-9 || f.Residual > 1e-9 || f.ExponentError > 1e-6 {
		t.Errorf("%v: %+v", err, f)
	}
	f, err = fit(Linear, line)
	if err != nil || math.Abs(f.Slope-0.1) > 1e-9 || math.Abs(f.Intercept-50) > 1e-6 || f.Residual > 1e-9 || f.SlopeError > 1e-9 {
		t.Errorf("%v: %+v", err, f)
	}
	if f, err = fit(Linear, square); err != nil || f.Residual < 0.3 {
		t.Errorf("%v: a square passes for a line: %+v", err, f)
	}
	r := Run{Series: []Series{{Name: "s", Form: Linear, Residual: 0.3, Fit: f}}, Bounds: []Bound{
		{Name: "stated", Figure: 2, Most: 1, Stated: true}, {Name: "not stated", Figure: 2, Most: 1}, {Name: "held", Figure: 1, Most: 2, Stated: true}}}
	if missed := r.Missed(); len(missed) != 2 {
		t.Errorf("missed: %v", missed)
	}
	for _, bad := range [][]Point{square[:3], append([]Point{{X: 1}}, square...)} {
		if _, err := fit(Power, bad); err == nil {
			t.Errorf("%v was fitted", bad)
		}
	}
}

// What the parts have to keep for the queries' sake: the shares multiply out, and a share of parts that may be missing loosens
// them by far.
func TestTail(t *testing.T) {
	w := tail(120, 0.99, 0.7)
	if got := math.Pow(1-w.Slow, 120); math.Abs(got-0.99) > 1e-9 {
		t.Errorf("%g of the queries have no slow part", got)
	}
	if math.Abs(w.Twice*w.Twice-w.Slow) > 1e-12 || w.Misses != 36 || w.Some < 0.15 || w.Some > 0.3 {
		t.Errorf("%+v", w)
	}
}
