// Package scaletest plays a large fleet on one machine: real processes of the program, hollow coordinators that hold only what
// lists and settings need, the control processes between them and a discovery stand-in, and links between regions that can
// be broken. A plan in YAML names sizes, troubles and bounds; the result holds the measurements against the bounds. It is
// for tests and the laboratory only.
package scaletest

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"
)

// Plan is what a run is made of, what happens in it and what has to hold.
type Plan struct {
	Name             string        `yaml:"name"`
	Seed             uint64        `yaml:"seed"`
	Duration         time.Duration `yaml:"lasts"` // from when every member has the whole list
	Regions          int           `yaml:"regions"`
	Zones            int           `yaml:"zones"`        // dealt out to the regions in turn
	Coordinators     int           `yaml:"coordinators"` // in all
	RealCoordinators int           `yaml:"real"`         // of them, processes of the program
	Modules          int           `yaml:"modules"`      // of the hollow ones, those that hold the decision module too
	Hosts            int           `yaml:"hosts"`        // processes that hold the hollow ones
	Endpoints        int           `yaml:"entries"`
	RingSize         int           `yaml:"cells"`   // of the ring; 0 for one to each entry, so that three hold a section
	Replicas         int           `yaml:"nodes"`   // of the entries, stand-ins that answer
	Clients          int           `yaml:"clients"` // of each real coordinator
	Relays           int           `yaml:"relays"`  // beside the authority; 0 plays the baseline alone
	Heartbeat        time.Duration `yaml:"heartbeat"`
	SnapshotRate     int           `yaml:"snapshot_rate"` // bytes a second that a relay spends on snapshots

	Changes  Changes   `yaml:"changes"`
	Links    Links     `yaml:"links"`
	Faults   []Fault   `yaml:"troubles"`
	Baseline *Baseline `yaml:"baseline"` // nil for none
	Bounds   Bounds    `yaml:"must"`
}

// Changes is the ordinary rate of changes.
type Changes struct {
	EndpointInterval time.Duration `yaml:"entries"`  // between two changed entries of the list; 0 for none
	SettingsInterval time.Duration `yaml:"settings"` // between two versions of the settings; 0 for none
	DrainInterval    time.Duration `yaml:"drains"`   // between two drains of nodes that answer; 0 for none
}

// Links are the ways between regions. Those within a region are direct unless All is set.
type Links struct {
	WithinRegions bool          `yaml:"all"`
	Delay         time.Duration `yaml:"delay"` // of each piece, in each direction
	Loss          Loss          `yaml:"loss"`
}

// Loss holds the bytes of a link, or breaks its connections, now and then.
type Loss struct {
	Interval      time.Duration `yaml:"every"` // 0 for never
	StallDuration time.Duration `yaml:"hold"`
	ResetShare    float64       `yaml:"resets"` // share of the losses that break connections
}

// Trouble is one thing that happens. Exactly one of the fields after For is set.
type Fault struct {
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"` // until it ends by itself; 0 for good

	KillRelay      *int   `yaml:"kill_relay"`  // by number; started again after For
	PauseRelay     *int   `yaml:"pause_relay"` // SIGSTOP until For is over
	IsolateRegion  *int   `yaml:"cut_region"`  // from all others
	InboundOnly    bool   `yaml:"one_sided"`   // with CutRegion: only what goes into the region is held
	RestartAll     bool   `yaml:"restart_all"` // every member is killed and started
	RemoveZone     *int   `yaml:"zone_gone"`   // its entries leave the list, one by one; back after For
	CorruptAnswers string `yaml:"spoil"`       // what the first relay's answers become: see Spoils
	Settings       string `yaml:"settings"`    // "invalid": the authority is given settings that it has to refuse
}

// Baseline plays the fleet once more as it is without distribution: every coordinator asks one discovery itself, which
// serves calls in turn.
type Baseline struct {
	CallDurations []time.Duration `yaml:"turns"` // what a call costs discovery; one play each
	Duration      time.Duration   `yaml:"lasts"` // of each play
}

// Delays bound the time from the publishing of a change until it is in force, over all members and changes.
type DelayBounds struct {
	Median time.Duration `yaml:"median" json:"median"`
	P99    time.Duration `yaml:"p99" json:"p99"`
	Max    time.Duration `yaml:"last" json:"last"`
}

// Share bounds what a process of a role spends; a zero bounds nothing.
type CostBounds struct {
	CPU      float64 `yaml:"cpu"`       // of a core
	MemoryMB float64 `yaml:"memory_mb"` // resident, at most
	KBPerS   float64 `yaml:"kb_per_s"`  // of distribution, in and out
}

// Must is what has to hold besides the rules that always do: no version goes back, no half configuration, no request lost,
// no part sent where the list in force forbids it, everyone at the last version at the end.
type Bounds struct {
	List         DelayBounds   `yaml:"list"`      // outside of troubles
	Settings     DelayBounds   `yaml:"settings"`  // outside of troubles
	Recovered    time.Duration `yaml:"recovered"` // after a trouble's end, until the last member has the latest version
	Started      time.Duration `yaml:"started"`   // from the start of all until the last member has list and settings
	HollowMember CostBounds    `yaml:"member"`    // a hollow one's share of its host
	Relay        CostBounds    `yaml:"relay"`     // also the authority's
	CostRatio    float64       `yaml:"ratio"`     // most between a hollow and a real one's CPU, or bytes, either way; 0 for no comparison
}

