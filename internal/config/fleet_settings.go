package config

import (
	"encoding/json"

	"harepass/internal/decide/versionlog"
	"harepass/internal/wire"
)

// settingsEntryName is the name of the only entry in the settings resource of the relays.
const settingsEntryName = "settings"

// settingsEntry is the form in which relays distribute the settings.
type settingsEntry struct {
	Name     string          `json:"name"`
	Settings json.RawMessage `json:"settings"`
}

// CheckSettingsEntries rejects entries that hold no settings. Faults within the settings are found later, when the
// settings are to come in force.
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

// EntrySettings returns the settings of an entry. A removed entry has none; the settings in force then stay.
func EntrySettings(e versionlog.Entry) (settings json.RawMessage, ok bool) {
	var s settingsEntry
	if json.Unmarshal(e.Body, &s) != nil || e.Removed {
		return nil, false
	}
	return s.Settings, true
}

// ownKeys are the keys of the settings that differ between the coordinators of a fleet: the ordinal and the zone. Their
// values always come from the coordinator's own file.
var ownKeys = []string{"me", "zone"}

// withOwnKeys returns the settings of a whole fleet, with ownKeys replaced by the values of one coordinator.
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

// WithFleetSettings returns the Config that results from the platform file of c, which must have one, with the settings
// of a whole fleet. It keeps c's ordinal, zone and address of discovery.
func (c *Config) WithFleetSettings(fleet json.RawMessage, env Environment) (*Config, error) {
	settings, err := withOwnKeys(fleet, c.Platform.Settings)
	if err != nil {
		return nil, err
	}
	return c.WithSettings(settings, env)
}

// WithSettings returns the Config that results from c's platform file with its settings replaced. It keeps c's address
// of discovery.
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

// CheckFleetSettings lists what next would change in old, which may be nil, or returns why next is invalid. An
// authority calls it before it distributes next; the rules are those of a coordinator's reload.
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

// settingsOnly returns a Config that holds only settings.
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
