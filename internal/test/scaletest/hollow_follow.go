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

// newFollower returns a follower of a resource for a member. check may reject entries; apply receives the accepted
// ones.
func (m *hollow) newFollower(resource distribution.Path, check func([]versionlog.Entry) error,
	apply func(distribution.Update)) *distribution.Follower {
	config := distribution.Config{
		Path: resource, Locality: failover.Locality{Zone: m.Zone, Region: m.Region}, Check: check, Apply: apply,
		Heartbeat: m.Heartbeat, Dial: m.host.dial,
		// The length of the path separates the random numbers of a member's two followers.
		Rand: rand.New(rand.NewPCG(uint64(m.Ordinal), uint64(len(resource)))),
	}
	for _, s := range m.Sources {
		locality := failover.Locality{Zone: s.Zone, Region: s.Region}
		config.Sources = append(config.Sources, failover.Source{Address: s.Address, Locality: locality})
	}
	return distribution.New(config)
}

// followList follows the endpoint list until ctx ends, as a coordinator does, and passes it to the decision module if
// the member has one.
func (m *hollow) followList(ctx context.Context) {
	list := platform.NewRelayedList(platform.List{})
	list.Listed = func(kind scatter.UpdateKind, endpoints []core.Endpoint) {
		if m.coordinator != nil {
			m.coordinator.UpdateEndpoints(platform.Source, kind, endpoints)
		}
	}
	list.Part = func(endpoints []core.Endpoint) {
		if m.coordinator != nil {
			m.coordinator.UpdateEndpointsPartially(platform.Source, endpoints)
		}
	}
	m.newFollower(distribution.Endpoints, list.Check, func(u distribution.Update) {
		list.Apply(u)
		m.record(List, u, 0, false)
	}).Run(ctx)
}

// followSettings follows the settings until ctx ends. It records no version that applySettings rejects.
func (m *hollow) followSettings(ctx context.Context) {
	m.newFollower(distribution.Settings, nil, func(u distribution.Update) {
		for _, entry := range u.Entries {
			if number, consistent, ok := m.applySettings(entry); ok {
				m.record(Settings, u, number, !consistent)
			}
		}
	}).Run(ctx)
}

// parseSettings parses a version of the settings.
func parseSettings(entry versionlog.Entry) (scatter.Settings, wire.Limits, error) {
	var body struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(entry.Body, &body); err != nil {
		return scatter.Settings{}, wire.Limits{}, err
	}
	return wire.JSONSettings(body.Settings)
}

// applySettings puts a version of the settings in force and returns the results of decodeSettingsNumber for it. ok is
// false if the version cannot be parsed or the decision module rejects it.
func (m *hollow) applySettings(entry versionlog.Entry) (number int64, consistent, ok bool) {
	settings, limits, err := parseSettings(entry)
	if err != nil {
		return 0, false, false
	}
	settings.Coordinators, settings.Ordinal, settings.Subscribe = m.FleetSize, m.Ordinal+1, true
	if m.coordinator != nil {
		err = m.coordinator.Configure(settings, core.Limits{MaxOpen: limits.MaxOpen, Shards: limits.Shards})
	}
	if err != nil {
		return 0, false, false
	}
	number, consistent = decodeSettingsNumber(settings.RetryAfter, limits.KeepAlive)
	return number, consistent, true
}

// record records the version that is now in force. The version is complete only after the last of its slices: before
// that, entries that have moved to a higher index are still missing.
func (m *hollow) record(resource Resource, u distribution.Update, number int64, mixed bool) {
	version := u.Slice.Version
	m.host.record(VersionRecord{
		Member: m.Name, Resource: resource, Epoch: version.Epoch, Index: version.Index, Sequence: number,
		At: time.Now(), Complete: u.Complete, Mixed: mixed,
	})
}
