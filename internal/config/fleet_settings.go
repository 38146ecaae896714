package config

import (
	"encoding/json"

	"harepass/internal/decide/versionlog"
	"harepass/internal/wire"
)

// settingsEntryName is the name of the only entry that the relays' settings have.
const settingsEntryName = "settings"

// settingsEntry is the settings as relays give them out.
type settingsEntry struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings"`
}

// CheckSettingsEntries refuses entries that are no settings at all. Faults within the settings are found when they are
// to come in force.
func CheckSettingsEntries(entries []versionlog.Entry) error {
	for _, e := range entries {
		var s settingsEntry
		if err := json.Unmarshal(e.Body, &s); err != nil {
			return err
		}
		if s.Name != settingsEntryName || !e.Removed && len(s.Settings) == 0 {
			return &SettingsEntryError{e.Name}
		}
	}
	return nil
}

// EntrySettings returns the settings of an entry. There are none in one that was removed: what is in force then stays.
func EntrySettings(e versionlog.Entry) (settings json.RawMessage, ok bool) {
	var s settingsEntry
	if json.Unmarshal(e.Body, &s) != nil || e.Removed {
		return nil, false
	}
	return s.Settings, true
}

// ownKeys are the settings that differ between the coordinators of a fleet: the ordinal and the zone. They stay what a
// coordinator's own file says.
var ownKeys = []string{"me", "zone"}

// withOwnKeys returns the settings of a whole fleet with one coordinator's own keys.
func withOwnKeys(fleet, own json.RawMessage) (json.RawMessage, error) {
	var keys, ownSettings map[string]json.RawMessage
	if err := json.Unmarshal(fleet, &keys); err != nil {
		return nil, err
	}
	if keys == nil {
		return nil, ErrSettingsNotObject
	}
	if err := json.Unmarshal(own, &ownSettings); err != nil {
		return nil, err
	}
	for _, key := range ownKeys {
		delete(keys, key)
		if value, exists := ownSettings[key]; exists {
			keys[key] = value
		}
	}
	return json.Marshal(keys)
}

// WithFleetSettings returns the Config that c, which has a platform, would be with the settings of a whole fleet. Its
// own ordinal and zone stay, and so does the address of discovery.
func (c *Config) WithFleetSettings(fleet json.RawMessage, env Environment) (*Config, error) {
	settings, err := withOwnKeys(fleet, c.Platform.Settings)
	if err != nil {
		return nil, err
	}
	return c.WithSettings(settings, env)
}

// WithSettings returns the Config that the platform's file of c would make with other settings. The address of
// discovery stays that of c.
func (c *Config) WithSettings(settings json.RawMessage, env Environment) (*Config, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(c.Platform.data, &keys); err != nil {
		return nil, err
	}
	keys["settings"] = settings
	data, err := json.Marshal(keys)
	if err != nil {
		return nil, err
	}
	next, err := readPlatform(data, env)
	if err != nil {
		return nil, err
	}
	next.Platform.Discovery = c.Platform.Discovery
	return next, nil
}

// CheckFleetSettings lists what settings would change in others, nil for none, or says what is wrong with them. An
// authority calls it before it gives them out; the rules are those of a coordinator's reload.
func CheckFleetSettings(old, next json.RawMessage) (changes []string, err error) {
	replacing, err := settingsOnly(next)
	if err != nil {
		return nil, err
	}
	if old == nil {
		old = next
	}
	replaced, err := settingsOnly(old)
	if err != nil {
		return nil, err
	}
	return replaced.Changes(replacing)
}

// settingsOnly is a Config that has settings and nothing else.
func settingsOnly(settings json.RawMessage) (*Config, error) {
	data, err := json.Marshal(map[string]json.RawMessage{"settings": settings})
	if err != nil {
		return nil, err
	}
	c := &Config{Platform: &PlatformFile{Settings: settings, data: data}}
	if c.Settings, c.ProtocolLimits, err = wire.JSONSettings(settings); err != nil {
		return nil, err
	}
	return c, nil
}
