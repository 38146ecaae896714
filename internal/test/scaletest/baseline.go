package scaletest

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// baselineMaxWait is the service time-out of discovery: a call that would wait longer for service fails.
	baselineMaxWait = 2 * time.Second
	// baselineStartTime is how long members have to open their watches before changes are published.
	baselineStartTime = 8 * time.Second
	// baselineStream separates the random numbers of a baseline's changes from other streams with the plan's seed.
	baselineStream = 0x62617365
)

// runBaseline runs the fleet without distribution: every coordinator is hollow and polls the same discovery, which
// needs callDuration for each call that returns a change. All coordinators start with the endpoint list. Changes are
// published during the first half of the baseline's duration and measured until its end.
func runBaseline(ctx context.Context, plan *Plan, config Config, callDuration time.Duration) (
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
	f.timeline.logf("baseline without distribution started: %v per discovery call", callDuration)
	began, err := f.runBaselineFleet(ctx)
	if err != nil {
		return result, err
	}
	end := time.Now()
	delays := &propagation{records: f.records, processStarts: f.started}
	result.CallDuration = Seconds(callDuration)
	result.List = delays.measure(f.publisher.published(), f.members)
	result.ServedCalls, result.FailedCalls = registry.CallCounts()
	perHost := (plan.Coordinators + plan.Hosts - 1) / plan.Hosts
	result.Cost = sampler.roleCost(roleHost, began, end, func(string) int { return perHost })
	result.KBPerS = result.Cost.KBPerS * float64(plan.Coordinators)
	return result, nil
}

// runBaselineFleet starts the hosts, publishes changes from began on, and returns once the baseline's duration has
// passed since then.
func (f *fleet) runBaselineFleet(ctx context.Context) (began time.Time, err error) {
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

// baselineMemberSpec describes a member that polls discovery itself and does not run the decision module.
func (f *fleet) baselineMemberSpec(m *member) MemberSpec {
	spec := f.memberSpec(m)
	spec.Module, spec.DiscoveryAddress, spec.KnownIndex = false, f.discoveryAddress, f.publisher.registry.Index()
	return spec
}

// changeEndpointsFor publishes an endpoint change at the plan's interval, but at least pollInterval apart, for d.
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
