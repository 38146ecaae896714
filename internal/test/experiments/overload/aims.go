package overload

import (
	"math"
	"time"

	"harepass/internal/test/experiment"
	"harepass/internal/test/loadgen"
)

// results are the outcomes of all variants.
type results struct {
	normal   float64 // queries a second
	outcomes map[variant]*outcome
}

func (e results) normalTraffic() *outcome { return e.outcomes[variant{1, true}] }

func (e results) rush() *outcome { return e.outcomes[variant{rushFactor, true}] }

func (e results) rushFirstCome() *outcome { return e.outcomes[variant{rushFactor, false}] }

// gain is the worth in the rush, over that of first come.
func (e results) gain() float64 {
	return e.rush().EarnedWeight / math.Max(e.rushFirstCome().EarnedWeight, 1e-9)
}

// hazardsServed is the share of the hazard reports within their tenants' shares that were served in the rush.
func (e results) hazardsServed() float64 {
	hazards := e.rush().Classes[hazardReport]
	return hazards.ServedWithinQuota / math.Max(1, hazards.WithinQuota)
}

// lost is how many tries were without a timely answer, with control.
func (e results) lost() (lost int) {
	for _, factor := range factors {
		lost += e.outcomes[variant{factor, true}].Lost
	}
	return lost
}

// afterRush is how many tries there were, and how many of them were refused, in a second, two after the rush.
func (e results) afterRush() (tries, refused int) {
	const sliceTime = 100 * time.Millisecond
	from := (rushEnd + 2*time.Second) / sliceTime
	for _, s := range e.rush().Slices[from : from+time.Second/sliceTime] {
		tries, refused = tries+s.Attempts, refused+s.Rejected
	}
	return tries, refused
}

func (e results) checkWorth(r *experiment.Report) {
	controlled, firstCome := e.normalTraffic(), e.outcomes[variant{1, false}]
	r.Expect(e.rush().WaitP99MS < maxLoopWaitMS, "the loop's p99 at three times is %.1f ms, under %d wanted", e.rush().WaitP99MS, maxLoopWaitMS)
	r.Expect(e.gain() >= minGain, "worth at three times is %.2f of first come's, %.1f wanted", e.gain(), minGain)
	r.Expect(controlled.EarnedWeight >= minNormalWorth*firstCome.EarnedWeight, "worth at one time is %.3f, first come's %.3f", controlled.EarnedWeight/controlled.OfferedWeight, firstCome.EarnedWeight/firstCome.OfferedWeight)
	r.Expect(e.hazardsServed() >= minHazards, "%.3f of the hazard reports within their share served, %.2f wanted", e.hazardsServed(), minHazards)
	r.Expect(e.lost() == 0, "%d tries without a timely answer", e.lost())
}

// checkFairness holds the tenants within their shares against the one beyond it.
func (e results) checkFairness(r *experiment.Report) {
	refusedShare := func(t *loadgen.TenantResult) float64 { return float64(t.Rejected) / float64(t.Arrived) }
	tenants := e.rush().Tenants
	unfair := 0.0
	for name, t := range tenants {
		if name != flooder {
			unfair = max(unfair, refusedShare(t)-refusedShare(tenants[flooder]))
		}
	}
	r.Expect(unfair <= 0, "a tenant within its share was refused %.3f more than the one beyond it", unfair)
}

// checkAfterRush tells whether refused clients come back too soon, and the level too late.
func (e results) checkAfterRush(r *experiment.Report) {
	tries, refused := e.afterRush()
	r.Expect(refused*20 <= tries && float64(tries) < 2.5*e.normal, "%d of %d tries refused in a second, two after the rush: who was refused comes back too soon", refused, tries)
	levels := e.rush().Stats.Levels
	normalAt, last := time.Hour.Seconds(), ""
	for _, l := range levels {
		if last = l.Level; l.Level == normalLevel && l.At > rushEnd.Seconds() {
			normalAt = min(normalAt, l.At)
		}
	}
	r.Expect(normalAt < (rushEnd+normalWithin).Seconds() && last == normalLevel, "levels %v: normal wanted within %v after %v, and at the end", levels, normalWithin, rushEnd)
}

func (e results) addKeys(r *experiment.Report) {
	tries, refused := e.afterRush()
	r.Figure("normal", "%.0f/s", e.normal)
	r.Figure("gain_at_3", "%.2f", e.gain())
	r.Figure("worth_at_1", "%.3f", e.normalTraffic().EarnedWeight/e.normalTraffic().OfferedWeight)
	r.Figure("loop_p99_ms", "%.1f", e.rush().WaitP99MS)
	r.Figure("first_come_p99_ms", "%.1f", e.rushFirstCome().WaitP99MS)
	r.Figure("hazards", "%.3f", e.hazardsServed())
	r.Figure("tries_after", "%.2f", float64(tries)/e.normal)
	r.Figure("refused_after", "%d", refused)
	r.Figure("lost", "%d", e.lost())
}
