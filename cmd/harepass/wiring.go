package main

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
	"harepass/internal/inventory"
	"harepass/internal/loadshed"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
)

// This file puts a coordinator together.

// start builds the owner with its callers, sources of nodes and fronts, and sets all going.
func (p *program) start(ctx context.Context) error {
	cfg := core.Config{Seed: p.seed, Settings: p.settings, Limits: p.coreLimits(), Clock: p.clock,
		Callers: map[string]core.Caller{}, Subscribe: func() {}, PolledSource: inventory.Source}
	api := p.nodeCallers(&cfg)
	if p.overload != nil {
		p.watch = loadshed.New(p.overload.control(p.settings, p.limits, p.config != nil), p.clock)
		cfg.Admitter = p.watch
	}
	if p.config != nil {
		p.nodeSource(&cfg)
	}
	owner, err := core.New(cfg)
	if err != nil {
		return usageError{err}
	}
	p.owner, p.frames.Reporter = owner, owner
	if api != nil {
		api.Reporter = owner
	}
	if err := p.tellOwner(ctx); err != nil {
		return err
	}
	go owner.Run() // its first turn has the lists and who is out of them
	if p.watch != nil {
		p.watch.RelieveMemory, p.watch.TickElapsed, p.watch.DescriptorFraction = owner.RelieveMemory, owner.TickElapsed, p.descriptors
		go p.watch.Run(ctx)
	}
	p.runSources(ctx)
	if err := p.fronts(); err != nil {
		return err
	}
	p.serveFronts()
	return nil
}

// nodeCallers makes the callers of nodes: frames always, and where there is an OpenSearch front also its nodes, which are
// returned.
func (p *program) nodeCallers(cfg *core.Config) (api *opensearch.Caller) {
	p.frames = &platform.Caller{CallsPerConn: p.caps.CallsPerConn, MaxConns: p.limits.nodes(), ConnectTimeout: p.caps.ConnectTimeout,
		ResponseTimeout: p.quietTime(), KeepAlive: p.caps.KeepAlive}
	cfg.Callers[platform.Scheme] = p.frames
	p.closers = append(p.closers, p.frames.Close)
	if p.search == nil {
		return nil
	}
	p.frames.MaxConns = max(1, p.frames.MaxConns/2)
	api = &opensearch.Caller{Config: p.search, MaxConns: p.frames.MaxConns, ConnectTimeout: p.caps.ConnectTimeout, KeepAlive: p.caps.KeepAlive}
	cfg.Callers[opensearch.Scheme] = api
	if cfg.TwoPhaseClasses = p.search.TwoPhaseClasses(); len(cfg.TwoPhaseClasses) > 0 {
		cfg.CacheBytes, cfg.TwoPhaseSchemes = p.limits.retained(), map[string]bool{opensearch.Scheme: true}
		cfg.Planner = twophase.New(cfg.CacheBytes)
	}
	p.closers = append(p.closers, api.Close)
	return api
}

// nodeSource makes where the platform's nodes are told of: relays where the operators' file says so, else discovery.
func (p *program) nodeSource(cfg *core.Config) {
	known, from := p.takeOver()
	cfg.PolledSource = platform.Source
	if p.staff != nil {
		cfg.OnCheckpoint = p.staff.SetCheckpoint
	}
	if p.distribution.takes(resourceNodes) {
		p.distributed = platform.NewRelayedList(known)
		return
	}
	if from != p.config.Discovery {
		known = platform.List{} // its version means nothing there, so discovery is asked for all of it
	}
	p.disc = platform.NewDiscovery(p.config.Discovery, known)
	p.disc.Schedule = &backoff.Schedule{FleetSize: p.settings.Coordinators, ListMaxAge: p.settings.ListMaxAge, UsesAgent: p.pushed,
		Rand: rand.New(rand.NewPCG(p.seed, scheduleStream))}
	p.disc.Grace = p.settings.DrainGrace
	cfg.Subscribe = p.disc.Subscribe
}

// scheduleStream keeps the schedule's draws apart from others of the same seed.
const scheduleStream = 0x70616365

// tellOwner gives the owner what is known before it runs: lists, who is out of them by hand, what was learned.
func (p *program) tellOwner(ctx context.Context) error {
	if p.inventory != nil {
		p.owner.UpdateEndpoints(inventory.Source, scatter.FullUpdate, p.hosts)
	}
	if p.config != nil {
		p.owner.UpdateEndpoints(platform.Source, scatter.CachedUpdate, p.known)
	}
	if p.staff == nil {
		return nil
	}
	if m, ok := p.staff.Checkpoint(); ok {
		p.owner.Restore(m)
	}
	return p.openDoor(ctx)
}

// keepList keeps the list of nodes for a process that takes over.
func (p *program) keepList(changed func()) *platform.ListCopy {
	if p.distributed != nil {
		return p.distributed.KeepCopy(changed)
	}
	return p.disc.KeepCopy(changed)
}

// runSources has nodes and settings told.
func (p *program) runSources(ctx context.Context) {
	listed := func(scope scatter.UpdateKind, nodes []core.Endpoint) {
		p.owner.UpdateEndpoints(platform.Source, scope, nodes)
	}
	if p.disc != nil {
		p.disc.Listed, p.disc.Clock = listed, p.clock
		p.disc.Leased = func(expires time.Duration) { p.owner.SetListExpiry(platform.Source, expires) }
		go p.disc.Run(ctx)
	}
	if p.distributed != nil {
		p.distributed.Listed = listed
		p.distributed.Part = func(nodes []core.Endpoint) { p.owner.UpdateEndpointsPartially(platform.Source, nodes) }
		p.followNodes(ctx)
	}
	if p.distribution.takes(resourceSettings) {
		p.followSettings(ctx)
	}
}

// fronts opens the sockets for clients.
func (p *program) fronts() error {
	if p.search != nil {
		front := &opensearch.Front{Config: p.search, Coordinator: p.owner, Clock: p.clock, Version: version}
		if err := p.listen(p.search.Listen, &http1.Server{Handler: front.Handle, ErrorAnswer: opensearch.ErrorResponse,
			Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: apiBody}}); err != nil {
			return err
		}
	}
	if p.config == nil {
		return nil
	}
	front := &platform.Front{Coordinator: p.owner, Clock: p.clock}
	return p.listen(p.config.Listen, &http1.Server{Handler: front.Handle, Limits: http1.DefaultLimits})
}

// serveFronts shares the descriptors out among the fronts and takes clients.
func (p *program) serveFronts() {
	for _, s := range p.servers {
		s.MaxConns = max(1, p.clients()/len(p.servers))
		s.Capacity = func() int { return max(1, p.room()/len(p.servers)) }
		s.MaxIdle = max(1, p.limits.idle()/len(p.servers))
	}
	p.frames.OnDial(p.makeRoom)
	for i, s := range p.servers {
		go func() {
			if p.socket > 0 { // who knocks meanwhile waits, or is another process's
				<-p.owner.Started()
			}
			s.Serve(p.listens[i])
		}()
	}
}
