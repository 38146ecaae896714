package main

import (
	"bytes"
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

// maintenanceSlack is how long after an operator's call is answered parts may still begin at the replica that it takes
// out; the platform's slack is in it.
const maintenanceSlack = 1050 * time.Millisecond

// host is a machine on which versions of the program follow one another, with its replicas and its discovery.
type host struct {
	*faultinjection.Host
	t *testing.T
}

func newHost(t *testing.T) *host {
	settings := []byte(polled(exampleSettings(t)))
	settings = bytes.Replace(settings, []byte(`"rules": {`), []byte(`"rules": {"ask_every_us": 20000000, `), 1)
	settings = withQuota(settings, "5000") // the crowd is within its quota
	h, err := faultinjection.NewHost(faultinjection.HostConfig{Dir: t.TempDir(), Command: []string{os.Args[0], "serve"},
		Env: []string{asProgram}, Settings: settings, Replicas: 6, ServiceTime: 20 * time.Millisecond,
		MaintenanceGrace: maintenanceSlack})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { h.Close() })
	return &host{h, t}
}

// must ends the test where an action failed that the rest needs.
func (h *host) must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// start starts a process with variables.
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

// waitReady waits until a process reports at its admin endpoint that it serves.
func (h *host) waitReady(p *faultinjection.Process) *faultinjection.Process {
	eventually(h.t, "the process serves", p.Serves)
	return p
}

// setMaintenance takes a replica out, or calls it back.
func (h *host) setMaintenance(p *faultinjection.Process, replica int, out bool) {
	h.t.Helper()
	h.must(h.SetMaintenance(p, replica, out))
}

// terminate ends a process as the platform does, and waits for it.
func (h *host) terminate(p *faultinjection.Process) {
	h.t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	if err := <-p.Exited; err != nil {
		h.t.Errorf("exit: %v", err)
	}
}

// kill ends a process without a warning, and waits for it.
func (h *host) kill(p *faultinjection.Process) {
	p.Process.Kill()
	<-p.Exited
}

// checkOutcomes checks that a crowd's requests were served or ended in one of the other ways that are allowed, and the
// replicas' records. It returns how many ended in which way.
func (h *host) checkOutcomes(c *faultinjection.ClientPool, allowed ...string) map[string]int {
	h.t.Helper()
	tally := c.Outcomes()
	if tally["200"] < 100 {
		h.t.Errorf("%d served: no load", tally["200"])
	}
	for outcome, n := range tally {
		if outcome != "200" && !slices.Contains(allowed, outcome) {
			h.t.Errorf("%d requests ended with %s", n, outcome)
		}
	}
	if err := h.Check(); err != nil {
		h.t.Error(err)
	}
	return tally
}

// waitListStored waits until some process has stored the complete list.
func (h *host) waitListStored() {
	h.t.Helper()
	eventually(h.t, "the list is stored", func() bool {
		return strings.Contains(strings.Join(storedState(h.Dir), ""), `"f5"`)
	})
}

// storedState is the contents of the files that processes have stored below a folder.
func storedState(dir string) (files []string) {
	names, _ := filepath.Glob(filepath.Join(dir, lifecycle.StateFolder, "*.state"))
	for _, name := range names {
		data, _ := os.ReadFile(name)
		files = append(files, string(data))
	}
	return files
}
