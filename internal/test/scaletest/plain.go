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

// listMaxAge is the settings' ask_every_us for the fleet without distribution.
const listMaxAge = 10 * time.Second

// followPlain follows discovery as a coordinator without distribution does.
func (m *hollow) followDiscovery(ctx context.Context) {
	d := platform.NewDiscovery(m.DiscoveryAddress, platform.List{Index: m.KnownIndex, Endpoints: []platform.Endpoint{{Name: "known"}}})
	d.Dial = m.host.dial
	d.Schedule = &backoff.Schedule{FleetSize: m.FleetSize, ListMaxAge: listMaxAge, Rand: rand.New(rand.NewPCG(uint64(m.Ordinal), 0x70616365))}
	d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
		if scope == scatter.FailedUpdate {
			return
		}
		if m.coordinator != nil {
			m.coordinator.UpdateEndpoints(platform.Source, scope, nodes)
		}
		m.host.record(VersionRecord{Member: m.Name, Resource: List, Sequence: newestSequence(nodes), At: time.Now(), Complete: true})
	}
	d.Subscribe()
	d.Run(ctx)
}

// newestMark is the mark of the newest change among some nodes.
func newestSequence(nodes []core.Endpoint) (mark int64) {
	for _, n := range nodes {
		mark = max(mark, n.StartedAt.Milliseconds())
	}
	return mark
}
