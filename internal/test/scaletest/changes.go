package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/test/fake"
)

// drainLasts is how long a drained node takes nothing, before it is back.
const drainLasts = 5 * time.Second

// disturb publishes the plan's ordinary changes until ctx ends.
func (f *fleet) disturb(ctx context.Context) {
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
	every(f.plan.Changes.Entries, func() { f.changeEntry(entries) })
	every(f.plan.Changes.Settings, func() {
		if err := f.changeSettings(); err != nil {
			f.timeline.note("settings not changed: %v", err)
		}
	})
	every(f.plan.Changes.Drains, func() { f.drain(ctx, drains) })
}

// changeEntry restarts a node that is only listed, as the list tells it.
func (f *fleet) changeEntry(rng *rand.Rand) {
	listed := f.plan.Entries - f.plan.Nodes
	if listed == 0 {
		return
	}
	i := f.plan.Nodes + rng.IntN(listed)
	if f.publisher.status(i) == fake.StatusInService {
		f.publisher.change(fake.StatusInService, i)
	}
}

// drain takes a node that answers out for a while, if only for the list.
func (f *fleet) drain(ctx context.Context, rng *rand.Rand) {
	if f.plan.Nodes == 0 {
		return
	}
	i := rng.IntN(f.plan.Nodes)
	if f.publisher.status(i) != fake.StatusInService {
		return
	}
	f.nodes.takes(false, i)
	f.publisher.change(fake.StatusTerminating, i)
	select {
	case <-time.After(drainLasts):
	case <-ctx.Done():
	}
	if f.publisher.status(i) == fake.StatusTerminating {
		f.nodes.takes(true, i)
		f.publisher.change(fake.StatusInService, i)
	}
}

// changeSettings publishes the next version.
func (f *fleet) changeSettings() error {
	f.mu.Lock()
	f.number++
	number := f.number
	f.mu.Unlock()
	f.publisher.settings(number)
	return f.writeSettings(true)
}

// probe publishes a change of the list, to see when it is in force everywhere.
func (f *fleet) probe() *Publication {
	return f.publisher.change(fake.StatusInService, f.plan.Entries-1)
}
