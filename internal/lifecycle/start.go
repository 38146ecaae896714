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

// start builds the coordinator with its callers, its sources of endpoints and its fronts, and sets all of them going.
// The coordinator has lists, maintenance and checkpoint before its first tick; listeners open last, so that no
// client is accepted by a process that cannot start.
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
	if err := p.restoreKnown(ctx); err != nil {
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

// restoreKnown gives the coordinator what is known before it runs: endpoint lists, maintenance and the checkpoint of
// the process before.
func (p *process) restoreKnown(ctx context.Context) error {
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

// runShedder starts overload control, where it is on.
func (p *process) runShedder(ctx context.Context) {
	if p.shedder == nil {
		return
	}
	p.shedder.RelieveMemory = p.coordinator.RelieveMemory
	p.shedder.TickElapsed = p.coordinator.TickElapsed
	p.shedder.DescriptorFraction = p.clientConnUse
	go p.shedder.Run(ctx)
}

// coreLimits is what the protocol and the time to the end allow the coordinator.
func (p *process) coreLimits() core.Limits {
	return core.Limits{MaxOpen: p.ProtocolLimits.MaxOpen, Shards: p.ProtocolLimits.Shards,
		DrainTimeout: newDrainSchedule(p.Settings.Classes).lastAnswerAfter}
}
