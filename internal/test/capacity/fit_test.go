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

// A fit recovers the parameters of a curve of its form and reports a residual for a curve of another form. Missed lists
// exceeded bounds only if they are stated as held.
func TestFitFindsTheCurve(t *testing.T) {
	square := points(func(x float64) float64 { return 3 * x * x })
	line := points(func(x float64) float64 { return 50 + 0.1*x })
	f, err := fit(Power, square)
	if err != nil || math.Abs(f.Exponent-2) > 1e-9 || math.Abs(f.at(Power, 14000)/(3*14000*14000)-1) > 1e-9 || f.Residual > 1e-9 || f.ExponentError > 1e-6 {
		t.Errorf("power fit of 3 x^2: err %v, fit %+v", err, f)
	}
	f, err = fit(Linear, line)
	if err != nil || math.Abs(f.Slope-0.1) > 1e-9 || math.Abs(f.Intercept-50) > 1e-6 || f.Residual > 1e-9 || f.SlopeError > 1e-9 {
		t.Errorf("linear fit of 50 + 0.1 x: err %v, fit %+v", err, f)
	}
	if f, err = fit(Linear, square); err != nil || f.Residual < 0.3 {
		t.Errorf("linear fit of 3 x^2: err %v, want a residual of at least 0.3: %+v", err, f)
	}
	r := Run{Series: []Series{{Name: "s", Form: Linear, Residual: 0.3, Fit: f}}, Bounds: []Bound{
		{Name: "stated", Figure: 2, Most: 1, Stated: true}, {Name: "not stated", Figure: 2, Most: 1}, {Name: "held", Figure: 1, Most: 2, Stated: true}}}
	if missed := r.Missed(); len(missed) != 2 {
		t.Errorf("Missed() = %v, want 2 entries: the residual and the stated bound", missed)
	}
	for _, bad := range [][]Point{square[:3], append([]Point{{X: 1}}, square...)} {
		if _, err := fit(Power, bad); err == nil {
			t.Errorf("fit accepted the points %v", bad)
		}
	}
}

// The allowed share of slow parts gives the required share of queries without a slow part. It is far larger if a part
// has a second copy or some parts of a query may be missing.
func TestTail(t *testing.T) {
	w := tail(120, 0.99, 0.7)
	if got := math.Pow(1-w.SlowShare, 120); math.Abs(got-0.99) > 1e-9 {
		t.Errorf("share of queries without a slow part is %g, want 0.99", got)
	}
	if math.Abs(w.Twice*w.Twice-w.SlowShare) > 1e-12 || w.MissingParts != 36 || w.SlowSharePartial < 0.15 || w.SlowSharePartial > 0.3 {
		t.Errorf("tail(120, 0.99, 0.7) = %+v", w)
	}
}
