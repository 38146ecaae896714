package scaletest

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// baselineMaxWait is discovery's service time-out: a call that would wait longer fails.
	baselineMaxWait = 2 * time.Second
	// baselineWarmUp is how long members have to open their watches before changes are published.
	baselineStartTime = 8 * time.Second
	// baselineStream tells the random draws of a baseline's changes from others with the plan's seed.
	baselineStream = 0x62617365
)

// playBaseline plays the fleet without distribution: every coordinator is hollow and polls one discovery, for which a
// call with a change takes callDuration. All have the endpoint list at their start. Changes are published in the
// first half of the play, and are measured until its end.
func playBaseline(ctx context.Context, plan *Plan, config Config, callDuration time.Duration) (
	result BaselineResult, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hollowPlan := *plan
	hollowPlan.RealCoordinators, hollowPlan.Replicas, hollowPlan.Clients = 0, 0, 0
	f, err := newFleet(config, &hollowPlan)
	if err != nil {
		return result, err
	}
	defer func() {
		cancel()
		err = errors.Join(err, f.close())
	}()
	registry := f.publisher.registry
	registry.CallDuration, registry.MaxWait = callDuration, baselineMaxWait
	sampler := newSampler(f)
	f.background.Go(func() { sampler.run(ctx) })
	f.timeline.note("without distribution, %v a call", callDuration)
	began, err := f.playPolls(ctx)
	if err != nil {
		return result, err
	}
	over := time.Now()
	delays := &propagation{records: f.records, processStarts: f.started}
	result.CallDuration = Seconds(callDuration)
	result.List = delays.measure(f.publisher.published(), f.members)
	result.ServedCalls, result.FailedCalls = registry.CallCounts()
	perHost := (plan.Coordinators + plan.Hosts - 1) / plan.Hosts
	result.Cost = sampler.roleCost(roleHost, began, over, func(string) int { return perHost })
	result.KBPerS = result.Cost.KBPerS * float64(plan.Coordinators)
	return result, nil
}

// playPolls starts the hosts, publishes the changes and returns when the baseline's duration has passed since it began.
func (f *fleet) playPolls(ctx context.Context) (began time.Time, err error) {
	for host := range f.hostProcesses {
		if err := f.startHost(host, f.baselineMemberSpec); err != nil {
			return began, err
		}
	}
	if err := f.wait(ctx, baselineStartTime); err != nil {
		return began, err
	}
	began = time.Now()
	if err := f.changeEndpointsFor(ctx, f.plan.Baseline.Duration/2); err != nil {
		return began, err
	}
	return began, f.waitUntil(ctx, began.Add(f.plan.Baseline.Duration))
}

// baselineMemberSpec describes a member that polls discovery itself and has no decision module.
func (f *fleet) baselineMemberSpec(m *member) MemberSpec {
	spec := f.memberSpec(m)
	spec.Module, spec.DiscoveryAddress, spec.KnownIndex = false, f.discoveryAddress, f.publisher.registry.Index()
	return spec
}

// changeEndpointsFor changes endpoints at the plan's interval for d.
func (f *fleet) changeEndpointsFor(ctx context.Context, d time.Duration) error {
	rng := rand.New(rand.NewPCG(f.plan.Seed, baselineStream))
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.restartEndpoint(rng)
		if err := f.wait(ctx, max(pollInterval, f.plan.Changes.EndpointInterval)); err != nil {
			return err
		}
	}
	return nil
}
