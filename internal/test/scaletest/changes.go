package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/test/fake"
)

// drainLasts is how long a drained node takes nothing, before it is back.
const drainDuration = 5 * time.Second

// disturb publishes the plan's ordinary changes until ctx ends.
func (f *fleet) startChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, 0x6368616e6765))
	every := func(d time.Duration, act func()) {
		if d <= 0 {
			return
		}
		go func() {
			ticks := time.NewTicker(d)
			defer ticks.Stop()
			for {
				select {
				case <-ticks.C:
					act()
				case <-ctx.Done():
					return
				}
			}
		}()
	}
	entries, drains := rand.New(rand.NewPCG(rng.Uint64(), 1)), rand.New(rand.NewPCG(rng.Uint64(), 2))
	every(f.plan.Changes.EndpointInterval, func() { f.restartEndpoint(entries) })
	every(f.plan.Changes.SettingsInterval, func() {
		if err := f.changeSettings(); err != nil {
			f.timeline.note("settings not changed: %v", err)
		}
	})
	every(f.plan.Changes.DrainInterval, func() { f.drain(ctx, drains) })
}

// changeEntry restarts a node that is only listed, as the list tells it.
func (f *fleet) restartEndpoint(rng *rand.Rand) {
	listed := f.plan.Endpoints - f.plan.Replicas
	if listed == 0 {
		return
	}
	i := f.plan.Replicas + rng.IntN(listed)
	if f.publisher.status(i) == fake.StatusInService {
		f.publisher.publishStatus(fake.StatusInService, i)
	}
}

// drain takes a node that answers out for a while, if only for the list.
func (f *fleet) drain(ctx context.Context, rng *rand.Rand) {
	if f.plan.Replicas == 0 {
		return
	}
	i := rng.IntN(f.plan.Replicas)
	if f.publisher.status(i) != fake.StatusInService {
		return
	}
	f.replicas.setAvailable(false, i)
	f.publisher.publishStatus(fake.StatusTerminating, i)
	select {
	case <-time.After(drainDuration):
	case <-ctx.Done():
	}
	if f.publisher.status(i) == fake.StatusTerminating {
		f.replicas.setAvailable(true, i)
		f.publisher.publishStatus(fake.StatusInService, i)
	}
}

// changeSettings publishes the next version.
func (f *fleet) changeSettings() error {
	f.mu.Lock()
	f.settingsNumber++
	number := f.settingsNumber
	f.mu.Unlock()
	f.publisher.publishSettings(number)
	return f.writeSettings(true)
}

// probe publishes a change of the list, to see when it is in force everywhere.
func (f *fleet) publishProbe() *Publication {
	return f.publisher.publishStatus(fake.StatusInService, f.plan.Endpoints-1)
}
