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

const (
	// upgradeReplicas is how many replicas there are.
	upgradeReplicas = 6
	// serviceTime is how long a part takes a replica.
	serviceTime = 20 * time.Millisecond
	// maintenanceGrace is how long after its maintenance was confirmed a replica may be sent to: the platform's rule
	// on drains, with its slack.
	maintenanceGrace = 1050 * time.Millisecond
)

// Upgrades says how real processes of the program take over from each other under load.
type Upgrades struct {
	Program  string // the built program
	Settings string // file of the site's settings, as JSON
	Count    int    // of upgrades
	Clients  int
	Interval time.Duration // from the end of an upgrade to the next one
}

// Play plays the upgrades, each with a replica that is in maintenance from before it until after it, and reports what
// became of the clients' requests. The error joins what did not hold.
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
	h, err := faultinjection.NewHost(faultinjection.HostConfig{
		Dir:              dir,
		Command:          []string{u.Program, "serve"},
		Settings:         settings,
		Replicas:         upgradeReplicas,
		ServiceTime:      serviceTime,
		MaintenanceGrace: maintenanceGrace,
	})
	if err != nil {
		return err
	}
	defer h.Close()
	serving, _, err := startProcess(h)
	if err != nil {
		return err
	}
	clients := h.StartClients(u.Clients)
	for i := range u.Count {
		time.Sleep(u.Interval)
		if serving, err = upgrade(h, serving, i, out); err != nil {
			return err
		}
	}
	clients.Stop()
	printOutcomes(out, clients)
	return h.Check()
}

// startProcess starts a process and waits until it serves, and returns how long that took.
func startProcess(h *faultinjection.Host) (*faultinjection.Process, time.Duration, error) {
	began := time.Now()
	p, err := h.Start()
	if err != nil {
		return nil, 0, err
	}
	if err := faultinjection.WaitFor("the new process serves", p.Serves); err != nil {
		return nil, 0, fmt.Errorf("%w\n%s", err, p.Log())
	}
	return p, time.Since(began), nil
}

// upgrade has a new process take over from the one that serves, as the i-th of them, and returns it. A replica is in
// maintenance meanwhile: taken out at the old process, and back in at the new one.
func upgrade(
	h *faultinjection.Host, serving *faultinjection.Process, i int, out io.Writer,
) (*faultinjection.Process, error) {
	replica := i % upgradeReplicas
	if err := h.SetMaintenance(serving, replica, true); err != nil {
		return nil, err
	}
	next, startupTime, err := startProcess(h)
	if err != nil {
		return nil, err
	}
	serving.Process.Signal(syscall.SIGTERM)
	exit := <-serving.Exited
	fmt.Fprintf(out, "upgrade %d: the new process serves after %v; the old one ended with %v\n",
		i+1, startupTime.Round(time.Millisecond), exit)
	return next, h.SetMaintenance(next, replica, false)
}

// printOutcomes writes how the clients' requests have ended.
func printOutcomes(out io.Writer, clients *faultinjection.ClientPool) {
	outcomes := clients.Outcomes()
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(out, "%s: %d\n", outcome, outcomes[outcome])
	}
	unanswered, notForwarded := clients.Unanswered()
	fmt.Fprintf(out, "connections that ended under a request: %d, of these not forwarded: %d\n",
		unanswered, notForwarded)
}
