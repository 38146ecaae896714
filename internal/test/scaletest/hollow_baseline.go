package scaletest

import (
	"context"
	"math/rand/v2"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/backoff"
	"harepass/internal/decide/scatter"
	"harepass/internal/platform"
)

const (
	// listMaxAge is the value of ask_every_us in a run's settings: the age at which a member polls discovery for a new
	// endpoint list.
	listMaxAge = 10 * time.Second
	// pollStream separates the random numbers of polls from other streams that are seeded with a member's ordinal.
	pollStream = 0x70616365
)

// followDiscovery polls discovery until ctx ends, as a coordinator without distribution does.
func (m *hollow) followDiscovery(ctx context.Context) {
	known := platform.List{Index: m.KnownIndex, Endpoints: []platform.Endpoint{{Name: "known"}}}
	discovery := platform.NewDiscovery(m.DiscoveryAddress, known)
	discovery.Dial = m.host.dial
	discovery.Schedule = &backoff.Schedule{
		FleetSize: m.FleetSize, ListMaxAge: listMaxAge,
		Rand: rand.New(rand.NewPCG(uint64(m.Ordinal), pollStream)),
	}
	discovery.Listed = func(kind scatter.UpdateKind, endpoints []core.Endpoint) {
		if kind == scatter.FailedUpdate {
			return
		}
		if m.coordinator != nil {
			m.coordinator.UpdateEndpoints(platform.Source, kind, endpoints)
		}
		m.host.record(VersionRecord{
			Member: m.Name, Resource: List, Sequence: newestSequence(endpoints), At: time.Now(), Complete: true,
		})
	}
	discovery.Subscribe()
	discovery.Run(ctx)
}

// newestSequence returns the sequence number of the newest change among endpoints. The publisher stores the sequence
// number of a change as the start time of the endpoint's status, in milliseconds.
func newestSequence(endpoints []core.Endpoint) (sequence int64) {
	for _, e := range endpoints {
		sequence = max(sequence, e.StartedAt.Milliseconds())
	}
	return sequence
}
