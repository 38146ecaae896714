package overload

import (
	"math"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/loadgen"
)

// The targets of overload control.
const (
	maxLoopWaitMS = 50 // limit of the 99th percentile of the waits for the coordinator's loop, in ms

	// Least earned priority weight, as a multiple of the weight earned by first come, first served.
	minRushGain   = 1.2
	minNormalGain = 0.99

	minHazardsServed = 0.99 // least served share of the hazard reports within the quotas, in the run with the rush

	normalWithin = 2 * time.Second // limit of the time from the end of the rush to the normal level

	// The targets for retries apply to the one second that begins afterRush after the end of the rush.
	afterRush               = 2 * time.Second
	maxAttemptsFactor       = 2.5 // limit of the attempts in that second, as a multiple of the normal rate
	minAttemptsPerRejection = 20  // least attempts in that second for each rejected one
)

// normalLevel is the name of the overload level without overload, as the coordinator logs it.
const normalLevel = "normal"

// results holds the outcomes of all variants.
type results struct {
	normalRate float64 // queries per second
	outcomes   map[variant]*outcome
}

func (e results) normalTraffic() *outcome { return e.outcomes[variant{1, true}] }

func (e results) normalFirstCome() *outcome { return e.outcomes[variant{1, false}] }

func (e results) rush() *outcome { return e.outcomes[variant{rushFactor, true}] }

func (e results) rushFirstCome() *outcome { return e.outcomes[variant{rushFactor, false}] }

// rushGain returns the weight earned in the run with the rush under overload control, as a multiple of the weight that
// first come, first served earned.
func (e results) rushGain() float64 {
	return e.rush().EarnedWeight / math.Max(e.rushFirstCome().EarnedWeight, 1e-9)
}

// hazardsServed returns the served share of the hazard reports within the quotas, in the run with the rush under
// overload control.
func (e results) hazardsServed() float64 {
	hazards := e.rush().Classes[hazardReport]
	return hazards.ServedWithinQuota / math.Max(1, hazards.WithinQuota)
}

// lost returns the number of attempts without a timely answer in the variants with overload control.
func (e results) lost() (lost int) {
	for _, factor := range trafficFactors {
		lost += e.outcomes[variant{factor, true}].Lost
	}
	return lost
}

// attemptsAfterRush returns the number of attempts, and of the rejected ones among them, in the second that begins
// afterRush after the end of the rush.
func (e results) attemptsAfterRush() (attempts, rejected int) {
	from := (rushEnd + afterRush) / loadgen.SliceTime
	for _, s := range e.rush().Slices[from : from+time.Second/loadgen.SliceTime] {
		attempts, rejected = attempts+s.Attempts, rejected+s.Rejected
	}
	return attempts, rejected
}

// judgeWeight checks the targets for the earned weight, the loop's waits, the hazard reports and the lost attempts.
func (e results) judgeWeight(r *experiment.Report) {
	normal, firstCome := e.normalTraffic(), e.normalFirstCome()
	r.Expect(e.rush().WaitP99MS < maxLoopWaitMS, "the loop's p99 at three times is %.1f ms, under %d wanted",
		e.rush().WaitP99MS, maxLoopWaitMS)
	r.Expect(e.rushGain() >= minRushGain, "worth at three times is %.2f of first come's, %.1f wanted",
		e.rushGain(), minRushGain)
	r.Expect(normal.EarnedWeight >= minNormalGain*firstCome.EarnedWeight,
		"worth at one time is %.3f, first come's %.3f",
		normal.EarnedWeight/normal.OfferedWeight, firstCome.EarnedWeight/firstCome.OfferedWeight)
	r.Expect(e.hazardsServed() >= minHazardsServed,
		"%.3f of the hazard reports within their share served, %.2f wanted", e.hazardsServed(), minHazardsServed)
	r.Expect(e.lost() == 0, "%d tries without a timely answer", e.lost())
}

// judgeFairness checks that no tenant within its quota had a larger share of rejections than the flooding tenant.
func (e results) judgeFairness(r *experiment.Report) {
	rejectedShare := func(t *loadgen.TenantResult) float64 { return float64(t.Rejected) / float64(t.Arrived) }
	tenants := e.rush().Tenants
	excess := 0.0
	for name, t := range tenants {
		if name != floodingTenant {
			excess = max(excess, rejectedShare(t)-rejectedShare(tenants[floodingTenant]))
		}
	}
	r.Expect(excess <= 0, "a tenant within its share was refused %.3f more than the one beyond it", excess)
}

// judgeRecovery checks that rejected clients do not retry too soon after the rush, and that the level returns to normal
// in time and is normal at the end.
func (e results) judgeRecovery(r *experiment.Report) {
	attempts, rejected := e.attemptsAfterRush()
	r.Expect(rejected*minAttemptsPerRejection <= attempts && float64(attempts) < maxAttemptsFactor*e.normalRate,
		"%d of %d tries refused in a second, two after the rush: who was refused comes back too soon",
		rejected, attempts)
	levels := e.rush().Stats.Levels
	normalAt, last := time.Hour.Seconds(), ""
	for _, l := range levels {
		if last = l.Level; l.Level == normalLevel && l.At > rushEnd.Seconds() {
			normalAt = min(normalAt, l.At)
		}
	}
	r.Expect(normalAt < (rushEnd+normalWithin).Seconds() && last == normalLevel,
		"levels %v: normal wanted within %v after %v, and at the end", levels, normalWithin, rushEnd)
}

func (e results) addFigures(r *experiment.Report) {
	attempts, rejected := e.attemptsAfterRush()
	r.Figure("normal", "%.0f/s", e.normalRate)
	r.Figure("gain_at_3", "%.2f", e.rushGain())
	r.Figure("worth_at_1", "%.3f", e.normalTraffic().EarnedWeight/e.normalTraffic().OfferedWeight)
	r.Figure("loop_p99_ms", "%.1f", e.rush().WaitP99MS)
	r.Figure("first_come_p99_ms", "%.1f", e.rushFirstCome().WaitP99MS)
	r.Figure("hazards", "%.3f", e.hazardsServed())
	r.Figure("tries_after", "%.2f", float64(attempts)/e.normalRate)
	r.Figure("refused_after", "%d", rejected)
	r.Figure("lost", "%d", e.lost())
}
