package lifecycle

import (
	"log/slog"

	"harepass/internal/config"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// A running process applies these values when the platform's file is reloaded or relays distribute settings:
//
//   - all settings that the coordinator's decisions use, and the protocol's limits;
//   - for replicas that speak frames, the calls per connection and the connections' time-outs;
//   - the classes and tenants of overload control;
//   - the fleet size, the lists' maximum age and the drain grace that polling discovery depends on;
//   - discovery's address, which only the file can change.
//
// It does not apply these values, although a change of the settings is logged as settings changed:
//
//   - whether endpoint lists are pushed to an agent (config.Config.ListPushed): polling of discovery stays as it was at
//     the start;
//   - the time-outs of connections to replicas that speak the OpenSearch API (opensearch.Caller);
//   - the ring size that is used to read the inventory;
//   - the settings' Retry-After as the upper bound of overload control's Retry-After.
//
// The name, the addresses for clients and operators, and the limits of the process change only at a restart. A reload
// that finds such a change logs "restart required" once, without naming the changed value: the next reload compares the
// file with the one read last, so it does not repeat the line. The file's seed and known endpoint list are used only at
// the start. The files of the OpenSearch front, of overload control and of distribution are not read again. Without a
// platform, a reload reads only the inventory, and not the settings file that the OpenSearch front names.
//
// An error of config.LoadPlatform, config.Config.Changes or core.Coordinator.Configure rejects the whole reload, and
// the configuration in force stays. The file must name discovery even if PROXY_DISCOVERY named it at the start
// (config.WithoutDiscovery).

// maxLoggedChanges is how many changed settings a reload logs one by one. For the remaining ones it logs their number.
const maxLoggedChanges = 40

// reload reads the platform's configuration again, and requests that the inventory be read again. If one of the two is
// invalid, its previous contents stay in force.
func (p *process) reload() {
	if p.Platform != nil {
		if err := p.reloadPlatform(); err != nil {
			slog.Error(logmsg.ConfigurationRejected, logmsg.KeyError, err)
		}
	}
	if p.inventoryReloads != nil {
		p.inventoryReloads.request()
	}
}

// reloadPlatform reads the platform's file and applies the discovery address and the settings in it. Once settings from
// a relay are in force, the file's settings are ignored. On error nothing is applied.
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

// replaceConfig puts the settings and the discovery address of next in force. On error it changes nothing.
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

// configureDiscovery passes the new settings, and the new address if it has changed, to the discovery client. It does
// nothing if this process does not poll discovery.
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

// logChanges logs the changed settings, at most maxLoggedChanges of them one by one.
func logChanges(changes []string) {
	for i, c := range changes {
		if i == maxLoggedChanges {
			slog.Info(logmsg.SettingsChanged, "changes_omitted", len(changes)-i)
			return
		}
		slog.Info(logmsg.SettingsChanged, logmsg.KeyChange, c)
	}
}
