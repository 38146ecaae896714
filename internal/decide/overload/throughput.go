package overload

const (
	// doneGain is the weight of a window in the moving mean of the throughput.
	doneGain = 0.2
	// capacityDecay is the factor applied to the capacity in a window in which the loop is behind although its
	// throughput is below the capacity.
	capacityDecay = 0.98
)

// throughput is the work that the loop does and can do, in core seconds per second by the cost model.
type throughput struct {
	done     float64 // moving mean of the cost of answered queries
	capacity float64 // highest sustainable throughput, estimated also while the load is lower
	peak     float64 // highest mean so far
}

// observe records the cost per second of the queries answered in a window. If the loop is not behind, a lower
// throughput only shows a lower load, so the capacity stays unchanged.
func (t *throughput) observe(perSecond float64, overTarget bool) {
	t.done += doneGain * (perSecond - t.done)
	if overTarget {
		t.capacity *= capacityDecay
	}
	t.capacity = max(t.capacity, t.done)
	t.peak = max(t.peak, t.done)
}
