package scaletest

import (
	"slices"
	"time"
)

// measure sums the records up.
func (f *fleet) measure(played []*faultRun) *Result {
	result := &Result{Plan: f.plan.Name, Requests: map[string]int{}, Parts: f.replicas.partCount,
		Sizes: Sizes{Coordinators: f.plan.Coordinators, RealCoordinators: f.plan.RealCoordinators, Modules: f.plan.Modules, Endpoints: f.plan.Endpoints, Replicas: f.plan.Replicas,
			ControlProcesses: 1 + len(f.relays), Processes: len(f.processes()), Regions: f.plan.Regions, Zones: f.plan.Zones}}
	var published, ordinary []Publication
	for _, p := range f.publisher.published() {
		if p.Index == 0 {
			result.UnobservedChanges++
			continue
		}
		published = append(published, p)
		if !slices.ContainsFunc(played, func(o *faultRun) bool { return o.affects(p, f.plan.recoveryTime()) }) {
			ordinary = append(ordinary, p)
		}
	}
	h := &propagation{records: f.records, processStarts: f.started}
	for _, o := range played {
		if o.isolatedRegion >= 0 {
			h.isolations = append(h.isolations, o)
		}
	}
	result.Started = f.measureStart()
	result.List, result.Settings = h.measure(ofResource(List, ordinary), f.members), h.measure(ofResource(Settings, ordinary), f.members)
	for _, o := range played {
		result.Faults = append(result.Faults, f.measureFault(h, o, published))
	}
	result.Violations = f.findViolations(published)
	for _, c := range f.clientPools {
		for how, n := range c.Outcomes() {
			result.Requests[how] += n
		}
	}
	return result
}

// recovery is how long after a trouble's end changes still count as its own.
func (p *Plan) recoveryTime() time.Duration {
	if p.Bounds.Recovered > 0 {
		return p.Bounds.Recovered
	}
	return defaultRecovery
}

// covers tells whether a change was published while a trouble could hold it up.
func (o *faultRun) affects(p Publication, recovery time.Duration) bool {
	return p.At.After(o.begin.Add(-faultMargin)) && p.At.Before(o.end.Add(recovery))
}

// of are the changes of one resource.
func ofResource(r Resource, some []Publication) (list []Publication) {
	for _, p := range some {
		if p.Resource == r {
			list = append(list, p)
		}
	}
	return list
}

// measureTrouble sums up one trouble: what was published in it, and the first change after its end.
func (f *fleet) measureFault(h *propagation, o *faultRun, published []Publication) FaultDelays {
	var during, after []Publication
	for _, p := range published {
		if o.affects(p, faultMargin) {
			during = append(during, p)
		}
		if p.Resource == List && len(after) == 0 && !p.At.Before(o.end) {
			after = append(after, p)
		}
	}
	var reached []*member
	for _, m := range f.members {
		if m.region != o.isolatedRegion {
			reached = append(reached, m)
		}
	}
	return FaultDelays{Description: o.description, At: o.begin.Sub(f.timeline.began).Seconds(), List: h.measure(ofResource(List, during), reached),
		Settings: h.measure(ofResource(Settings, during), reached), Recovered: h.measure(after, f.members), CorruptedAnswers: o.corruptedAnswers}
}

// measureStart sums up how long members took from their first start until they had list and settings.
func (f *fleet) measureStart() DelaySummary {
	var times []time.Duration
	never := 0
	for _, m := range f.members {
		had, whole := time.Time{}, true
		for _, r := range []Resource{List, Settings} {
			list := f.records.of(m.name, r)
			i := slices.IndexFunc(list, func(t VersionRecord) bool { return t.Complete })
			if whole = whole && i >= 0; whole && list[i].At.After(had) {
				had = list[i].At
			}
		}
		if !whole {
			never++
			continue
		}
		times = append(times, had.Sub(f.started[m.name][0]))
	}
	return summarizeDelays(0, times, never)
}

// measureSpent sums up what the processes spent, by phase.
func (f *fleet) measureCosts(result *Result, s *sampler, phases []time.Time, played []*faultRun) {
	starting, started, calm, over := phases[0], phases[1], phases[2], phases[3]
	trouble := over
	if len(played) > 0 {
		trouble = played[0].begin
	}
	members := map[string]int{}
	for _, m := range f.members {
		if !m.real {
			members[f.hostProcesses[m.host].name]++
		}
	}
	per := func(process string) int { return max(1, members[process]) }
	phase := func(from, to time.Time) map[role]RoleCost {
		by := map[role]RoleCost{}
		for _, r := range []role{roleAuthority, roleRelay, roleCoordinator, roleHost} {
			by[r] = s.roleCost(r, from, to, per)
		}
		return by
	}
	result.Starting, result.Undisturbed, result.DuringFaults = phase(starting, started), phase(calm, trouble), phase(trouble, over)
	result.Machine = map[string]MachineLoad{"starting": s.machineLoad(starting, started), "calm": s.machineLoad(calm, trouble), "troubled": s.machineLoad(trouble, over)}
	if real, hollow := result.Undisturbed[roleCoordinator], result.Undisturbed[roleHost]; f.plan.Bounds.CostRatio > 0 && real.CPU > 0 && real.KBPerS > 0 {
		result.Ratio = &Ratio{CPU: hollow.CPU / real.CPU, Bytes: hollow.KBPerS / real.KBPerS}
	}
}
