package relay

import (
	"encoding/json"
	"fmt"

	"harepass/internal/decide/versionlog"
	"harepass/internal/inputfile"
)

// settingsName is the name of the only entry of the settings resource. The entry contains all settings.
const settingsName = "settings"

// SettingsCheck checks settings before they replace the old ones. It returns an error if next is invalid, and otherwise
// lists what changes. old is nil before the first publication.
type SettingsCheck func(old, next json.RawMessage) (changes []string, err error)

// readSettings reads and checks the settings' file, if one is configured, and lists what changes. The errors contain
// the file's path and wrap those of CheckSettings or versionlog.ErrTooLarge.
func (a *Authority) readSettings() (settings json.RawMessage, changes []string, err error) {
	if a.SettingsFile == "" {
		return nil, nil, nil
	}
	data, err := inputfile.Read(a.SettingsFile)
	if err != nil {
		return nil, nil, err
	}
	if changes, err = a.CheckSettings(a.settings, data); err == nil {
		settings = compactJSON(data)
		err = checkSize(settingsChange(settings).Object)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", a.SettingsFile, err)
	}
	return settings, changes, nil
}

// settingsChange returns the change that publishes the settings as one entry.
func settingsChange(settings json.RawMessage) versionlog.Change {
	object := fmt.Appendf(nil, `{"name":%q,"status":"in_service","settings":%s}`, settingsName, settings)
	return versionlog.Change{Name: settingsName, Object: object}
}
