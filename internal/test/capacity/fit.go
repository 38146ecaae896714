package capacity

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit describes how a cost grows with its variable, as a power law and as a straight line.
type Fit struct {
	Exponent      float64 `json:"exponent"` // k of y = c x^k, by regression on logarithms
	ExponentError float64 `json:"exponent_error"`
	Factor        float64 `json:"factor"` // c
	Slope         float64 `json:"slope"`  // b of y = a + b x, each point weighted by 1/y^2
	SlopeError    float64 `json:"slope_error"`
	Intercept     float64 `json:"intercept"` // a
	Residual      float64 `json:"residual"`  // of the series' form: root mean square of the relative deviations
	R2            float64 `json:"r2"`        // on logarithms
}

// minPoints is the smallest number of sizes that a fit accepts.
const minPoints = 4

// fit fits both forms to a series' points. The residual is that of the given form.
func fit(form Form, points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, fmt.Errorf("capacity: series has %d points, a fit needs at least %d", len(points), minPoints)
	}
	var x, y, logX, logY, weights []float64
	for _, p := range points {
		if p.X <= 0 || p.Median <= 0 {
			return Fit{}, fmt.Errorf("capacity: cannot fit value %g at size %g: both must be positive", p.Median, p.X)
		}
		x, y = append(x, p.X), append(y, p.Median)
		logX, logY = append(logX, math.Log(p.X)), append(logY, math.Log(p.Median))
		weights = append(weights, 1/(p.Median*p.Median))
	}
	var f Fit
	logFactor, exponent := stat.LinearRegression(logX, logY, nil, false)
	f.Exponent, f.Factor = exponent, math.Exp(logFactor)
	if f.R2 = stat.RSquared(logX, logY, nil, logFactor, exponent); math.IsNaN(f.R2) {
		f.R2 = 1 // a constant series has no variance; the fitted line explains it fully
	}
	f.ExponentError = slopeError(logX, logY, nil, logFactor, exponent)
	f.Intercept, f.Slope = stat.LinearRegression(x, y, weights, false)
	f.SlopeError = slopeError(x, y, weights, f.Intercept, f.Slope)
	sum := 0.0
	for i := range x {
		off := f.at(form, x[i])/y[i] - 1
		sum += off * off
	}
	f.Residual = math.Sqrt(sum / float64(len(x)))
	return f, nil
}

// at returns the fitted value at x for a form.
func (f Fit) at(form Form, x float64) float64 {
	if form == Linear {
		return f.Intercept + f.Slope*x
	}
	return f.Factor * math.Pow(x, f.Exponent)
}

// slopeError returns the standard error of a regression's slope.
func slopeError(x, y, weights []float64, intercept, slope float64) float64 {
	mean := stat.Mean(x, weights)
	var squares, width float64
	for i := range x {
		w := 1.0
		if weights != nil {
			w = weights[i]
		}
		off := y[i] - intercept - slope*x[i]
		squares += w * off * off
		width += w * (x[i] - mean) * (x[i] - mean)
	}
	return math.Sqrt(squares / float64(len(x)-2) / width)
}
