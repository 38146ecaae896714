package scaletest

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"harepass/internal/test/faultinjection"
)

// judge holds the result against the plan's bounds.
func (r *Result) checkBounds(plan *Plan) {
	miss := func(format string, args ...any) {
		r.MissedBounds = append(r.MissedBounds, fmt.Sprintf(format, args...))
	}
	must := plan.Bounds
	check := func(what string, m DelaySummary, d DelayBounds) {
		for _, c := range []struct {
			which      string
			had, bound time.Duration
		}{{"median", time.Duration(m.Median), d.Median}, {"p99", time.Duration(m.P99), d.P99}, {"last", time.Duration(m.Max), d.Max}} {
			if c.bound > 0 && c.had > c.bound {
				miss("%s: the %s is %v, at most %v is allowed", what, c.which, c.had.Round(time.Millisecond), c.bound)
			}
		}
		if m.Never > 0 {
			miss("%s: never in force %d times", what, m.Never)
		}
	}
	check("list", r.List, must.List)
	check("settings", r.Settings, must.Settings)
	check("start", r.Started, DelayBounds{Max: must.Started})
	for _, t := range r.Faults {
		check(t.Description+": after its end", t.Recovered, DelayBounds{Max: must.Recovered})
	}
	for _, c := range []struct {
		of    role
		bound CostBounds
	}{{roleAuthority, must.Relay}, {roleRelay, must.Relay}, {roleHost, must.HollowMember}} {
		spent := r.Undisturbed[c.of]
		for _, b := range []struct {
			what       string
			had, bound float64
		}{{"of a core", spent.CPUMax, c.bound.CPU}, {"MB", spent.MemoryMBMax, c.bound.MemoryMB}, {"KB/s", spent.KBPerSMax, c.bound.KBPerS}} {
			if b.bound > 0 && b.had > b.bound {
				miss("%s: %.4f %s, at most %.4f is allowed", c.of, b.had, b.what, b.bound)
			}
		}
	}
	if must.CostRatio > 0 {
		r.checkCostRatio(must.CostRatio, miss)
	}
	for _, example := range r.Violations.examples {
		miss("%s", example)
	}
	for _, how := range slices.Sorted(maps.Keys(r.Requests)) {
		if how == faultinjection.OutcomeWrongAnswer || how == faultinjection.OutcomeDuplicateAnswer {
			miss("%d requests were answered %s", r.Requests[how], how)
		}
	}
	if plan.Clients > 0 && plan.RealCoordinators > 0 && r.Requests["200"] == 0 {
		miss("no request was served")
	}
}

func (r *Result) checkCostRatio(most float64, miss func(string, ...any)) {
	if r.Ratio == nil {
		miss("nothing was counted that a hollow one could be compared by")
		return
	}
	for what, ratio := range map[string]float64{"cpu": r.Ratio.CPU, "bytes": r.Ratio.Bytes} {
		if ratio > most || ratio < 1/most {
			miss("a hollow one has %.2f times the %s of a real one, at most %.2f either way is allowed", ratio, what, most)
		}
	}
}
