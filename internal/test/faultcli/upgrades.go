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
	// upgradeReplicas is the number of replicas.
	upgradeReplicas = 6
	// serviceTime is how long a replica takes to serve a part.
	serviceTime = 20 * time.Millisecond
	// maintenanceGrace is how long parts may still be sent to a replica after its maintenance was confirmed: the grace
	// of the platform's rule on drains, plus the slack that the rule allows for.
	maintenanceGrace = 1050 * time.Millisecond
)

// Upgrades defines a series of upgrades, in each of which a new process of the program takes over from the previous one
// under load.
type Upgrades struct {
	Program  string // path of the built program
	Settings string // path of the site's settings, as JSON
	Count    int    // number of upgrades
	Clients  int
	Interval time.Duration // from the end of an upgrade to the next one
}

// Play runs the upgrades and reports the outcomes of the clients' requests. During each upgrade a replica is in
// maintenance, from before the new process starts until after the old one has ended. The error joins the violations of
// rules, or is the failure that ended the run.
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

// startProcess starts a process, waits until it serves, and returns it and the time from its start until it served.
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

// upgrade performs the i-th upgrade: it has a new process take over from the one that serves, and returns the new one.
// A replica is in maintenance during the upgrade; the old process gets the request that starts the maintenance, the new
// process the one that ends it.
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

// printOutcomes writes the number of the clients' requests by outcome, and of the connections that ended during a
// request.
func printOutcomes(out io.Writer, clients *faultinjection.ClientPool) {
	outcomes := clients.Outcomes()
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		fmt.Fprintf(out, "%s: %d\n", outcome, outcomes[outcome])
	}
	unanswered, notForwarded := clients.Unanswered()
	fmt.Fprintf(out, "connections that ended under a request: %d, of these not forwarded: %d\n",
		unanswered, notForwarded)
}
