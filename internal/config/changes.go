package config

import (
	"encoding/json"
	"errors"
	"maps"
	"os"

	"harepass/internal/core"
	"harepass/internal/decide/settingsdiff"
	"harepass/internal/wire"
)

// Changes lists what would change if next took the place of c, which has a platform, in words for operators. The error
// says why next cannot: it lacks something that c has, its settings cannot be served, or the OpenSearch front does not
// fit them.
func (c *Config) Changes(next *Config) ([]string, error) {
	changes, err := c.Platform.settingsChanges(next.Platform)
	if err != nil {
		return nil, err
	}
	if _, err = core.New(core.Config{Settings: next.Settings}); err != nil {
		return nil, err
	}
	if c.OpenSearch != nil {
		if err := c.OpenSearch.Check(next.Settings, next.ProtocolLimits.Shards); err != nil {
			return nil, &FileError{c.OpenSearchPath, err}
		}
	}
	return changes, nil
}

// ChangesFrom lists what c changes in the configuration in force, which is the platform's file at path. The variables
// override that file too. The error is ErrNoPlatform where c has no platform, and else as with Changes.
func (c *Config) ChangesFrom(path string, env Environment) ([]string, error) {
	if c.Platform == nil {
		return nil, ErrNoPlatform
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	inForce, err := readPlatform(data, env)
	if err != nil {
		return nil, &FileError{path, err}
	}
	inForce.OpenSearch, inForce.OpenSearchPath = c.OpenSearch, c.OpenSearchPath
	return inForce.Changes(c)
}

// settingsChanges lists what differs in the settings. A file that lacks a key of the one in force is refused: it is
// more likely cut off than meant so.
func (p *PlatformFile) settingsChanges(next *PlatformFile) ([]string, error) {
	var keys, nextKeys map[string]json.RawMessage
	if err := errors.Join(json.Unmarshal(p.data, &keys), json.Unmarshal(next.data, &nextKeys)); err != nil {
		return nil, err
	}
	for key := range maps.Keys(keys) {
		if _, exists := nextKeys[key]; !exists {
			return nil, &MissingKeyError{key}
		}
	}
	settings, err := wire.Flatten(p.Settings)
	if err != nil {
		return nil, err
	}
	nextSettings, err := wire.Flatten(next.Settings)
	if err != nil {
		return nil, err
	}
	settings, nextSettings = settingsdiff.ByName(settings), settingsdiff.ByName(nextSettings)
	if missing := settingsdiff.Missing(settings, nextSettings); len(missing) > 0 {
		return nil, &MissingSettingsError{missing}
	}
	return settingsdiff.Differences(settings, nextSettings), nil
}

// NeedsRestart reports whether next differs from p in what a running process is bound to: its name, its addresses for
// clients and operators, and its limits.
func (p *PlatformFile) NeedsRestart(next *PlatformFile) bool {
	return p.Name != next.Name || p.Listen != next.Listen || p.AdminAddress != next.AdminAddress || p.Limits != next.Limits
}
