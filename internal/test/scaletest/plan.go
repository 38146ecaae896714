package scaletest

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"
)

// Plan is what a run is made of, what happens in it and which bounds it has to meet.
type Plan struct {
	Name             string        `yaml:"name"`
	Seed             uint64        `yaml:"seed"`          // of every draw of the run
	Duration         time.Duration `yaml:"lasts"`         // from shortly after the clients' start to the last change
	Regions          int           `yaml:"regions"`       // each has at least one zone
	Zones            int           `yaml:"zones"`         // zone z lies in region z modulo Regions
	Coordinators     int           `yaml:"coordinators"`  // real and hollow ones together
	RealCoordinators int           `yaml:"real"`          // coordinators that are processes of the program
	Modules          int           `yaml:"modules"`       // hollow coordinators that also run the decision module
	Hosts            int           `yaml:"hosts"`         // processes that run the hollow coordinators
	Endpoints        int           `yaml:"entries"`       // entries of the endpoint list
	RingSize         int           `yaml:"cells"`         // ring positions; 0 derives them, see ringSize
	Replicas         int           `yaml:"nodes"`         // endpoints that answer; they are the first of the list
	Clients          int           `yaml:"clients"`       // clients of each real coordinator
	Relays           int           `yaml:"relays"`        // besides the authority; 0 plays the baseline alone
	Heartbeat        time.Duration `yaml:"heartbeat"`     // how long a watch waits at most for a change
	SnapshotRate     int           `yaml:"snapshot_rate"` // snapshot budget of a relay, bytes a second; 0: its default

	Changes  Changes   `yaml:"changes"`
	Links    Links     `yaml:"links"`
	Faults   []Fault   `yaml:"troubles"` // ordered by At
	Baseline *Baseline `yaml:"baseline"` // nil plays none
	Bounds   Bounds    `yaml:"must"`
}

// Changes are the intervals at which ordinary changes are published.
type Changes struct {
	EndpointInterval time.Duration `yaml:"entries"`  // between two changed endpoints; 0 for none
	SettingsInterval time.Duration `yaml:"settings"` // between two versions of the settings; 0 for none
	DrainInterval    time.Duration `yaml:"drains"`   // between two drains of replicas that answer; 0 for none
}

// Links are the connections between regions. Those within a region are direct unless WithinRegions is set.
type Links struct {
	WithinRegions bool          `yaml:"all"`   // also connections within a region go through a link
	Delay         time.Duration `yaml:"delay"` // of each piece of data between regions, in each direction
	Loss          Loss          `yaml:"loss"`
}

// Loss stalls a link between regions, or breaks its connections, from time to time.
type Loss struct {
	Interval      time.Duration `yaml:"every"`  // between two losses; 0 for none
	StallDuration time.Duration `yaml:"hold"`   // how long a stalled link passes nothing in one direction
	ResetShare    float64       `yaml:"resets"` // share of the losses that break connections instead, from 0 to 1
}

// Fault is one thing that goes wrong. Exactly one field after Duration names it; InboundOnly belongs to IsolateRegion.
type Fault struct {
	At       time.Duration `yaml:"at"`  // since the beginning of Plan.Duration
	Duration time.Duration `yaml:"for"` // after which it is undone; 0 for never

	KillRelay      *int   `yaml:"kill_relay"`  // number of the relay that is killed, and started again after Duration
	PauseRelay     *int   `yaml:"pause_relay"` // number of the relay that is stopped by SIGSTOP, until SIGCONT
	IsolateRegion  *int   `yaml:"cut_region"`  // number of the region that is isolated from all others
	InboundOnly    bool   `yaml:"one_sided"`   // data leaves the isolated region, but none enters it
	RestartAll     bool   `yaml:"restart_all"` // every member is ended and started again, all at once
	RemoveZone     *int   `yaml:"zone_gone"`   // number of the zone whose endpoints leave the list at one instant
	CorruptAnswers string `yaml:"spoil"`       // how answers of the first relay are corrupted: one of Corruptions
	Settings       string `yaml:"settings"`    // "invalid": the authority is given settings that it has to reject
}

// invalidSettings is the only value of Fault.Settings besides the empty one.
const invalidSettings = "invalid"

// Baseline plays the fleet once more without distribution: every coordinator polls one discovery itself, which serves
// one call after another.
type Baseline struct {
	CallDurations []time.Duration `yaml:"turns"` // how long discovery takes for a call with a change; one play for each
	Duration      time.Duration   `yaml:"lasts"` // of each play
}

// DelayBounds bound the delays from the publishing of a change until it is in force, over all members and changes. A
// zero bounds nothing.
type DelayBounds struct {
	Median time.Duration `yaml:"median" json:"median"`
	P99    time.Duration `yaml:"p99" json:"p99"`
	Max    time.Duration `yaml:"last" json:"last"`
}

// CostBounds bound what a process of a role costs. A zero bounds nothing.
type CostBounds struct {
	CPU      float64 `yaml:"cpu"`       // share of a core
	MemoryMB float64 `yaml:"memory_mb"` // largest resident size
	KBPerS   float64 `yaml:"kb_per_s"`  // bytes of distribution, read and written
}

// Bounds are what a run has to meet besides the rules that hold in every run: no version goes back, no settings of
// two versions are in force, no request is lost, no part is sent where the endpoint list in force forbids it, and
// every member has the last version at the end. A zero bounds nothing.
type Bounds struct {
	List         DelayBounds   `yaml:"list"`      // of the endpoint list, away from faults
	Settings     DelayBounds   `yaml:"settings"`  // of the settings, away from faults
	Recovered    time.Duration `yaml:"recovered"` // from a fault's end until the last member has the next version
	Started      time.Duration `yaml:"started"`   // from a member's start until it has endpoint list and settings
	HollowMember CostBounds    `yaml:"member"`    // of one hollow coordinator, as its share of its host
	Relay        CostBounds    `yaml:"relay"`     // of each relay and of the authority
	CostRatio    float64       `yaml:"ratio"`     // of CPU and of bytes, hollow to real or reverse; 0 compares nothing
}

// ringSize is how many ring positions there are: those of the replicas that answer, which have the first ones to
// themselves, and one for each other endpoint, where the plan names no size.
func (p *Plan) ringSize() int {
	if p.RingSize > 0 {
		return p.RingSize
	}
	return max(replicationFactor, p.replicaPositions()+p.Endpoints-p.Replicas)
}

// replicaPositions is how many ring positions the replicas that answer have.
func (p *Plan) replicaPositions() int { return min(maxReplicaPositions, p.Replicas) }

// corruptsAnswers reports whether some fault corrupts answers.
func (p *Plan) corruptsAnswers() bool {
	return slices.ContainsFunc(p.Faults, func(fault Fault) bool { return fault.CorruptAnswers != "" })
}

// recoveryTime is how long after a fault's end changes still count as affected by it.
func (p *Plan) recoveryTime() time.Duration {
	if p.Bounds.Recovered > 0 {
		return p.Bounds.Recovered
	}
	return defaultRecovery
}

// LoadPlan reads a plan from a file. The error wraps ErrInvalidPlan where the file is no plan, or one that no run could
// play.
func LoadPlan(file string) (*Plan, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	plan := &Plan{}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err = decoder.Decode(plan); err == nil {
		err = plan.validate()
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", file, ErrInvalidPlan, err)
	}
	return plan, nil
}
