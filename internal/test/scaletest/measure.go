package scaletest

import (
	"slices"
	"time"
)

// measure sums the records up.
func (f *fleet) measure(played []*occurrence) *Result {
	result := &Result{Plan: f.plan.Name, Requests: map[string]int{}, Parts: f.nodes.parts,
		Sizes: Sizes{Coordinators: f.plan.Coordinators, Real: f.plan.Real, Modules: f.plan.Modules, Entries: f.plan.Entries, Nodes: f.plan.Nodes,
			Control: 1 + len(f.relays), Processes: len(f.processes()), Regions: f.plan.Regions, Zones: f.plan.Zones}}
	var published, ordinary []Publication
	for _, p := range f.publisher.published() {
		if p.Index == 0 {
			result.Unseen++
			continue
		}
		published = append(published, p)
		if !slices.ContainsFunc(played, func(o *occurrence) bool { return o.covers(p, f.plan.recovery()) }) {
			ordinary = append(ordinary, p)
		}
	}
	h := &held{records: f.records, starts: f.started}
	for _, o := range played {
		if o.region >= 0 {
			h.cuts = append(h.cuts, o)
		}
	}
	result.Started = f.measureStart()
	result.List, result.Settings = h.measure(of(List, ordinary), f.members), h.measure(of(Settings, ordinary), f.members)
	for _, o := range played {
		result.Troubles = append(result.Troubles, f.measureTrouble(h, o, published))
	}
	result.Broken = f.broken(published)
	for _, c := range f.crowds {
		for how, n := range c.Outcomes() {
			result.Requests[how] += n
		}
	}
	return result
}

// recovery is how long after a trouble's end changes still count as its own.
func (p *Plan) recovery() time.Duration {
	if p.Must.Recovered > 0 {
		return p.Must.Recovered
	}
	return mostRecovery
}

// covers tells whether a change was published while a trouble could hold it up.
func (o *occurrence) covers(p Publication, recovery time.Duration) bool {
	return p.At.After(o.begin.Add(-margin)) && p.At.Before(o.end.Add(recovery))
}

// of are the changes of one resource.
func of(r Resource, some []Publication) (list []Publication) {
	for _, p := range some {
		if p.Resource == r {
			list = append(list, p)
		}
	}
	return list
}

// measureTrouble sums up one trouble: what was published in it, and the first change after its end.
func (f *fleet) measureTrouble(h *held, o *occurrence, published []Publication) TroubleTimes {
	var during, after []Publication
	for _, p := range published {
		if o.covers(p, margin) {
			during = append(during, p)
		}
		if p.Resource == List && len(after) == 0 && !p.At.Before(o.end) {
			after = append(after, p)
		}
	}
	var reached []*member
	for _, m := range f.members {
		if m.region != o.region {
			reached = append(reached, m)
		}
	}
	return TroubleTimes{What: o.what, At: o.begin.Sub(f.timeline.began).Seconds(), List: h.measure(of(List, during), reached),
		Settings: h.measure(of(Settings, during), reached), Recovered: h.measure(after, f.members), Spoilt: o.spoilt}
}

// measureStart sums up how long members took from their first start until they had list and settings.
func (f *fleet) measureStart() Measured {
	var times []time.Duration
	never := 0
	for _, m := range f.members {
		had, whole := time.Time{}, true
		for _, r := range []Resource{List, Settings} {
			list := f.records.of(m.name, r)
			i := slices.IndexFunc(list, func(t Taken) bool { return t.Whole })
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
	return measuredOf(0, times, never)
}

// measureSpent sums up what the processes spent, by phase.
func (f *fleet) measureSpent(result *Result, s *sampler, phases []time.Time, played []*occurrence) {
	starting, started, calm, over := phases[0], phases[1], phases[2], phases[3]
	trouble := over
	if len(played) > 0 {
		trouble = played[0].begin
	}
	members := map[string]int{}
	for _, m := range f.members {
		if !m.real {
			members[f.hosts[m.host].name]++
		}
	}
	per := func(process string) int { return max(1, members[process]) }
	phase := func(from, to time.Time) map[role]Spent {
		by := map[role]Spent{}
		for _, r := range []role{roleAuthority, roleRelay, roleCoordinator, roleHost} {
			by[r] = s.spent(r, from, to, per)
		}
		return by
	}
	result.Starting, result.Calm, result.Troubled = phase(starting, started), phase(calm, trouble), phase(trouble, over)
	result.Machine = map[string]MachineLoad{"starting": s.machine(starting, started), "calm": s.machine(calm, trouble), "troubled": s.machine(trouble, over)}
	if real, hollow := result.Calm[roleCoordinator], result.Calm[roleHost]; f.plan.Must.Ratio > 0 && real.CPU > 0 && real.KBPerS > 0 {
		result.Ratio = &Ratio{CPU: hollow.CPU / real.CPU, Bytes: hollow.KBPerS / real.KBPerS}
	}
}
