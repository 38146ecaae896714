package config

import (
	"encoding/json"
	"errors"
	"maps"

	"harepass/internal/core"
	"harepass/internal/decide/settingsdiff"
	"harepass/internal/inputfile"
	"harepass/internal/opensearch"
	"harepass/internal/wire"
)

// Changes lists, in words for operators, the settings that would change if next replaced c, which must have a platform.
// The list compares the files: it includes settings that a running process does not apply at a reload, which
// lifecycle's reload.go names. The error says why next cannot replace c: next lacks something that c has, its settings
// are invalid, or the OpenSearch front is inconsistent with them.
//
// Changes does not read the front's file again. It checks c's front against the classes, tenants and shards of next
// and leaves c unchanged.
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

// OpenSearchUnder returns the configuration of c's OpenSearch front under the settings of next, or nil if c has no such
// front. The error is a *FileError if the front is inconsistent with those settings.
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

// ChangesFrom lists what c would change in the configuration in force, which is the platform's file at path. The
// variables override fields of that file too. The error is ErrNoPlatform if c has no platform, a *FileError or the
// operating system's error if the file cannot be read, and otherwise an error of Changes.
func (c *Config) ChangesFrom(path string, env Environment) ([]string, error) {
	if c.Platform == nil {
		return nil, ErrNoPlatform
	}
	data, err := inputfile.Read(path)
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

// settingsChanges lists the differences between the settings of p and next. It rejects a file that lacks a key of the
// file in force, with a *MissingKeyError or a *MissingSettingsError: such a file is more likely truncated than
// intended.
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

// NeedsRestart reports whether next differs from p in a value that a process applies only at start: its name, its
// addresses for clients and operators, and its limits. It does not say which of them differs. The seed and the known
// endpoint list also apply only at start, but a change of them needs no restart.
func (p *PlatformFile) NeedsRestart(next *PlatformFile) bool {
	return p.Name != next.Name || p.Listen != next.Listen || p.AdminAddress != next.AdminAddress || p.Limits != next.Limits
}
