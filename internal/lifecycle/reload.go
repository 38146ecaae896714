package lifecycle

import (
	"log/slog"

	"harepass/internal/config"
	"harepass/internal/decide/scatter"
	"harepass/internal/inventory"
	"harepass/internal/logmsg"
	"harepass/internal/platform"
)

// maxLoggedChanges is how many changes of settings a reload logs one by one; the rest is counted.
const maxLoggedChanges = 40

// reload reads the platform's configuration and the inventory again. Each stays in force where its file is at fault.
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

// reloadPlatform reads the platform's file and puts what a running process can take over from it in force: discovery's
// address and the settings, unless relays give those out. It takes over all of that, or nothing and returns an error.
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

// replaceConfig puts the settings and discovery's address of next in force, all of it or nothing with an error.
func (p *process) replaceConfig(next *config.Config) error {
	changes, err := p.Changes(next)
	if err != nil {
		return err
	}
	oldSettings, oldLimits := p.Settings, p.ProtocolLimits
	p.Settings, p.ProtocolLimits = next.Settings, next.ProtocolLimits
	if err := p.coordinator.Configure(p.Settings, p.coreLimits()); err != nil {
		p.Settings, p.ProtocolLimits = oldSettings, oldLimits
		return err
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
