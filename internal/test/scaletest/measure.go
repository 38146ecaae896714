package scaletest

import (
	"slices"
	"time"
)

const (
	// faultMargin is how long before a fault's beginning, and after its end, a change still counts as affected by the
	// fault.
	faultMargin = time.Second
	// defaultRecovery replaces Bounds.Recovered in a plan that does not set it.
	defaultRecovery = 30 * time.Second
)

// measure summarizes the run's records, except for costs.
func (f *fleet) measure(faults []*faultRun) *Result {
	result := &Result{Plan: f.plan.Name, Requests: map[string]int{}, Parts: f.replicas.parts(), Sizes: f.sizes()}
	var observed, undisturbed []Publication
	for _, change := range f.publisher.published() {
		if change.Index == 0 {
			result.UnobservedChanges++
			continue
		}
		observed = append(observed, change)
		affected := func(fault *faultRun) bool { return fault.affects(change, f.plan.recoveryTime()) }
		if !slices.ContainsFunc(faults, affected) {
			undisturbed = append(undisturbed, change)
		}
	}
	delays := &propagation{records: f.records, processStarts: f.started}
	for _, fault := range faults {
		if fault.isolatedRegion >= 0 {
			delays.isolations = append(delays.isolations, fault)
		}
	}
	result.Started = f.measureStart()
	result.List = delays.measure(filterByResource(List, undisturbed), f.members)
	result.Settings = delays.measure(filterByResource(Settings, undisturbed), f.members)
	for _, fault := range faults {
		result.Faults = append(result.Faults, f.measureFault(delays, fault, observed))
	}
	result.Violations = f.findViolations(observed)
	for _, pool := range f.clientPools {
		for outcome, count := range pool.Outcomes() {
			result.Requests[outcome] += count
		}
	}
	return result
}

// sizes returns the sizes of the run's fleet.
func (f *fleet) sizes() Sizes {
	return Sizes{
		Coordinators: f.plan.Coordinators, RealCoordinators: f.plan.RealCoordinators, Modules: f.plan.Modules,
		Endpoints: f.plan.Endpoints, Replicas: f.plan.Replicas,
		ControlProcesses: 1 + len(f.relays), Processes: len(f.processes()),
		Regions: f.plan.Regions, Zones: f.plan.Zones,
	}
}

// affects reports whether a change was published when the fault could delay it: at the earliest faultMargin before the
// fault's beginning, and at the latest the given duration after its end.
func (r *faultRun) affects(change Publication, after time.Duration) bool {
	return change.At.After(r.begin.Add(-faultMargin)) && change.At.Before(r.end.Add(after))
}

// filterByResource returns the changes of a resource.
func filterByResource(resource Resource, changes []Publication) (selected []Publication) {
	for _, change := range changes {
		if change.Resource == resource {
			selected = append(selected, change)
		}
	}
	return selected
}

// measureFault summarizes the delays of the changes that were published during a fault, and of the first endpoint list
// change after its end.
func (f *fleet) measureFault(delays *propagation, fault *faultRun, observed []Publication) FaultDelays {
	var during, after []Publication
	for _, change := range observed {
		if fault.affects(change, faultMargin) {
			during = append(during, change)
		}
		if change.Resource == List && len(after) == 0 && !change.At.Before(fault.end) {
			after = append(after, change)
		}
	}
	var reachable []*member
	for _, m := range f.members {
		if m.region != fault.isolatedRegion {
			reachable = append(reachable, m)
		}
	}
	return FaultDelays{
		Description: fault.description, At: fault.begin.Sub(f.timeline.began).Seconds(),
		List:             delays.measure(filterByResource(List, during), reachable),
		Settings:         delays.measure(filterByResource(Settings, during), reachable),
		Recovered:        delays.measure(after, f.members),
		CorruptedAnswers: fault.corruptedAnswers,
	}
}

// measureStart summarizes the time that members needed from their first start until they had complete versions of both
// resources.
func (f *fleet) measureStart() DelaySummary {
	var delays []time.Duration
	never := 0
	for _, m := range f.members {
		if at, ok := f.firstComplete(m); ok {
			delays = append(delays, at.Sub(f.started[m.name][0]))
		} else {
			never++
		}
	}
	return summarizeDelays(0, delays, never)
}

// firstComplete returns when a member first had complete versions of both resources. ok is false if it never did.
func (f *fleet) firstComplete(m *member) (at time.Time, ok bool) {
	for _, resource := range []Resource{List, Settings} {
		list := f.records.of(m.name, resource)
		i := slices.IndexFunc(list, func(r VersionRecord) bool { return r.Complete })
		if i < 0 {
			return time.Time{}, false
		}
		if list[i].At.After(at) {
			at = list[i].At
		}
	}
	return at, true
}

// measureCosts summarizes the resource usage of processes and of the machine in each phase. The phase of faults lasts
// from the first fault until Plan.Duration has passed.
func (f *fleet) measureCosts(result *Result, s *sampler, p phases, faults []*faultRun) {
	firstFault := p.end
	if len(faults) > 0 {
		firstFault = faults[0].begin
	}
	members := map[string]int{}
	for _, m := range f.members {
		if !m.real {
			members[f.hostProcesses[m.host].name]++
		}
	}
	membersOf := func(process string) int { return max(1, members[process]) }
	costs := func(from, to time.Time) map[role]RoleCost {
		byRole := map[role]RoleCost{}
		for _, r := range roles {
			byRole[r] = s.roleCost(r, from, to, membersOf)
		}
		return byRole
	}
	result.Starting = costs(p.starting, p.started)
	result.Undisturbed = costs(p.undisturbed, firstFault)
	result.DuringFaults = costs(firstFault, p.end)
	result.Machine = map[string]MachineLoad{
		phaseStarting:     s.machineLoad(p.starting, p.started),
		phaseUndisturbed:  s.machineLoad(p.undisturbed, firstFault),
		phaseDuringFaults: s.machineLoad(firstFault, p.end),
	}
	realCost, hollowCost := result.Undisturbed[roleCoordinator], result.Undisturbed[roleHost]
	if f.plan.Bounds.CostRatio > 0 && realCost.CPU > 0 && realCost.KBPerS > 0 {
		result.Ratio = &Ratio{CPU: hollowCost.CPU / realCost.CPU, Bytes: hollowCost.KBPerS / realCost.KBPerS}
	}
}
