package scaletest

import (
	"context"
	"encoding/json"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"
)

// relayFile is a relay's file, or the authority's.
type relayFile struct {
	Listen        string         `yaml:"listen"`
	Authority     *authorityFile `yaml:"authority,omitempty"`
	Zone          string         `yaml:"zone"`
	Region        string         `yaml:"region"`
	Sources       []relaySource  `yaml:"sources,omitempty"`
	Heartbeat     time.Duration  `yaml:"heartbeat"`
	SnapshotBytes int            `yaml:"snapshot_bytes_per_second,omitempty"`
	Readers       int            `yaml:"readers"`
	Cores         int            `yaml:"cores"`
}

// authorityFile says where the authority has list and settings from.
type authorityFile struct {
	Discovery string `yaml:"discovery"`
	Settings  string `yaml:"settings"`
}

// relaySource is a relay as its readers' files have it.
type relaySource struct {
	Address string `yaml:"address"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
}

const (
	settingsFile = "settings.json"
	// serverReaders are calls that a control process may hold at once: two for each member of the whole fleet.
	maxControlReaders = 2*maxCoordinators + 100
	controlCores      = 2
)

// writeSettings writes the latest version of the settings, and has the authority read them where it runs.
func (f *fleet) writeSettings(again bool) error {
	f.settingsFileMutex.Lock() // the last one written is the latest
	defer f.settingsFileMutex.Unlock()
	f.mu.Lock()
	number := f.settingsNumber
	f.mu.Unlock()
	data, err := encodeSettings(f.Settings, f.plan, number)
	if err != nil {
		return err
	}
	if _, err := f.writeFile(settingsFile, data); err != nil || !again {
		return err
	}
	return f.authority.process.signal(syscall.SIGHUP)
}

// writeInvalidSettings hands the authority settings that are cut off.
func (f *fleet) writeInvalidSettings() error {
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

// startServer starts the authority, or a relay with an upstream.
func (f *fleet) startControlProcess(s *controlProcess, upstream string) error {
	s.upstream = upstream
	file := relayFile{Listen: s.address, Zone: zoneName(s.zone), Region: regionName(s.region), Heartbeat: f.plan.Heartbeat,
		SnapshotBytes: f.plan.SnapshotRate, Readers: maxControlReaders, Cores: controlCores}
	name, of := "authority", roleAuthority
	if upstream == "" {
		file.Authority = &authorityFile{Discovery: f.discoveryAddress, Settings: filepath.Join(f.Dir, settingsFile)}
	} else {
		name, of = s.name(), roleRelay
		file.Sources = []relaySource{{Address: upstream, Zone: zoneName(f.authority.zone), Region: regionName(f.authority.region)}}
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	path, err := f.writeFile(name+".yaml", data)
	if err != nil {
		return err
	}
	p, err := startProcess(command{name: name, role: of, args: append(f.Program[:len(f.Program):len(f.Program)], "relay", "-config", path), env: f.Env, dir: f.Dir})
	if err != nil {
		return err
	}
	f.mu.Lock()
	s.process = p
	f.mu.Unlock()
	return nil
}

// startAgain starts a relay that has ended where it was.
func (f *fleet) restartControlProcess(s *controlProcess) error {
	return f.startControlProcess(s, s.upstream)
}

// serverStatus is what the run reads of a control process's status.
type relayStatus struct {
	Instances struct{ Index, Entries int64 }
	Settings  struct{ Index, Entries int64 }
}

// awaitServer waits until a control process has the whole list and the settings.
func (f *fleet) awaitControlProcess(ctx context.Context, s *controlProcess) error {
	for {
		if status, ok := fetchRelayStatus(s.address); ok && status.Instances.Entries >= int64(f.plan.Endpoints) && status.Settings.Entries > 0 {
			return nil
		}
		if err := f.pause(ctx, pollInterval); err != nil {
			return err
		}
	}
}

func fetchRelayStatus(address string) (status relayStatus, ok bool) {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get("http://" + address + "/relay/status")
	if err != nil {
		return status, false
	}
	defer client.CloseIdleConnections()
	defer answer.Body.Close()
	return status, answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(&status) == nil
}
