package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/test/fake"
)

const (
	// drainDuration is how long a drained replica takes no parts.
	drainDuration = 5 * time.Second
	// changesStream tells the random draws of ordinary changes from others with the plan's seed.
	changesStream = 0x6368616e6765
)

// startChanges publishes the plan's ordinary changes until ctx ends. Each kind of change has a goroutine and random
// draws of its own.
func (f *fleet) startChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, changesStream))
	endpointRand := rand.New(rand.NewPCG(rng.Uint64(), 1))
	drainRand := rand.New(rand.NewPCG(rng.Uint64(), 2))
	f.repeat(ctx, f.plan.Changes.EndpointInterval, func() { f.restartEndpoint(endpointRand) })
	f.repeat(ctx, f.plan.Changes.SettingsInterval, func() {
		if err := f.changeSettings(); err != nil {
			f.timeline.note("settings not changed: %v", err)
		}
	})
	f.repeat(ctx, f.plan.Changes.DrainInterval, func() { f.drain(ctx, drainRand) })
}

// repeat starts a goroutine that acts at an interval until ctx ends; an interval of 0 is never.
func (f *fleet) repeat(ctx context.Context, interval time.Duration, act func()) {
	if interval <= 0 {
		return
	}
	f.background.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				act()
			case <-ctx.Done():
				return
			}
		}
	})
}

// restartEndpoint publishes that the process of some endpoint that does not answer has been started anew.
func (f *fleet) restartEndpoint(rng *rand.Rand) {
	unanswering := f.plan.Endpoints - f.plan.Replicas
	if unanswering == 0 {
		return
	}
	i := f.plan.Replicas + rng.IntN(unanswering)
	if f.publisher.status(i) == fake.StatusInService {
		f.publisher.publishStatus(fake.StatusInService, i)
	}
}

// drain takes some replica that answers out of service for drainDuration, or until ctx ends. The replica itself goes
// on.
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

// changeSettings publishes the next version of the settings.
func (f *fleet) changeSettings() error {
	f.mu.Lock()
	f.settingsNumber++
	number := f.settingsNumber
	f.mu.Unlock()
	f.publisher.publishSettings(number)
	return f.reloadSettings()
}

// publishProbe publishes a change of the endpoint list, whose delay shows when members can be reached.
func (f *fleet) publishProbe() {
	f.publisher.publishStatus(fake.StatusInService, f.plan.Endpoints-1)
}
