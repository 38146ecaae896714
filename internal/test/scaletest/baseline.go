package scaletest

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// baselinePatience is what discovery is taken to let a call wait for its turn before it fails it.
	baselinePatience = 2 * time.Second
	// baselineStart is how long members have to open their watches, before changes are published.
	baselineStart = 8 * time.Second
)

// playBaseline plays the fleet as it is without distribution: every coordinator is a hollow one that asks one discovery, to
// which a call that has something to tell costs a turn. All know the list at their start. The changes of the first half of
// the play count, until its end.
func playBaseline(ctx context.Context, plan *Plan, c Config, turn time.Duration) (result BaselineTime, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	alone := *plan
	alone.Real, alone.Nodes, alone.Clients = 0, 0, 0
	f, err := newFleet(c, &alone)
	if err != nil {
		return result, err
	}
	defer func() {
		cancel()
		err = errors.Join(err, f.close())
	}()
	f.publisher.registry.CallDuration, f.publisher.registry.MaxWait = turn, baselinePatience
	sampler := newSampler(f)
	go sampler.run(ctx)
	f.timeline.note("without distribution, %v a call", turn)
	for i := range f.hosts {
		if err := f.startPlainHost(i); err != nil {
			return result, err
		}
	}
	if err := f.pause(ctx, baselineStart); err != nil {
		return result, err
	}
	began := time.Now()
	if err := f.changeFor(ctx, plan.Baseline.Lasts/2); err != nil {
		return result, err
	}
	if err := f.pauseUntil(ctx, began.Add(plan.Baseline.Lasts)); err != nil {
		return result, err
	}
	over := time.Now()
	h := &held{records: f.records, starts: f.started}
	result.Turn, result.List = Seconds(turn), h.measure(f.publisher.published(), f.members)
	result.Answered, result.Failed = f.publisher.registry.CallCounts()
	perHost := (plan.Coordinators + plan.Hosts - 1) / plan.Hosts
	result.Spent = sampler.spent(roleHost, began, over, func(string) int { return perHost })
	result.KBPerS = result.Spent.KBPerS * float64(plan.Coordinators)
	return result, nil
}

// startPlainHost starts a host whose members follow discovery themselves.
func (f *fleet) startPlainHost(i int) error {
	spec := HostSpec{}
	var err error
	if spec.Settings, err = numbered(f.Settings, f.plan, 0); err != nil {
		return err
	}
	for _, m := range f.members {
		if m.host == i {
			f.begun(m.name)
			s := f.memberSpec(m)
			s.Module, s.Plain, s.Known = false, f.discovery, f.publisher.registry.Index()
			spec.Members = append(spec.Members, s)
		}
	}
	return f.runHost(i, spec)
}

// changeFor changes entries at the plan's rate for a while.
func (f *fleet) changeFor(ctx context.Context, d time.Duration) error {
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x62617365))
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.changeEntry(rng)
		if err := f.pause(ctx, max(look, f.plan.Changes.Entries)); err != nil {
			return err
		}
	}
	return nil
}
