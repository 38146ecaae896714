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

const (
	holdersPerShard = 3 // how many cells in a row hold a section, where nodes form no sets
	shardsPerSet    = 6 // that a set of nodes holds
)

// FleetConfig says what a Fleet is made of.
type FleetConfig struct {
	Dir      string   // for configurations, a $TMPDIR of each process, and the timeline
	Command  []string // the program with its arguments
	Env      []string
	Settings []byte // of the site; their size of the fleet, cells and discovery are the scenario's
}

// Fleet is real processes of the program, each a coordinator of its own, among nodes and a discovery that all share. Every
// way from one to another is a Link.
type Fleet struct {
	FleetConfig
	*Scenario
	*Timeline

	site       *site
	registry   fake.Registry
	replicas   []*fleetReplica
	members    []*member
	targetSize int // in the configuration of those that start now
	checker    ruleChecker
	listeners  linkedListeners

	schedulingDelay schedulingDelay // of this process
	background      sync.WaitGroup  // planned restarts and holds

	mu           sync.Mutex
	failures     []error         // of what runs in the background
	startupTimes []time.Duration // of each process: from its start until it serves
	peakMemoryKB []int           // of each process
}

// at is the present time on the clock of the nodes' machines, which begins a second before the timeline: to a machine, a
// start at 0 means long ago.
func (f *Fleet) machineTime() time.Duration { return time.Since(f.began) + time.Second }

// NewFleet opens nodes, discovery and links for as many coordinators as the scenario ever has, and starts those that it
// begins with.
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
	f.checker.init(f)
	most := s.Coordinators
	for _, st := range s.Steps {
		most = max(most, st.Resize)
	}
	for i := range s.Replicas {
		n := newFleetReplica(i, s.ringPosition(i), s.ServiceTime, f.site.rules)
		f.replicas = append(f.replicas, n)
		f.registry.Put(n.entry)
	}
	for i := range most {
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

// Started is how long each process took from its start until it served, and the peak resident memory of each, in KB.
func (f *Fleet) ProcessStats() (startupTimes []time.Duration, peakMemoryKB []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.startupTimes), slices.Clone(f.peakMemoryKB)
}

// Close kills what still runs, closes the rest and writes the timeline.
func (f *Fleet) Close() (err error) {
	for _, m := range f.running() {
		f.kill(m)
	}
	f.schedulingDelay.stop()
	err = errors.Join(err, f.listeners.close())
	out, e := os.Create(filepath.Join(f.Dir, "timeline.txt"))
	if e == nil {
		e = errors.Join(f.Print(out), out.Close())
	}
	return errors.Join(err, e)
}

// Summary says what became of the requests, by how they ended.
func (f *Fleet) PrintSummary(out io.Writer) {
	parts, lists, unjudged := f.checker.counts()
	fmt.Fprintf(out, "%s: requests %v, parts %d, lists told %d, records not judged %d\n", f.Name, f.outcomes(), parts, lists, unjudged)
}

// tally is how the requests of all crowds have ended, as Crowd.Tally has it.
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
