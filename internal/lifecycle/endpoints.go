package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// pollScheduleStream selects a random stream for the poll schedule that differs from other streams of the same seed.
const pollScheduleStream = 0x70616365

// newEndpointSource creates the source of the platform's endpoint list: relays if the distribution file says so, else
// discovery. Either source starts from the list that chooseFirstList returns.
func (p *process) newEndpointSource(cfg *core.Config) {
	p.openStore()
	first := p.chooseFirstList()
	cfg.PolledSource = platform.Source
	if p.store != nil {
		cfg.OnCheckpoint = p.store.SetCheckpoint
	}
	if p.Distribution.Takes(config.ResourceEndpoints) {
		p.relayedList = platform.NewRelayedList(first.List)
		return
	}
	p.discovery = platform.NewDiscovery(p.Platform.Discovery, p.Platform.KnownList)
	if first.inherited {
		p.discovery.Inherit(first.service, first.List, first.record)
	}
	p.discovery.Schedule = &backoff.Schedule{FleetSize: p.Settings.Coordinators, ListMaxAge: p.Settings.ListMaxAge,
		UsesAgent: p.ListPushed, Rand: rand.New(rand.NewPCG(p.Seed, pollScheduleStream))}
	p.discovery.Grace = p.Settings.DrainGrace
	cfg.Subscribe = p.discovery.Subscribe
}

// runSources starts the sources of endpoints and settings.
func (p *process) runSources(ctx context.Context) {
	update := func(kind scatter.UpdateKind, endpoints []core.Endpoint) {
		p.coordinator.UpdateEndpoints(platform.Source, kind, endpoints)
	}
	if p.discovery != nil {
		p.discovery.Listed, p.discovery.Clock = update, p.clock
		p.discovery.Leased = func(expires time.Duration) { p.coordinator.SetListExpiry(platform.Source, expires) }
		if p.listExchange != nil {
			p.discovery.RecordChanged = p.listExchange.Changed
			go p.listExchange.Run(ctx, p.discovery)
		}
		go p.discovery.Run(ctx)
	}
	if p.relayedList != nil {
		p.relayedList.Listed = update
		p.relayedList.Part = func(endpoints []core.Endpoint) {
			p.coordinator.UpdateEndpointsPartially(platform.Source, endpoints)
		}
		p.followEndpoints(ctx)
	}
	if p.Inventory != nil {
		p.followInventory(ctx)
	}
	if p.Distribution.Takes(config.ResourceSettings) {
		p.followSettings(ctx)
	}
}

// newFollower returns a follower that reads a resource from the relays of the distribution file.
func (p *process) newFollower(c distribution.Config) *distribution.Follower {
	c = p.Distribution.Follower(c)
	c.Rand = rand.New(rand.NewPCG(p.Seed, rand.Uint64()))
	return distribution.New(c)
}

// followEndpoints starts a follower that keeps the endpoint list up to date from the relays.
func (p *process) followEndpoints(ctx context.Context) {
	apply := func(u distribution.Update) {
		p.relayedList.Apply(u)
		if u.SnapshotCompleted {
			slog.Info(logmsg.EndpointListInForce, "version", versionText(u.Slice.Version), logmsg.KeySource, u.Source)
		}
		if u.Complete {
			logInForce(distribution.Endpoints, u.Slice.Version)
		}
	}
	f := p.newFollower(distribution.Config{Path: distribution.Endpoints, KnownNames: p.relayedList.Known(),
		Check: p.relayedList.Check, Apply: apply})
	go f.Run(ctx)
}

// logInForce logs that a version of a resource is in force in this process from now on.
func logInForce(path distribution.Path, v versionlog.Version) {
	slog.Info(logmsg.VersionInForce, logmsg.KeyResource, path.ResourceName(),
		logmsg.KeyEpoch, v.Epoch, logmsg.KeyIndex, v.Index, logmsg.KeyInForceAt, time.Now().UnixMilli())
}

// versionText formats a version for logs as epoch/index.
func versionText(v versionlog.Version) string { return fmt.Sprintf("%d/%d", v.Epoch, v.Index) }
