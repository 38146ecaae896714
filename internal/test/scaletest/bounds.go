package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"harepass/internal/test/faultinjection"
)

// checkBounds checks the result against the plan's bounds and the rules of every run, and fills in MissedBounds.
func (r *Result) checkBounds(plan *Plan) {
	bounds := plan.Bounds
	r.checkDelays("endpoint list", r.List, bounds.List)
	r.checkDelays("settings", r.Settings, bounds.Settings)
	r.checkDelays("start", r.Started, DelayBounds{Max: bounds.Started})
	for _, fault := range r.Faults {
		r.checkDelays(fault.Description+": recovery", fault.Recovered, DelayBounds{Max: bounds.Recovered})
	}
	r.checkCosts(roleAuthority, bounds.Relay)
	r.checkCosts(roleRelay, bounds.Relay)
	r.checkCosts(roleHost, bounds.HollowMember)
	if bounds.CostRatio > 0 {
		r.checkCostRatio(bounds.CostRatio)
	}
	for _, example := range r.Violations.examples {
		r.recordMiss("%s", example)
	}
	r.checkRequests(plan)
}

// recordMiss appends to MissedBounds a sentence that describes a missed bound or a broken rule.
func (r *Result) recordMiss(format string, args ...any) {
	r.MissedBounds = append(r.MissedBounds, fmt.Sprintf(format, args...))
}

// checkDelays checks delays against their bounds. A change that never came into force counts as missed, even without a
// bound.
func (r *Result) checkDelays(name string, delays DelaySummary, bounds DelayBounds) {
	for _, c := range []struct {
		statistic    string
		delay, bound time.Duration
	}{
		{"median", time.Duration(delays.Median), bounds.Median},
		{"p99", time.Duration(delays.P99), bounds.P99},
		{"max", time.Duration(delays.Max), bounds.Max},
	} {
		if c.bound > 0 && c.delay > c.bound {
			r.recordMiss("%s: the %s is %v, at most %v is allowed",
				name, c.statistic, c.delay.Round(time.Millisecond), c.bound)
		}
	}
	if delays.Never > 0 {
		r.recordMiss("%s: never in force %d times", name, delays.Never)
	}
}

// checkCosts checks the cost of a role before the first fault against its bounds.
func (r *Result) checkCosts(of role, bounds CostBounds) {
	cost := r.Undisturbed[of]
	for _, c := range []struct {
		unit        string
		cost, bound float64
	}{
		{"of a core", cost.CPUMax, bounds.CPU},
		{"MB", cost.MemoryMBMax, bounds.MemoryMB},
		{"KB/s", cost.KBPerSMax, bounds.KBPerS},
	} {
		if c.bound > 0 && c.cost > c.bound {
			r.recordMiss("%s: %.4f %s, at most %.4f is allowed", of, c.cost, c.unit, c.bound)
		}
	}
}

// checkCostRatio checks that a hollow coordinator's CPU and bytes are at most bound times, and at least 1/bound times,
// those of a real one.
func (r *Result) checkCostRatio(bound float64) {
	if r.Ratio == nil {
		r.recordMiss("no cost of a real coordinator was measured to compare a hollow one with")
		return
	}
	for _, c := range []struct {
		name  string
		ratio float64
	}{{"cpu", r.Ratio.CPU}, {"bytes", r.Ratio.Bytes}} {
		if c.ratio > bound || c.ratio < 1/bound {
			r.recordMiss("a hollow coordinator has %.2f times the %s of a real one, at most %.2f either way is allowed",
				c.ratio, c.name, bound)
		}
	}
}

// checkRequests checks the outcomes of the clients' requests: no answer is wrong or a duplicate, and if real
// coordinators have clients, at least one request is served.
func (r *Result) checkRequests(plan *Plan) {
	for _, outcome := range slices.Sorted(maps.Keys(r.Requests)) {
		if outcome == faultinjection.OutcomeWrongAnswer || outcome == faultinjection.OutcomeDuplicateAnswer {
			r.recordMiss("%d requests were answered %s", r.Requests[outcome], outcome)
		}
	}
	if plan.Clients > 0 && plan.RealCoordinators > 0 && r.Requests["200"] == 0 {
		r.recordMiss("no request was served")
	}
}
