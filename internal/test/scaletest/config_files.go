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

// settingsFile is the name of the file from which the authority reads the settings.
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

// authorityFile says where the authority gets the endpoint list and the settings from.
type authorityFile struct {
	Discovery string `yaml:"discovery"` // address
	Settings  string `yaml:"settings"`  // file
}

// relaySource is a relay as the files of its readers describe it.
type relaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

// distributionFile is a coordinator's file of the relays that it may follow.
type distributionFile struct {
	Zone      string        `yaml:"zone"`
	Region    string        `yaml:"region"`
	Sources   []relaySource `yaml:"sources"`
	Heartbeat time.Duration `yaml:"heartbeat"`
}

// writeFile puts a file into the run's folder. Readers see it complete or not at all.
func (f *fleet) writeFile(name string, data []byte) (path string, err error) {
	path = filepath.Join(f.Dir, name)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// writeSettings writes the latest version of the settings. The authority reads it when it starts.
func (f *fleet) writeSettings() error {
	f.settingsFileMutex.Lock()
	defer f.settingsFileMutex.Unlock()
	return f.writeLatestSettings()
}

// reloadSettings writes the latest version of the settings and has the authority read it. The lock makes the last one
// written the latest.
func (f *fleet) reloadSettings() error {
	f.settingsFileMutex.Lock()
	defer f.settingsFileMutex.Unlock()
	if err := f.writeLatestSettings(); err != nil {
		return err
	}
	return f.authority.process.signal(syscall.SIGHUP)
}

// writeLatestSettings writes the settings file. It is to be called with settingsFileMutex locked.
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

// reloadTruncatedSettings has the authority read settings that end in the middle, which it has to reject.
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

// The limits of a real coordinator.
const (
	realCores    = 1.0
	realMemoryMB = 192
	realSockets  = 1024
)

// seedFactor spreads the ordinals of real coordinators over all seeds.
const seedFactor = 0x9e3779b97f4a7c15

// writeConfig writes what the platform gives a coordinator at its start: settings, limits and an empty endpoint list.
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
