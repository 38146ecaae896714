package rigplay

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"syscall"
	"time"

	"harepass/internal/rig"
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
	h, err := rig.NewHost(rig.Config{Dir: dir, Command: []string{u.Program, "serve"}, Settings: settings, Nodes: upgradeNodes, Work: partWork, Slack: drainSlack})
	if err != nil {
		return err
	}
	defer h.Close()
	next := func() (*rig.Process, time.Duration, error) {
		began := time.Now()
		p, err := h.Start()
		if err == nil {
			if err = rig.Wait("a yes", p.Serves); err != nil {
				err = fmt.Errorf("%w\n%s", err, p.Log())
			}
		}
		return p, time.Since(began), err
	}
	now, _, err := next()
	if err != nil {
		return err
	}
	c := h.Crowd(u.Clients)
	for i := range u.Count {
		time.Sleep(u.Every)
		if err := h.Take(now, i%upgradeNodes, true); err != nil {
			return err
		}
		p, took, err := next()
		if err != nil {
			return err
		}
		now.Process.Signal(syscall.SIGTERM)
		end := <-now.Over
		fmt.Fprintf(out, "upgrade %d: yes after %v; the old one ended with %v\n", i+1, took.Round(time.Millisecond), end)
		if err := h.Take(p, i%upgradeNodes, false); err != nil {
			return err
		}
		now = p
	}
	c.End()
	tally := c.Tally()
	for _, k := range slices.Sorted(maps.Keys(tally)) {
		fmt.Fprintf(out, "%s: %d\n", k, tally[k])
	}
	unsure, unheard := c.TurnedBack()
	fmt.Fprintf(out, "connections that ended under a request: %d, of these unheard: %d\n", unsure, unheard)
	return h.Check()
}
