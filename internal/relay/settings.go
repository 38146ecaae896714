package relay

import (
	"encoding/json"
	"fmt"
	"os"

	"harepass/internal/decide/versionlog"
)

// settingsName is the name of the one entry that holds the settings.
const settingsName = "settings"

// SettingsCheck reports what is wrong with settings that are to replace others, or lists what they change. old is nil
// at the start.
type SettingsCheck func(old, next json.RawMessage) (changes []string, err error)

// readSettings reads the settings' file, if there is one, and lists what it changes. The errors have the file's path,
// and wrap those of CheckSettings, or versionlog.ErrTooLarge.
func (a *Authority) readSettings() (settings json.RawMessage, changes []string, err error) {
	if a.SettingsFile == "" {
		return nil, nil, nil
	}
	data, err := os.ReadFile(a.SettingsFile)
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

// settingsChange returns the change that publishes settings.
func settingsChange(settings json.RawMessage) versionlog.Change {
	object := fmt.Appendf(nil, `{"name":%q,"status":"in_service","settings":%s}`, settingsName, settings)
	return versionlog.Change{Name: settingsName, Object: object}
}
