package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// initialLatency is a class's mean latency before anything was seen, as a share of its latency objective.
	initialLatency = 0.2
	// meanGain is the weight of a new sample in a class's mean latency: an average over some twenty parts.
	meanGain = 0.05
	// ratioGain is the weight of a new sample in a replica's latency ratio: some five parts, for a coordinator sees
	// each replica rarely.
	ratioGain = 0.2

	// maxSamples is how many latencies a class keeps for its quantiles.
	maxSamples = 64
	// minSamples is how many there have to be before quantiles are taken.
	minSamples = maxSamples / 8
	// overdueQuantile is the quantile of a class's latencies after which a part is overdue.
	overdueQuantile = 0.95
	// minOverdue and maxOverdue bound that time, as shares of the latency objective: before the first nothing is at
	// stake, and after the second a hedged request has too little time left.
	minOverdue = 0.3
	maxOverdue = 0.4
)

// classTable holds the classes of the settings, and those that open queries still have.
type classTable struct {
	list          []*class          // by class index
	byName        map[string]*class // of the settings
	tightest      time.Duration     // the shortest latency objective
	allowsPartial bool              // some class may be answered in part
}

// class is what the machine knows of a class of queries.
type class struct {
	Class
	index        int
	maxAttempts  int           // of a part, the first included
	samples      samples       // latest latencies of served parts
	overdueAfter time.Duration // after which a part is overdue
	meanLatency  float64       // over all replicas, seconds
	minService   float64       // what a part takes at least, as seen, seconds
}

// newClass is a class of which nothing has been learned.
func newClass(c Class, maxAttempts int) *class {
	initial := initialLatency * c.LatencyObjective.Seconds()
	return &class{
		Class:        c,
		maxAttempts:  maxAttempts,
		overdueAfter: scale(c.LatencyObjective, maxOverdue),
		minService:   initial,
		meanLatency:  initial,
	}
}

// samples are the latest latencies of a class, in seconds, in a ring.
type samples struct {
	values [maxSamples]float64
	count  int // ever added
}

func (s *samples) add(seconds float64) {
	s.values[s.count%maxSamples] = seconds
	s.count++
}

// latest are the latencies that are still held, in the ring's order.
func (s *samples) latest() []float64 { return s.values[:min(s.count, maxSamples)] }

// enough reports whether there are enough of them for quantiles.
func (s *samples) enough() bool { return s.count >= minSamples }

// updateQuantiles takes the class's quantiles from its samples. Slow starts and load only make parts look dearer, so
// the least service time ever seen is kept.
func (c *class) updateQuantiles() {
	if !c.samples.enough() {
		return
	}
	sorted := slices.Sorted(slices.Values(c.samples.latest()))
	n := len(sorted)
	c.minService = min(c.minService, sorted[n/10])
	slow := time.Duration(sorted[int(float64(n)*overdueQuantile)] * float64(time.Second))
	c.overdueAfter = min(max(slow, scale(c.LatencyObjective, minOverdue)), scale(c.LatencyObjective, maxOverdue))
}

// observe takes the latency of a served part, in seconds, into the class's mean.
func (c *class) observe(seconds float64) {
	c.meanLatency += max(meanGain, 1/float64(c.samples.count)) * (seconds - c.meanLatency)
}

// observeAtLeast takes a latency, in seconds, into a replica's ratio that a part would have had at the least.
func (r *replica) observeAtLeast(c *class, seconds float64) {
	r.latencyRatio += ratioGain * max(0, seconds/c.meanLatency-r.latencyRatio)
}

// memo keeps a figure for the rest of a step.
type memo struct {
	step  int
	value float64
}

// medianRatioOf is medianRatio, computed once a step where it cannot change any more.
func (m *Machine) medianRatioOf(cached *memo, some []*replica) float64 {
	if !m.healthFixed {
		return medianRatio(some)
	}
	if cached.step != m.step {
		cached.step, cached.value = m.step, medianRatio(some)
	}
	return cached.value
}

// medianRatio is the lower median latency ratio of the ready ones of some replicas, infinite where there is none. What
// is common to all of them is load, not a fault of one.
func medianRatio(some []*replica) float64 {
	var space [16]float64
	if list := readyRatios(some, space[:0]); len(list) > 0 {
		return list[(len(list)-1)/2]
	}
	return math.Inf(1)
}

// readyRatios lists the latency ratios of the ready ones of some replicas in ascending order, in the space of a list.
func readyRatios(some []*replica, list []float64) []float64 {
	for _, r := range some {
		if r.usable() {
			list = append(list, r.latencyRatio)
		}
	}
	slices.Sort(list)
	return list
}

// adoptSiblingRatio sets a replica's latency ratio to the mean of its ready siblings, or to 1 where it has none.
func (r *replica) adoptSiblingRatio() {
	r.latencyRatio = 1
	for i, v := range readyRatios(r.siblings, nil) {
		r.latencyRatio += (v - r.latencyRatio) / float64(i+1)
	}
}

// lateness is a degree of being late: a part has been out for so many of its class's overdue times, and for so many
// times what its replica's siblings take now.
type lateness struct {
	overdueTimes float64
	meanTimes    float64
}

// The degrees of lateness.
var (
	unansweredPart   = lateness{0.5, 2}  // its replica may be leaving parts of just this class unanswered
	overduePart      = lateness{1, 2}    // calls for a hedged request
	unresponsivePart = lateness{1.5, 3}  // its replica counts as unresponsive, if it answered nothing else meanwhile
	lostPart         = lateness{1.5, 10} // will not be answered: a retry costs little of the objective
)

// lateAfter is the time after which a part is late at a replica: the longer of both times, for what slows all
// siblings is load. The second one ends at the class's deadline.
func (m *Machine) lateAfter(r *replica, c *class, l lateness) time.Duration {
	usual := l.meanTimes * c.meanLatency * m.medianRatioOf(&r.siblingRatio, r.siblings)
	usual = min(usual, c.Deadline.Seconds())
	overdue := scale(c.overdueAfter, l.overdueTimes/m.capacityFraction(r, m.now))
	return max(overdue, time.Duration(usual*float64(time.Second)))
}

// isLate reports whether an attempt is late by now.
func (m *Machine) isLate(at *attempt, l lateness) bool {
	return m.now-at.sentAt >= m.lateAfter(at.replica, at.part.query.class, l)
}