// Bounds of what one machine can hold.
const (
	maxProcesses        = 300
	maxEndpoints        = 7000
	maxCoordinators     = 1500
	maxControlProcesses = 10
	maxDuration         = 10 * time.Minute
)

// cells is how many cells the ring has. The nodes that answer have the first ones to themselves.
func (p *Plan) ringSize() int {
	if p.RingSize > 0 {
		return p.RingSize
	}
	return max(replicationFactor, p.replicaPositions()+p.Endpoints-p.Replicas)
}

// nodeCells is how many cells the nodes that answer have.
func (p *Plan) replicaPositions() int { return min(maxReplicaPositions, p.Replicas) }

// Load reads a plan from a file.
func LoadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	p := &Plan{}
	d := yaml.NewDecoder(bytes.NewReader(data))
	d.KnownFields(true)
	err = d.Decode(p)
	if err == nil {
		err = p.validate()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return p, nil
}

// check names the first thing that no run could be or do.
func (p *Plan) validate() error {
	for _, c := range []struct {
		what         string
		have, lo, hi int
	}{
		{"regions", p.Regions, 1, 7}, {"zones", p.Zones, p.Regions, 19}, {"coordinators", p.Coordinators, 1, maxCoordinators},
		{"real", p.RealCoordinators, 0, min(40, p.Coordinators)}, {"modules", p.Modules, 0, p.Coordinators - p.RealCoordinators},
		{"hosts", p.Hosts, 0, 20}, {"entries", p.Endpoints, 1, maxEndpoints}, {"nodes", p.Replicas, 0, min(60, p.Endpoints)},
		{"clients", p.Clients, 0, 20}, {"relays", p.Relays, 0, maxControlProcesses - 1},
	} {
		if c.have < c.lo || c.have > c.hi {
			return fmt.Errorf("%s: %d is not within %d and %d", c.what, c.have, c.lo, c.hi)
		}
	}
	switch {
	case p.Hosts == 0 && p.Coordinators > p.RealCoordinators:
		return errors.New("hosts: hollow coordinators need one at least")
	case p.Duration <= 0 || p.Duration > maxDuration:
		return fmt.Errorf("lasts: %v is not within 0 and %v", p.Duration, maxDuration)
	case p.Relays == 0 && p.Baseline == nil:
		return errors.New("relays: without any and without a baseline there is nothing to play")
	case p.RingSize > 0 && (p.RingSize <= maxReplicaPositions || p.RingSize > p.Endpoints):
		return fmt.Errorf("cells: %d is not within %d and %d", p.RingSize, maxReplicaPositions+1, p.Endpoints)
	case p.Clients > 0 && p.Replicas < minReplicasForClients:
		return fmt.Errorf("nodes: clients need %d at least", minReplicasForClients)
	case 1+p.Relays+p.Hosts+p.RealCoordinators > maxProcesses:
		return fmt.Errorf("more than %d processes", maxProcesses)
	}
	for i, t := range p.Faults {
		if err := p.validateFault(t); err != nil {
			return fmt.Errorf("trouble %d at %v: %w", i+1, t.At, err)
		}
		if i > 0 && t.At < p.Faults[i-1].At {
			return fmt.Errorf("trouble %d at %v comes before the one above", i+1, t.At)
		}
	}
	return nil
}

// spoils tells whether some trouble spoils answers.
func (p *Plan) corruptsAnswers() bool {
	return slices.ContainsFunc(p.Faults, func(t Fault) bool { return t.CorruptAnswers != "" })
}

// checkTrouble names what no trouble could be.
func (p *Plan) validateFault(t Fault) error {
	set := 0
	for _, number := range []struct {
		what string
		no   *int
		most int
	}{{"kill_relay", t.KillRelay, p.Relays}, {"pause_relay", t.PauseRelay, p.Relays}, {"cut_region", t.IsolateRegion, p.Regions}, {"zone_gone", t.RemoveZone, p.Zones}} {
		if number.no == nil {
			continue
		}
		set++
		if *number.no < 0 || *number.no >= number.most {
			return fmt.Errorf("%s: %d is not within 0 and %d", number.what, *number.no, number.most-1)
		}
	}
	for _, yes := range []bool{t.RestartAll, t.CorruptAnswers != "", t.Settings != ""} {
		if yes {
			set++
		}
	}
	switch {
	case set != 1:
		return fmt.Errorf("names %d things; one trouble is one", set)
	case (t.PauseRelay != nil || t.IsolateRegion != nil) && t.Duration <= 0:
		return errors.New("for: a pause or a cut has to end")
	case t.At+t.Duration >= p.Duration:
		return fmt.Errorf("ends after the run, which lasts %v", p.Duration)
	case t.CorruptAnswers != "" && !slices.Contains(Corruptions, t.CorruptAnswers):
		return fmt.Errorf("spoil %q is none of %v", t.CorruptAnswers, Corruptions)
	case t.Settings != "" && t.Settings != invalidSettings:
		return fmt.Errorf("settings %q is not %q", t.Settings, invalidSettings)
	}
	return nil
}

// invalidSettings names the trouble in which the authority is given settings that it has to refuse.
const invalidSettings = "invalid"
