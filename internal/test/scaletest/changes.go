package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/test/fake"
)

const (
	// drainDuration is how long a drained replica stays out of service.
	drainDuration = 5 * time.Second
	// changesStream separates the random numbers of ordinary changes from other streams with the plan's seed.
	changesStream = 0x6368616e6765
)

// startChanges publishes the plan's ordinary changes until ctx ends. Each kind of change has its own goroutine and
// its own random numbers.
func (f *fleet) startChanges(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.plan.Seed, changesStream))
	endpointRand := rand.New(rand.NewPCG(rng.Uint64(), 1))
	drainRand := rand.New(rand.NewPCG(rng.Uint64(), 2))
	f.repeat(ctx, f.plan.Changes.EndpointInterval, func() { f.restartEndpoint(endpointRand) })
	f.repeat(ctx, f.plan.Changes.SettingsInterval, func() {
		if err := f.changeSettings(); err != nil {
			f.timeline.logf("settings change failed: %v", err)
		}
	})
	f.repeat(ctx, f.plan.Changes.DrainInterval, func() { f.drain(ctx, drainRand) })
}

// repeat starts a goroutine that calls act at each interval until ctx ends. An interval of 0 starts none.
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

// restartEndpoint publishes a process restart of a random endpoint that does not answer. It does nothing if that
// endpoint is not in service.
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

// drain publishes a random replica as terminating for drainDuration, or until ctx ends. The replica itself continues
// to answer.
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

// changeSettings records the next version of the settings as published and has the authority read it.
func (f *fleet) changeSettings() error {
	f.mu.Lock()
	f.settingsNumber++
	number := f.settingsNumber
	f.mu.Unlock()
	f.publisher.publishSettings(number)
	return f.reloadSettings()
}

// publishProbe publishes a change of the last endpoint, whose delay shows when endpoint list changes reach the members.
func (f *fleet) publishProbe() {
	f.publisher.publishStatus(fake.StatusInService, f.plan.Endpoints-1)
}
