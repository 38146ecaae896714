package lifecycle

import (
	"context"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/loadshed"
	"harepass/internal/platform"
)

// start creates the coordinator with its callers, its sources of endpoints and its fronts, and starts all of them.
// The coordinator has endpoint lists, maintenance entries and checkpoint before its first tick. The fronts'
// listeners are opened last, so that a process that cannot start accepts no client.
func (p *process) start(ctx context.Context) error {
	cfg := core.Config{Seed: p.Seed, Settings: p.Settings, Limits: p.coreLimits(), Clock: p.clock,
		Callers: map[string]core.Caller{}, Subscribe: func() {}, PolledSource: inventory.Source}
	apiCaller := p.newReplicaCallers(&cfg)
	if p.Overload != nil {
		p.shedder = loadshed.New(p.Overload.Controller(p.Settings, p.Limits, p.Platform != nil), p.clock)
		cfg.Admitter = p.shedder
	}
	if p.Platform != nil {
		p.newEndpointSource(&cfg)
	}
	coordinator, err := core.New(cfg)
	if err != nil {
		return &config.InvalidError{Err: err}
	}
	p.coordinator, p.frameCaller.Reporter = coordinator, coordinator
	if apiCaller != nil {
		apiCaller.Reporter = coordinator
	}
	if err := p.loadInitialState(ctx); err != nil {
		return err
	}
	go coordinator.Run()
	p.runShedder(ctx)
	p.runSources(ctx)
	if err := p.openFronts(); err != nil {
		return err
	}
	p.serveFronts()
	return nil
}

// loadInitialState passes the known endpoint lists, and the maintenance entries and the checkpoint of other processes,
// to the coordinator before that runs. It opens the admin endpoint, if there is one.
func (p *process) loadInitialState(ctx context.Context) error {
	if p.Inventory != nil {
		p.coordinator.UpdateEndpoints(inventory.Source, scatter.FullUpdate, p.InventoryEndpoints)
	}
	if p.Platform != nil {
		p.coordinator.UpdateEndpoints(platform.Source, scatter.CachedUpdate, p.KnownEndpoints)
	}
	if p.store == nil {
		return nil
	}
	if checkpoint, ok := p.store.Checkpoint(); ok {
		p.coordinator.Restore(checkpoint)
	}
	return p.openAdminEndpoint(ctx)
}

// runShedder starts overload control if it is on.
func (p *process) runShedder(ctx context.Context) {
	if p.shedder == nil {
		return
	}
	p.shedder.RelieveMemory = p.coordinator.RelieveMemory
	p.shedder.TickElapsed = p.coordinator.TickElapsed
	p.shedder.DescriptorFraction = p.clientConnUse
	go p.shedder.Run(ctx)
}

// coreLimits returns the coordinator's limits, from the protocol's limits and the drain schedule.
func (p *process) coreLimits() core.Limits {
	return core.Limits{MaxOpen: p.ProtocolLimits.MaxOpen, Shards: p.ProtocolLimits.Shards,
		DrainTimeout: newDrainSchedule(p.Settings.Classes).lastAnswerAfter}
}
