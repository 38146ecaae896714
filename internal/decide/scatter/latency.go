package scatter

import (
	"math"
	"slices"
	"time"
)

const (
	// initialLatency is a class's mean latency before there are samples, as a share of its latency objective.
	initialLatency = 0.2
	// meanGain is the weight of a new sample in a class's mean latency: an average over about twenty parts.
	meanGain = 0.05
	// ratioGain is the weight of a new sample in a replica's latency ratio: an average over only about five parts,
	// because a coordinator sends to each replica rarely and gets few samples of it.
	ratioGain = 0.2

	// maxSamples is how many latencies a class keeps for its quantiles.
	maxSamples = 64
	// minSamples is how many samples a class needs before its quantiles are computed.
	minSamples = maxSamples / 8
	// overdueQuantile is the quantile of a class's latencies after which a part is overdue.
	overdueQuantile = 0.95
	// minOverdue and maxOverdue bound that time, as shares of the latency objective: earlier than the first, the
	// objective is not at risk; later than the second, a hedged request has too little time left.
	minOverdue = 0.3
	maxOverdue = 0.4
)

// classTable holds the classes of the settings, and earlier ones that are still in use.
type classTable struct {
	list          []*class          // by class index
	byName        map[string]*class // of the settings
	tightest      time.Duration     // the shortest latency objective
	allowsPartial bool              // some class allows partial answers
}

// class is the state of a class of queries.
type class struct {
	Class
	index        int
	maxAttempts  int           // for each part, the first included
	samples      samples       // latest latencies of served parts
	overdueAfter time.Duration // an attempt is overdue when it has been outstanding for this
	meanLatency  float64       // over all replicas, in seconds
	minService   float64       // lower decile of its samples, in seconds; begins at initialLatency and never rises
}

// newClass returns a class without samples.
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

// samples are the latest latencies of a class, in seconds, in a ring buffer.
type samples struct {
	values [maxSamples]float64
	count  int // how many were added, or taken over by Restore
}

func (s *samples) add(seconds float64) {
	s.values[s.count%maxSamples] = seconds
	s.count++
}

// latest returns the latencies that are still held, in the order of the buffer.
func (s *samples) latest() []float64 { return s.values[:min(s.count, maxSamples)] }

// enough reports whether there are enough samples for quantiles.
func (s *samples) enough() bool { return s.count >= minSamples }

// updateQuantiles recomputes the class's quantiles from its samples. The least service time never rises, since slow
// starts and load can only make parts look more expensive.
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

// observe adds the latency of a served part, in seconds, to the class's mean. The first sample replaces the initial
// mean.
func (c *class) observe(seconds float64) {
	c.meanLatency += max(meanGain, 1/float64(c.samples.count)) * (seconds - c.meanLatency)
}

// observeAtLeast adds a latency, in seconds, to a replica's ratio as a lower bound of what a part would have taken. It
// never lowers the ratio.
func (r *replica) observeAtLeast(c *class, seconds float64) {
	r.latencyRatio += ratioGain * max(0, seconds/c.meanLatency-r.latencyRatio)
}

// memo caches a value for the rest of a step.
type memo struct {
	step  int
	value float64
}

// medianRatioOf returns medianRatio. Once healthFixed holds, it is computed only once per step.
func (m *Machine) medianRatioOf(cached *memo, replicas []*replica) float64 {
	if !m.healthFixed {
		return medianRatio(replicas)
	}
	if cached.step != m.step {
		cached.step, cached.value = m.step, medianRatio(replicas)
	}
	return cached.value
}

// medianRatio returns the lower median of the latency ratios of the usable replicas in a list; infinity if there are
// none. A higher latency that all of them have in common is load, not a fault of one.
func medianRatio(replicas []*replica) float64 {
	var buffer [16]float64
	if ratios := usableRatios(replicas, buffer[:0]); len(ratios) > 0 {
		return ratios[(len(ratios)-1)/2]
	}
	return math.Inf(1)
}

// usableRatios appends the latency ratios of the usable ones of some replicas to list, and sorts it in ascending order.
func usableRatios(replicas []*replica, list []float64) []float64 {
	for _, r := range replicas {
		if r.usable() {
			list = append(list, r.latencyRatio)
		}
	}
	slices.Sort(list)
	return list
}

// adoptSiblingRatio sets the latency ratio of a new, restarted or reinstated replica to the mean of its usable
// siblings' ratios, or to 1 if there are none.
func (r *replica) adoptSiblingRatio() {
	r.latencyRatio = 1
	for i, v := range usableRatios(r.siblings, nil) {
		r.latencyRatio += (v - r.latencyRatio) / float64(i+1)
	}
}

// lateness is a degree of being late. An attempt has reached it when it has been outstanding for overdueTimes as long
// as its class's overdueAfter (longer in slow start), and for meanTimes as long as its replica's siblings take at
// present (at most the class's deadline).
type lateness struct {
	overdueTimes float64
	meanTimes    float64
}

// The degrees of lateness.
var (
	unansweredPart   = lateness{0.5, 2}  // the replica may be leaving parts of just this class unanswered
	overduePart      = lateness{1, 2}    // a hedged request is due
	unresponsivePart = lateness{1.5, 3}  // the replica counts as unresponsive, if it has answered nothing else since
	lostPart         = lateness{1.5, 10} // no answer is expected: a retry costs little of the objective
)

// lateAfter returns the time after which an attempt is late at a replica: the longer of the two times of a lateness,
// since what slows all siblings is load. The one by overdueAfter is divided by the replica's capacityFraction; the one
// by the siblings' latency is capped at the class's deadline.
func (m *Machine) lateAfter(r *replica, c *class, l lateness) time.Duration {
	usual := l.meanTimes * c.meanLatency * m.medianRatioOf(&r.siblingRatio, r.siblings)
	usual = min(usual, c.Deadline.Seconds())
	overdue := scale(c.overdueAfter, l.overdueTimes/m.capacityFraction(r, m.now))
	return max(overdue, time.Duration(usual*float64(time.Second)))
}

// isLate reports whether an attempt has reached a degree of lateness.
func (m *Machine) isLate(at *attempt, l lateness) bool {
	return m.now-at.sentAt >= m.lateAfter(at.replica, at.part.query.class, l)
}
