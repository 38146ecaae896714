package scaletest

import (
	"context"
	"encoding/json"
	"sync"

	"harepass/internal/core"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// hollow is a coordinator that follows the endpoint list and the settings, but has no clients and sends no parts.
type hollow struct {
	MemberSpec
	host        *host
	coordinator *core.Coordinator // nil without the decision module
}

// newHollow creates a hollow coordinator for a host. Its decision module, if any, starts with the given settings.
func newHollow(h *host, spec MemberSpec, settings json.RawMessage) (*hollow, error) {
	m := &hollow{MemberSpec: spec, host: h}
	if !spec.Module {
		return m, nil
	}
	parsed, limits, err := wire.JSONSettings(settings)
	if err != nil {
		return nil, err
	}
	parsed.Coordinators, parsed.Ordinal, parsed.Subscribe = spec.FleetSize, spec.Ordinal+1, true
	caller := &platform.Caller{
		CallsPerConn: limits.CallsPerConn, MaxConns: 1,
		ConnectTimeout: limits.ConnectTimeout, KeepAlive: limits.KeepAlive,
	}
	m.coordinator, err = core.New(core.Config{
		Seed: uint64(spec.Ordinal), Settings: parsed, Clock: core.SystemClock(),
		Callers:   map[string]core.Caller{platform.Scheme: caller},
		Subscribe: func() {}, PolledSource: platform.Source,
	})
	if err == nil {
		caller.Reporter = m.coordinator
	}
	return m, err
}

// run follows the endpoint list and the settings, or polls discovery for a member without distribution, until ctx ends.
// The decision module runs until the process exits.
func (m *hollow) run(ctx context.Context) {
	if m.coordinator != nil {
		go m.coordinator.Run()
	}
	if m.DiscoveryAddress != "" {
		m.followDiscovery(ctx)
		return
	}
	var following sync.WaitGroup
	following.Go(func() { m.followList(ctx) })
	following.Go(func() { m.followSettings(ctx) })
	following.Wait()
}
