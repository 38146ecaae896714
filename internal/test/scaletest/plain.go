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
func (m *hollow) followPlain(ctx context.Context) {
	d := platform.NewDiscovery(m.Plain, platform.List{Index: m.Known, Endpoints: []platform.Endpoint{{Name: "known"}}})
	d.Dial = m.host.dial
	d.Schedule = &backoff.Schedule{FleetSize: m.Fleet, ListMaxAge: listMaxAge, Rand: rand.New(rand.NewPCG(uint64(m.No), 0x70616365))}
	d.Listed = func(scope scatter.UpdateKind, nodes []core.Endpoint) {
		if scope == scatter.FailedUpdate {
			return
		}
		if m.owner != nil {
			m.owner.UpdateEndpoints(platform.Source, scope, nodes)
		}
		m.host.record(Taken{Member: m.Name, Resource: List, Mark: newestMark(nodes), At: time.Now(), Whole: true})
	}
	d.Subscribe()
	d.Run(ctx)
}

// newestMark is the mark of the newest change among some nodes.
func newestMark(nodes []core.Endpoint) (mark int64) {
	for _, n := range nodes {
		mark = max(mark, n.StartedAt.Milliseconds())
	}
	return mark
}
