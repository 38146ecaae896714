package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"
)

// controlProcess is the authority or a relay.
type controlProcess struct {
	ordinal int // of a relay, from 0; -1 for the authority
	region  int
	zone    int
	address string

	upstream string // address of the authority as a relay reaches it; empty for the authority
	process  *process
}

func (c *controlProcess) name() string { return fmt.Sprintf("relay%d", c.ordinal) }

const (
	// maxControlReaders limits the calls that a control process may have open at once: two for each member of the
	// largest fleet, and 100 for relays and the run itself.
	maxControlReaders = 2*maxCoordinators + 100
	// controlCores is how many cores a control process may use.
	controlCores = 2
	// statusTimeout bounds a request to a control process's status endpoint.
	statusTimeout = time.Second
)

// startControlProcess starts a relay that follows upstream, or the authority if upstream is empty.
func (f *fleet) startControlProcess(control *controlProcess, upstream string) error {
	control.upstream = upstream
	file := relayFile{
		Listen: control.address, Zone: zoneName(control.zone), Region: regionName(control.region),
		Heartbeat: f.plan.Heartbeat, SnapshotBytes: f.plan.SnapshotRate,
		Readers: maxControlReaders, Cores: controlCores,
	}
	name, role := "authority", roleAuthority
	if upstream == "" {
		file.Authority = &authorityFile{Discovery: f.discoveryAddress, Settings: filepath.Join(f.Dir, settingsFile)}
	} else {
		name, role = control.name(), roleRelay
		file.Sources = []relaySource{
			{Address: upstream, Zone: zoneName(f.authority.zone), Region: regionName(f.authority.region)},
		}
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	path, err := f.writeFile(name+".yaml", data)
	if err != nil {
		return err
	}
	p, err := startProcess(command{
		name: name, role: role, env: f.Env, dir: f.Dir,
		args: slices.Concat(f.Program, []string{"relay", "-config", path}),
	})
	if err != nil {
		return err
	}
	f.mu.Lock()
	control.process = p
	f.mu.Unlock()
	return nil
}

// restartControlProcess starts a relay again after it exited, with the same address and upstream.
func (f *fleet) restartControlProcess(control *controlProcess) error {
	return f.startControlProcess(control, control.upstream)
}

// relayStatus holds the fields that a run reads from a control process's status endpoint.
type relayStatus struct {
	Instances struct{ Index, Entries int64 }
	Settings  struct{ Index, Entries int64 }
}

// awaitControlProcess waits until a control process reports as many endpoints as the plan has, and settings.
func (f *fleet) awaitControlProcess(ctx context.Context, control *controlProcess) error {
	for {
		status, ok := fetchRelayStatus(control.address)
		if ok && status.Instances.Entries >= int64(f.plan.Endpoints) && status.Settings.Entries > 0 {
			return nil
		}
		if err := f.wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// fetchRelayStatus requests the status of a control process. ok is false if no valid status was returned.
func fetchRelayStatus(address string) (status relayStatus, ok bool) {
	client := http.Client{Timeout: statusTimeout}
	answer, err := client.Get("http://" + address + "/relay/status")
	if err != nil {
		return status, false
	}
	defer client.CloseIdleConnections()
	defer answer.Body.Close()
	ok = answer.StatusCode == http.StatusOK && json.NewDecoder(answer.Body).Decode(&status) == nil
	return status, ok
}
