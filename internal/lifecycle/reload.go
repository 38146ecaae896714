package lifecycle

import (
	"log/slog"

	"harepass/internal/config"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// What a running process takes over, from the platform's file at a reload or from settings that relays give out:
//
//   - all settings of the coordinator's decisions, and the limits of the protocol;
//   - for replicas that speak frames, the calls per connection and the connections' time-outs;
//   - the classes and tenants of overload control;
//   - the fleet size, the age limit of lists and the drain grace by which discovery is polled;
//   - discovery's address, from the file alone.
//
// What it does not take over, though a change of the settings is logged as settings changed:
//
//   - whether endpoint lists are pushed to an agent (config.Config.ListPushed): discovery is polled as at the start;
//   - the time-outs of connections to replicas that speak the OpenSearch API (opensearch.Caller);
//   - the ring size by which the inventory is read;
//   - the settings' Retry-After as the bound of overload control's.
//
// The name, the addresses for clients and operators, and the limits of the process need a restart. A reload with such a
// change logs so once: the next reload of that file compares with this one, and does not repeat it. The line does not
// say which of them has changed. The seed and the known endpoint list of the file are for the start alone. The files of
// the OpenSearch front, of overload control and of distribution are not read again, nor is the file of settings that
// the OpenSearch front names where there is no platform: there a reload reads the inventory and nothing else.
//
// A reload is refused as a whole, and the configuration in force stays, for each error of config.LoadPlatform, of
// config.Config.Changes and of core.Coordinator.Configure. The file has to name discovery also where PROXY_DISCOVERY
// did so at the start (config.WithoutDiscovery).

// maxLoggedChanges is how many changes of settings a reload logs one by one; the rest is counted.
const maxLoggedChanges = 40

// reload reads the platform's configuration and the inventory again. Where one of the files is at fault, what was read
// of it before stays in force.
func (p *process) reload() {
	if p.Platform != nil {
		if err := p.reloadPlatform(); err != nil {
			slog.Error(logmsg.ConfigurationRejected, logmsg.KeyError, err)
		}
	}
	if p.Inventory != nil {
		p.reloadInventory()
	}
}

// reloadInventory reads the inventory again. Endpoints that it no longer has begin to drain.
func (p *process) reloadInventory() {
	endpoints, err := p.Inventory.Read(p.clock())
	if err != nil {
		slog.Error(logmsg.InventoryRejected, logmsg.KeyError, err)
		return
	}
	slog.Info(logmsg.InventoryReloaded, "endpoints", len(endpoints))
	p.coordinator.UpdateEndpoints(inventory.Source, scatter.FullUpdate, endpoints)
}

// reloadPlatform reads the platform's file and puts what a running process takes over from it in force: discovery's
// address and the settings. The file's settings no longer count once relays have given out theirs. With an error
// nothing is put in force.
func (p *process) reloadPlatform() error {
	next, err := config.LoadPlatform(config.WithoutDiscovery(p.env))
	if err == nil && p.relayedSettings.inForce {
		slog.Info(logmsg.FileSettingsIgnored, logmsg.KeyReason, "relays' settings are in force")
		next, err = next.WithSettings(p.Platform.Settings, p.env)
	}
	if err != nil {
		return err
	}
	return p.replaceConfig(next)
}

// replaceConfig puts the settings and discovery's address of next in force. With an error none of it is.
func (p *process) replaceConfig(next *config.Config) error {
	changes, err := p.Changes(next)
	if err != nil {
		return err
	}
	openSearch, err := p.OpenSearchUnder(next)
	if err != nil {
		return err
	}
	oldSettings, oldLimits := p.Settings, p.ProtocolLimits
	p.Settings, p.ProtocolLimits = next.Settings, next.ProtocolLimits
	if err := p.coordinator.Configure(p.Settings, p.coreLimits()); err != nil {
		p.Settings, p.ProtocolLimits = oldSettings, oldLimits
		return err
	}
	if p.apiFront != nil {
		p.OpenSearch = openSearch
		p.apiFront.Reconfigure(openSearch)
	}
	p.frameCaller.Configure(p.ProtocolLimits.CallsPerConn, p.ProtocolLimits.ConnectTimeout,
		responseTimeout(p.Settings.Classes), p.ProtocolLimits.KeepAlive)
	if p.shedder != nil {
		p.shedder.SetClasses(p.Settings)
	}
	p.configureDiscovery(next.Platform.Discovery)
	if p.Platform.NeedsRestart(next.Platform) {
		slog.Warn("restart required", "changed", "name, listen or operator address, or limits")
	}
	p.Platform = next.Platform
	logChanges(changes)
	slog.Info(logmsg.ConfigurationReloaded, "discovery", p.Platform.Discovery, "changes", len(changes))
	return nil
}

// configureDiscovery hands the new settings, and another address if it has changed, to discovery, where that is
// polled.
func (p *process) configureDiscovery(address string) {
	if p.discovery == nil {
		return
	}
	p.discovery.Configure(platform.Tuning{Fleet: p.Settings.Coordinators, ListMaxAge: p.Settings.ListMaxAge,
		Grace: p.Settings.DrainGrace})
	if address != p.Platform.Discovery {
		p.discovery.SetAddress(address)
	}
}

// logChanges writes what has changed in the settings.
func logChanges(changes []string) {
	for i, c := range changes {
		if i == maxLoggedChanges {
			slog.Info(logmsg.SettingsChanged, "changes_omitted", len(changes)-i)
			return
		}
		slog.Info(logmsg.SettingsChanged, logmsg.KeyChange, c)
	}
}
