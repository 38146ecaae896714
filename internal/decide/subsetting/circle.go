package subsetting

import "math"

// goldenRatio is the fractional part of the golden ratio. Any number of its successive multiples are spaced about
// evenly on the circle.
const goldenRatio = 0.6180339887498949

// onCircle returns the fractional part of x, in [0, 1).
func onCircle(x float64) float64 {
	if x -= math.Floor(x); x < 1 {
		return x
	}
	return 0
}
