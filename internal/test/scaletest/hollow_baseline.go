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
	// listMaxAge is the settings' ask_every_us in a run: how old an endpoint list may get before discovery is polled
	// again.
	listMaxAge = 10 * time.Second
	// pollStream tells the random draws of polls from others with a member's ordinal.
	pollStream = 0x70616365
)

// followDiscovery polls discovery as a coordinator without distribution does, until ctx ends.
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

// newestSequence is the sequence number of the newest change among some endpoints: changes carry theirs as the
// instant of the endpoint's status, in milliseconds.
func newestSequence(endpoints []core.Endpoint) (sequence int64) {
	for _, e := range endpoints {
		sequence = max(sequence, e.StartedAt.Milliseconds())
	}
	return sequence
}
