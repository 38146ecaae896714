package scaletest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"harepass/internal/test/fake"
)

// settingsFile is the name of the settings file that the authority reads.
const settingsFile = "settings.json"

// relayFile is the configuration file of a relay or of the authority.
type relayFile struct {
	Listen        string         `yaml:"listen"`
	Authority     *authorityFile `yaml:"authority,omitempty"` // nil for a relay
	Zone          string         `yaml:"zone"`
	Region        string         `yaml:"region"`
	Sources       []relaySource  `yaml:"sources,omitempty"`
	Heartbeat     time.Duration  `yaml:"heartbeat"`
	SnapshotBytes int            `yaml:"snapshot_bytes_per_second,omitempty"`
	Readers       int            `yaml:"readers"` // calls that may be open at once
	Cores         int            `yaml:"cores"`
}

// authorityFile names the sources from which the authority reads the endpoint list and the settings.
type authorityFile struct {
	Discovery string `yaml:"discovery"` // its address
	Settings  string `yaml:"settings"`  // path of the file
}

// relaySource describes a relay, or the authority, in the configuration files of its readers.
type relaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

// distributionFile is the configuration file that lists the relays a coordinator may follow.
type distributionFile struct {
	Zone      string        `yaml:"zone"`
	Region    string        `yaml:"region"`
	Sources   []relaySource `yaml:"sources"`
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// writeFile writes a file in the run's folder and replaces any old one atomically, so readers never see it incomplete.
func (f *fleet) writeFile(name string, data []byte) (path string, err error) {
	path = filepath.Join(f.Dir, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// writeSettings writes the latest version of the settings, which the authority reads when it starts.
func (f *fleet) writeSettings() error {
	f.settingsFileMutex.Lock()
	defer f.settingsFileMutex.Unlock()
	return f.writeLatestSettings()
}

// reloadSettings writes the latest version of the settings and has the authority read it. The lock ensures that the
// version written last is the latest.
func (f *fleet) reloadSettings() error {
	f.settingsFileMutex.Lock()
	defer f.settingsFileMutex.Unlock()
	if err := f.writeLatestSettings(); err != nil {
		return err
	}
	return f.authority.process.signal(syscall.SIGHUP)
}

// writeLatestSettings writes the settings file. The caller must hold settingsFileMutex.
func (f *fleet) writeLatestSettings() error {
	f.mu.Lock()
	number := f.settingsNumber
	f.mu.Unlock()
	data, err := encodeSettings(f.Settings, f.plan, number)
	if err != nil {
		return err
	}
	_, err = f.writeFile(settingsFile, data)
	return err
}

// reloadTruncatedSettings has the authority read a settings file that is cut in half, which the authority must reject.
func (f *fleet) reloadTruncatedSettings() error {
	f.settingsFileMutex.Lock()
	defer f.settingsFileMutex.Unlock()
	data, err := encodeSettings(f.Settings, f.plan, 0)
	if err != nil {
		return err
	}
	if _, err := f.writeFile(settingsFile, data[:len(data)/2]); err != nil {
		return err
	}
	return f.authority.process.signal(syscall.SIGHUP)
}

// Resource limits that the platform gives to a real coordinator.
const (
	realCores    = 1.0
	realMemoryMB = 192
	realSockets  = 1024
)

// seedFactor spreads the seeds of real coordinators, which derive from their ordinals, over all 64-bit values.
const seedFactor = 0x9e3779b97f4a7c15

// writeConfig writes the configuration that the platform gives a coordinator at its start, with settings, limits and
// an empty endpoint list.
func (f *fleet) writeConfig(m *member) (path string, err error) {
	encoded, err := encodeSettings(f.Settings, f.plan, 0)
	if err != nil {
		return "", err
	}
	var settings map[string]any
	if err := json.Unmarshal(encoded, &settings); err != nil {
		return "", err
	}
	settings["me"] = m.ordinal
	data, err := json.Marshal(map[string]any{
		"name": m.name, "listen": m.address, "discovery": f.discoveryAddress,
		"seed":     fmt.Sprintf("%016x", uint64(m.ordinal+1)*seedFactor),
		"limits":   map[string]any{"cores": realCores, "memory_mb": realMemoryMB, "sockets": realSockets},
		"known":    fake.EndpointList{Snapshot: true, Endpoints: []fake.Endpoint{}},
		"settings": settings,
	})
	if err != nil {
		return "", err
	}
	return f.writeFile(m.name+".json", data)
}
