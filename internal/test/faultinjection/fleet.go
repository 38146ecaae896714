package faultinjection

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// FleetConfig says what a Fleet runs.
type FleetConfig struct {
	Dir      string   // existing folder for configurations, a $TMPDIR of each process, and the timeline
	Command  []string // the program with its arguments
	Env      []string // variables of each process besides those of this one
	Settings []byte   // of the site, as JSON; the scenario replaces fleet size, ring and the form of discovery
}

// Fleet is coordinators, each a process of the program, among replicas and a discovery that all share. Each coordinator
// reaches each of them over a Link of its own.
type Fleet struct {
	FleetConfig
	*Scenario
	*Timeline

	site       *site
	registry   fake.Registry
	replicas   []*fleetReplica
	members    []*member // all that the scenario ever has
	targetSize int       // the size of the fleet in the configuration of processes that start now
	checker    *ruleChecker
	listeners  linkedListeners

	schedulingDelay schedulingDelay // of this process
	background      sync.WaitGroup  // planned restarts and suspensions

	mu           sync.Mutex
	failures     []error         // of what runs in the background
	startupTimes []time.Duration // of each process: from its start until it served
	peakMemoryKB []int           // of each process
}

// NewFleet opens replicas, discovery and links for as many coordinators as the scenario ever has, and starts those that
// it begins with. The caller closes the fleet. Errors are those of the settings, of listening and of starting.
func NewFleet(c FleetConfig, s *Scenario) (*Fleet, error) {
	f := &Fleet{FleetConfig: c, Scenario: s, Timeline: newTimeline(), targetSize: s.Coordinators}
	var err error
	if f.Settings, err = s.overrideSettings(c.Settings); err != nil {
		return nil, err
	}
	if f.site, err = readSite(f.Settings); err != nil {
		return nil, err
	}
	f.schedulingDelay.start()
	f.checker = newRuleChecker(f)
	for i := range s.Replicas {
		r := newFleetReplica(i, s.ringPosition(i), s.ServiceTime, f.site.rules)
		f.replicas = append(f.replicas, r)
		f.registry.Put(r.entry)
	}
	for i := range s.peakCoordinators() {
		m, err := f.openMember(i)
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.members = append(f.members, m)
	}
	for _, m := range f.members[:s.Coordinators] {
		if err := f.startMember(m); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

// machineTime is the present time on the clock of the replicas' machines. It begins a second before the timeline: to a
// machine, a start at 0 means that it has long been warmed up.
func (f *Fleet) machineTime() time.Duration { return time.Since(f.began) + time.Second }

// Close kills what still runs, closes listeners and links, and writes timeline.txt to the fleet's folder.
func (f *Fleet) Close() (err error) {
	for _, m := range f.running() {
		f.kill(m)
	}
	f.schedulingDelay.stop()
	err = errors.Join(err, f.listeners.close())
	out, createErr := os.Create(filepath.Join(f.Dir, "timeline.txt"))
	if createErr != nil {
		return errors.Join(err, createErr)
	}
	return errors.Join(err, f.Print(out), out.Close())
}

// ProcessStats returns how long each process took from its start until it served, and the peak resident memory of each
// process that has ended, in KB.
func (f *Fleet) ProcessStats() (startupTimes []time.Duration, peakMemoryKB []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.startupTimes), slices.Clone(f.peakMemoryKB)
}

// PrintSummary writes a line that counts the requests by how they ended, and what was checked.
func (f *Fleet) PrintSummary(out io.Writer) {
	parts, lists, unjudged := f.checker.counts()
	fmt.Fprintf(out, "%s: requests %v, parts %d, endpoint lists sent %d, records not judged %d\n",
		f.Name, f.outcomes(), parts, lists, unjudged)
}

// outcomes counts how the requests of all clients have ended, as ClientPool.Outcomes does.
func (f *Fleet) outcomes() map[string]int {
	total := map[string]int{}
	for _, m := range f.members {
		if m.clients != nil {
			for outcome, n := range m.clients.Outcomes() {
				total[outcome] += n
			}
		}
	}
	return total
}
