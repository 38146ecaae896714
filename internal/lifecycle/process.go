package lifecycle

import (
	"context"
	"log/slog"
	"runtime"
	"runtime/debug"
	"time"

	"harepass/internal/config"
	"harepass/internal/core"
	"harepass/internal/listexchange"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
	"harepass/internal/opensearch"
	"harepass/internal/operator"
	"harepass/internal/platform"
)

// process is a running coordinator.
type process struct {
	*config.Config // the configuration in force; a reload replaces parts of it
	env            config.Environment
	version        string     // of the program, as the OpenSearch front reports it
	clock          core.Clock // of the coordinator and of all components that pass instants to it

	coordinator *core.Coordinator // makes the decisions and owns the open queries
	frameCaller *platform.Caller  // the connections to replicas that speak frames
	shedder     *loadshed.Shedder // overload control; nil if it is off
	fronts      []front           // the listeners for clients, in the order of opening
	apiFront    *opensearch.Front // nil if there is no OpenSearch front
	onStop      []func()          // functions to call, in this order, once the coordinator has stopped

	inventoryReloads *inventoryReloader // nil if no file lists endpoints

	discovery       *platform.Discovery   // nil without a platform, or if relays distribute the endpoint list
	relayedList     *platform.RelayedList // nil if no relay distributes the endpoint list
	relayedSettings relayedSettings       // state of the settings that relays distribute
	store           *operator.Store       // stored state and maintenance; nil if there is no admin endpoint
	// listExchange exchanges what is known of discovery's list with the coordinator's other processes. It is nil if
	// nothing is shared with them, or if relays distribute the list.
	listExchange *listexchange.Exchange
}

// RunCoordinator runs a coordinator with a configuration until a signal to end arrives, and then drains it. version is
// the program's version.
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
	go p.logUsage(ctx)
	p.handleEvents(signals)
	p.drain()
	logTotals()
	return nil
}

// handleEvents reloads on each reload signal and applies the settings that relays distribute, until a signal to end
// arrives.
func (p *process) handleEvents(signals *Signals) {
	untilEnd(signals, p.relayedSettings.updates, p.reload, p.applySettingsUpdate)
}
