package main

import (
	"bytes"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"harepass/internal/lifecycle"
	"harepass/internal/test/faultinjection"
)

// maintenanceSlack is the time after the answer to a maintenance call in which parts may still begin at the replica
// that the call takes out of service. It includes the platform's slack.
const maintenanceSlack = 1050 * time.Millisecond

// host is a machine on which successive versions of the program run, with its replicas and its discovery.
type host struct {
	*faultinjection.Host
	t *testing.T
}

// newHost prepares a host with six replicas and no running process.
func newHost(t *testing.T) *host { return newHostWithDiscovery(t, nil) }

// newHostWithDiscovery prepares a host as newHost does, with a discovery of the test's own.
func newHostWithDiscovery(t *testing.T, discovery http.Handler) *host {
	settings := []byte(withPolling(exampleSettings(t)))
	settings = bytes.Replace(settings, []byte(`"rules": {`), []byte(`"rules": {"ask_every_us": 20000000, `), 1)
	settings = withQuota(settings, "5000") // the clients stay within their quota
	h, err := faultinjection.NewHost(faultinjection.HostConfig{Dir: t.TempDir(), Command: []string{os.Args[0], "serve"},
		Env: []string{asProgram}, Settings: settings, Replicas: 6, ServiceTime: 20 * time.Millisecond,
		MaintenanceGrace: maintenanceSlack, DiscoveryHandler: discovery})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return &host{h, t}
}

// must ends the test if an action that the rest of the test needs has failed.
func (h *host) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// start starts a process with environment variables.
func (h *host) start(env ...string) *faultinjection.Process {
	h.t.Helper()
	p, err := h.Start(env...)
	h.must(err)
	h.t.Cleanup(func() {
		if h.t.Failed() {
			h.t.Logf("process %d:\n%s", p.Process.Pid, p.Log())
		}
	})
	return p
}

// waitReady waits until a process reports at its admin endpoint that it serves, and returns the process.
func (h *host) waitReady(p *faultinjection.Process) *faultinjection.Process {
	eventually(h.t, "the process serves", p.Serves)
	return p
}

// setMaintenance takes a replica out of service, or puts it back.
func (h *host) setMaintenance(p *faultinjection.Process, replica int, out bool) {
	h.t.Helper()
	h.must(h.SetMaintenance(p, replica, out))
}

// terminate sends SIGTERM to a process, as the platform does, and waits for its exit.
func (h *host) terminate(p *faultinjection.Process) {
	h.t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	if err := <-p.Exited; err != nil {
		h.t.Errorf("exit after SIGTERM: %v", err)
	}
}

// kill sends SIGKILL to a process and waits for its exit.
func (h *host) kill(p *faultinjection.Process) {
	p.Process.Kill()
	<-p.Exited
}

// checkOutcomes checks that the clients' requests were served or ended with one of the allowed other outcomes, and
// checks the replicas' records. It returns the number of requests by outcome.
func (h *host) checkOutcomes(c *faultinjection.ClientPool, allowed ...string) map[string]int {
	h.t.Helper()
	tally := c.Outcomes()
	if tally["200"] < 100 {
		h.t.Errorf("only %d requests were served, want at least 100", tally["200"])
	}
	for outcome, n := range tally {
		if outcome != "200" && !slices.Contains(allowed, outcome) {
			h.t.Errorf("%d requests ended with the outcome %s", n, outcome)
		}
	}
	if err := h.Check(); err != nil {
		h.t.Error(err)
	}
	return tally
}

// waitListStored waits until a process has stored the complete list.
func (h *host) waitListStored() {
	h.t.Helper()
	eventually(h.t, "the list is stored", func() bool {
		return strings.Contains(strings.Join(storedState(h.Dir), ""), `"f5"`)
	})
}

// storedState returns the contents of the state files that processes have stored below a folder.
func storedState(dir string) (files []string) {
	names, _ := filepath.Glob(filepath.Join(dir, lifecycle.StateFolder, "*.state"))
	for _, name := range names {
		data, _ := os.ReadFile(name)
		files = append(files, string(data))
	}
	return files
}
