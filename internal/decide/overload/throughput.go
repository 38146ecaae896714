package overload

const (
	// doneGain is the weight of a window in the mean throughput.
	doneGain = 0.2
	// capacityDecay is the factor of the capacity in a window in which the loop is behind although it does less.
	capacityDecay = 0.98
)

// throughput is what the loop does, and can do, in core seconds a second by the cost model.
type throughput struct {
	done     float64 // queries answered, a moving mean
	capacity float64 // what the loop can do, also while less is asked of it
	peak     float64 // highest mean so far
}

// observe takes the cost a second that was done in a window. A loop that is not behind did less only because less was
// asked, so its capacity stays.
func (t *throughput) observe(perSecond float64, overTarget bool) {
	t.done += doneGain * (perSecond - t.done)
	if overTarget {
		t.capacity *= capacityDecay
	}
	t.capacity = max(t.capacity, t.done)
	t.peak = max(t.peak, t.done)
}
