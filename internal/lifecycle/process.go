package lifecycle

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
	"harepass/internal/opensearch"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// process is a running coordinator.
type process struct {
	*config.Config // in force; a reload replaces some of it
	env            config.Environment
	version        string     // of the program, as the OpenSearch front reports it
	clock          core.Clock // of the coordinator and of everything that hands it instants

	coordinator *core.Coordinator // makes the decisions and owns the open queries
	frameCaller *platform.Caller  // the connections to replicas that speak frames
	shedder     *loadshed.Shedder // overload control; nil where it is off
	fronts      []front           // the listeners for clients, in the order in which they were opened
	apiFront    *opensearch.Front // nil where there is no OpenSearch front
	onStop      []func()          // what closes once the coordinator has stopped, in this order

	discovery       *platform.Discovery   // nil without the platform, and where relays give out the endpoint list
	relayedList     *platform.RelayedList // nil where no relay gives out the endpoint list
	relayedSettings relayedSettings       // the settings that relays give out, where they do
	store           *operator.Store       // stored state and maintenance; nil where there is no admin endpoint
}

// RunCoordinator serves by a configuration until a signal says to end, and drains then. version is that of the
// program.
func RunCoordinator(c *config.Config, env config.Environment, signals *Signals, clock core.Clock,
	version string) error {
	debug.SetMemoryLimit(config.HeapBytes(c.Limits.MemoryMB))
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	p := &process{Config: c, env: env, version: version, clock: clock}
	slog.Debug(logmsg.SettingsRead, logmsg.KeySlowStart, c.Settings.SlowStart.Duration,
		"limits", c.Limits, "protocol_limits", c.ProtocolLimits, "settings", c.Settings)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx); err != nil {
		return err
	}
	go logReady(p.coordinator, time.Now())
	go logCounters(ctx)
	p.handleEvents(signals)
	p.drain()
	logTotals()
	return nil
}

// handleEvents reloads at each signal to do so, and takes over the settings that relays give out, until a signal
// to end comes.
func (p *process) handleEvents(signals *Signals) {
	untilEnd(signals, p.relayedSettings.updates, p.reload, p.applySettingsUpdate)
}
