package lifecycle

import (
	"context"
	"encoding/json"
	"log/slog"

	"harepass/internal/config"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

// relayedSettings is the state of the settings that relays distribute.
type relayedSettings struct {
	updates <-chan settingsUpdate // nil if no relay distributes settings
	inForce bool                  // the settings in force came from a relay, so the file's are ignored
}

// settingsUpdate is one complete version of the settings.
type settingsUpdate struct {
	version  versionlog.Version
	settings json.RawMessage
}

// followSettings starts a follower that sends each complete version of the relays' settings to handleEvents.
func (p *process) followSettings(ctx context.Context) {
	updates := make(chan settingsUpdate)
	p.relayedSettings.updates = updates
	apply := func(u distribution.Update) {
		for _, e := range u.Entries {
			settings, ok := config.EntrySettings(e)
			if !ok {
				continue
			}
			select {
			case updates <- settingsUpdate{u.Slice.Version, settings}:
			case <-ctx.Done():
			}
		}
	}
	f := p.newFollower(distribution.Config{Path: distribution.Settings, Check: config.CheckSettingsEntries,
		Apply: apply})
	go f.Run(ctx)
}

// applySettingsUpdate puts a version of the settings in force, either completely or, on error, not at all.
func (p *process) applySettingsUpdate(u settingsUpdate) {
	next, err := p.WithFleetSettings(u.settings, p.env)
	if err == nil {
		err = p.replaceConfig(next)
	}
	if err != nil {
		slog.Error(logmsg.SettingsRejected, "version", versionText(u.version), logmsg.KeyReason, err)
		return
	}
	p.relayedSettings.inForce = true
	slog.Info(logmsg.SettingsInForce, "version", versionText(u.version))
	logInForce(distribution.Settings, u.version)
}
