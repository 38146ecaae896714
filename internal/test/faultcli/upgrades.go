package faultcli

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"harepass/internal/test/faultinjection"
)

// Upgrades are real processes of the program, each taking over from the one before under load.
type Upgrades struct {
	Program  string // the built program
	Settings string // file of the site's settings, as the platform words them
	Count    int
	Clients  int
	Every    time.Duration
}

const (
	upgradeNodes = 6
	partWork     = 20 * time.Millisecond
	drainSlack   = 1050 * time.Millisecond // the platform's rule on drains, with its slack
)

// Play plays them, each with a node taken out before it and called back after it, and says what became of the clients'
// requests. The error tells of broken rules.
func (u Upgrades) Play(out io.Writer) (err error) {
	settings, err := os.ReadFile(u.Settings)
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "upgrades")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	h, err := faultinjection.NewHost(faultinjection.HostConfig{Dir: dir, Command: []string{u.Program, "serve"}, Settings: settings, Replicas: upgradeNodes, ServiceTime: partWork, MaintenanceGrace: drainSlack})
	if err != nil {
		return err
	}
	defer h.Close()
	serving, _, err := startVersion(h)
	if err != nil {
		return err
	}
	c := h.StartClients(u.Clients)
	for i := range u.Count {
		time.Sleep(u.Every)
		if serving, err = upgrade(h, serving, i, out); err != nil {
			return err
		}
	}
	c.Stop()
	printTally(out, c)
	return h.Check()
}

// startVersion starts a process and waits until it serves, which takes so long.
func startVersion(h *faultinjection.Host) (*faultinjection.Process, time.Duration, error) {
	start := time.Now()
	p, err := h.Start()
	if err != nil {
		return nil, 0, err
	}
	if err := faultinjection.WaitFor("a yes", p.Serves); err != nil {
		return nil, 0, fmt.Errorf("%w\n%s", err, p.Log())
	}
	return p, time.Since(start), nil
}

// upgrade has a new process take over from the one that serves, as the i-th of them, with a node out meanwhile.
func upgrade(h *faultinjection.Host, serving *faultinjection.Process, i int, out io.Writer) (*faultinjection.Process, error) {
	node := i % upgradeNodes
	if err := h.SetMaintenance(serving, node, true); err != nil {
		return nil, err
	}
	next, took, err := startVersion(h)
	if err != nil {
		return nil, err
	}
	serving.Process.Signal(syscall.SIGTERM)
	end := <-serving.Exited
	fmt.Fprintf(out, "upgrade %d: yes after %v; the old one ended with %v\n", i+1, took.Round(time.Millisecond), end)
	return next, h.SetMaintenance(next, node, false)
}

func printTally(out io.Writer, c *faultinjection.ClientPool) {
	tally := c.Outcomes()
	for _, outcome := range slices.Sorted(maps.Keys(tally)) {
		fmt.Fprintf(out, "%s: %d\n", outcome, tally[outcome])
	}
	unanswered, unsent := c.Unanswered()
	fmt.Fprintf(out, "connections that ended under a request: %d, of these unheard: %d\n", unanswered, unsent)
}
