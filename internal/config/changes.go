package config

import (
	"encoding/json"
	"errors"
	"maps"
	"os"

	"harepass/internal/core"
	"harepass/internal/decide/settingsdiff"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// Changes lists the settings that would change if next took the place of c, which has a platform, in words for
// operators. The list is of what the file says: it also has settings that a running process does not take over, which
// lifecycle's reload.go names. The error says why next cannot take the place of c: it lacks something that c has, its
// settings cannot be served, or the OpenSearch front does not fit them.
//
// The front's file is not read again. What c has of it is checked against the classes, tenants and shards of next; c
// stays as it is.
func (c *Config) Changes(next *Config) ([]string, error) {
	changes, err := c.Platform.settingsChanges(next.Platform)
	if err != nil {
		return nil, err
	}
	if _, err = core.New(core.Config{Settings: next.Settings}); err != nil {
		return nil, err
	}
	if _, err := c.OpenSearchUnder(next); err != nil {
		return nil, err
	}
	return changes, nil
}

// OpenSearchUnder returns the configuration of c's OpenSearch front as it is under the settings of next, and nil where c
// has no such front. The error is a *FileError where the front does not fit them.
func (c *Config) OpenSearchUnder(next *Config) (*opensearch.Config, error) {
	if c.OpenSearch == nil {
		return nil, nil
	}
	front, err := c.OpenSearch.CheckedCopy(next.Settings, next.ProtocolLimits.Shards)
	if err != nil {
		return nil, &FileError{c.OpenSearchPath, err}
	}
	return front, nil
}

// ChangesFrom lists what c changes in the configuration in force, which is the platform's file at path. The variables
// override that file too. The error is ErrNoPlatform where c has no platform, a *FileError or the system's where the
// file cannot be read, and one of Changes otherwise.
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

// settingsChanges lists what differs in the settings. A file that lacks a key of the one in force is refused, with a
// *MissingKeyError or a *MissingSettingsError: it is more likely cut off than meant so.
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

// NeedsRestart reports whether next differs from p in what a process takes over at its start only: its name, its
// addresses for clients and operators, and its limits. It does not say which of them differs. The seed and the known
// endpoint list are also for the start only, but no restart is needed for them.
func (p *PlatformFile) NeedsRestart(next *PlatformFile) bool {
	return p.Name != next.Name || p.Listen != next.Listen || p.AdminAddress != next.AdminAddress || p.Limits != next.Limits
}
