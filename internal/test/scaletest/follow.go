package scaletest

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/failover"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// follower is what a member follows a resource with; apply takes what changes.
func (m *hollow) follower(resource distribution.Path, check func([]versionlog.Entry) error, apply func(distribution.Update)) *distribution.Follower {
	cfg := distribution.Config{Path: resource, Locality: failover.Locality{Zone: m.Zone, Region: m.Region}, Check: check, Apply: apply,
		Heartbeat: m.Heartbeat, Dial: m.host.dial, Rand: rand.New(rand.NewPCG(uint64(m.Ordinal), uint64(len(resource))))}
	for _, s := range m.Sources {
		cfg.Sources = append(cfg.Sources, failover.Source{Address: s.Address, Locality: failover.Locality{Zone: s.Zone, Region: s.Region}})
	}
	return distribution.New(cfg)
}

// followList follows the list as a coordinator does, and hands it to the module where there is one.
func (m *hollow) followList(ctx context.Context) {
	nodes := platform.NewRelayedList(platform.List{})
	nodes.Listed = func(scope scatter.UpdateKind, list []core.Endpoint) {
		if m.coordinator != nil {
			m.coordinator.UpdateEndpoints(platform.Source, scope, list)
		}
	}
	nodes.Part = func(list []core.Endpoint) {
		if m.coordinator != nil {
			m.coordinator.UpdateEndpointsPartially(platform.Source, list)
		}
	}
	m.follower(distribution.Endpoints, nodes.Check, func(u distribution.Update) {
		nodes.Apply(u)
		m.record(List, u, 0, false)
	}).Run(ctx)
}

// followSettings follows the settings: taken over whole by the module, or refused whole.
func (m *hollow) followSettings(ctx context.Context) {
	m.follower(distribution.Settings, nil, func(u distribution.Update) {
		for _, e := range u.Entries {
			if number, half, ok := m.applySettings(e); ok {
				m.record(Settings, u, number, half)
			}
		}
	}).Run(ctx)
}

// readSettings reads a version of the settings.
func readSettings(e versionlog.Entry) (scatter.Settings, wire.Limits, error) {
	var entry struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(e.Body, &entry); err != nil {
		return scatter.Settings{}, wire.Limits{}, err
	}
	return wire.JSONSettings(entry.Settings)
}

// configure takes a version of the settings over; ok is false where it is refused.
func (m *hollow) applySettings(e versionlog.Entry) (number int64, half, ok bool) {
	settings, caps, err := readSettings(e)
	if err != nil {
		return 0, false, false
	}
	settings.Coordinators, settings.Ordinal, settings.Subscribe = m.FleetSize, m.Ordinal+1, true
	if m.coordinator != nil && m.coordinator.Configure(settings, core.Limits{MaxOpen: caps.MaxOpen, Shards: caps.Shards}) != nil {
		return 0, false, false
	}
	number, whole := decodeSettingsNumber(settings.RetryAfter, caps.KeepAlive)
	return number, !whole, true
}

// record notes what is in force. A reader in the middle of several slices is not whole: what has moved to later indexes is
// still to come.
func (m *hollow) record(resource Resource, u distribution.Update, number int64, half bool) {
	m.host.record(VersionRecord{Member: m.Name, Resource: resource, Epoch: u.Slice.Version.Epoch, Index: u.Slice.Version.Index, Sequence: number,
		At: time.Now(), Complete: u.Complete, Mixed: half})
}
