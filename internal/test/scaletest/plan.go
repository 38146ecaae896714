package scaletest

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"go.yaml.in/yaml/v3"
)

// Plan describes the fleet of a run, the changes and faults in it, and the bounds that it must meet.
type Plan struct {
	Name             string        `yaml:"name"`
	Seed             uint64        `yaml:"seed"`          // for all random numbers of the run
	Duration         time.Duration `yaml:"lasts"`         // from settleAfterStart after the clients to the last change
	Regions          int           `yaml:"regions"`       // each has at least one zone
	Zones            int           `yaml:"zones"`         // zone z is in region z modulo Regions
	Coordinators     int           `yaml:"coordinators"`  // real and hollow ones together
	RealCoordinators int           `yaml:"real"`          // coordinators that are processes of the program
	Modules          int           `yaml:"modules"`       // hollow coordinators that also run the decision module
	Hosts            int           `yaml:"hosts"`         // processes that run the hollow coordinators
	Endpoints        int           `yaml:"entries"`       // entries of the endpoint list
	RingSize         int           `yaml:"cells"`         // ring positions; 0 derives them, see ringSize
	Replicas         int           `yaml:"nodes"`         // endpoints that answer; the first of the endpoint list
	Clients          int           `yaml:"clients"`       // clients of each real coordinator
	Relays           int           `yaml:"relays"`        // in addition to the authority; 0 runs only the baseline
	Heartbeat        time.Duration `yaml:"heartbeat"`     // longest wait of a watch for a change
	SnapshotRate     int           `yaml:"snapshot_rate"` // snapshot budget of a relay, in bytes/s; 0: its default

	Changes  Changes   `yaml:"changes"`
	Links    Links     `yaml:"links"`
	Faults   []Fault   `yaml:"troubles"` // ordered by At
	Baseline *Baseline `yaml:"baseline"` // nil for no baseline
	Bounds   Bounds    `yaml:"must"`
}

// Changes sets the intervals at which ordinary changes are published.
type Changes struct {
	EndpointInterval time.Duration `yaml:"entries"`  // between two endpoint restarts; 0 for none
	SettingsInterval time.Duration `yaml:"settings"` // between two versions of the settings; 0 for none
	DrainInterval    time.Duration `yaml:"drains"`   // between two drains of replicas that answer; 0 for none
}

// Links configures the connections between regions. Connections within a region are direct unless WithinRegions is set.
type Links struct {
	WithinRegions bool          `yaml:"all"`   // connections within a region also go through a link
	Delay         time.Duration `yaml:"delay"` // of each piece of data between regions, in each direction
	Loss          Loss          `yaml:"loss"`
}

// Loss configures periodic faults of links between regions: a link stalls, or its connections are reset.
type Loss struct {
	Interval      time.Duration `yaml:"every"`  // between two losses; 0 for none
	StallDuration time.Duration `yaml:"hold"`   // how long a link stalls in one direction
	ResetShare    float64       `yaml:"resets"` // share of the losses that reset connections instead, from 0 to 1
}

// Fault is one fault that a run injects. Exactly one field after Duration selects its kind; InboundOnly only modifies
// IsolateRegion.
type Fault struct {
	At       time.Duration `yaml:"at"`  // since the start of Plan.Duration
	Duration time.Duration `yaml:"for"` // time until the fault is undone; 0 for never

	KillRelay      *int   `yaml:"kill_relay"`  // number of the relay that is killed, and restarted after Duration
	PauseRelay     *int   `yaml:"pause_relay"` // number of the relay that is paused by SIGSTOP, until SIGCONT
	IsolateRegion  *int   `yaml:"cut_region"`  // number of the region that is isolated from all others
	InboundOnly    bool   `yaml:"one_sided"`   // data can leave the isolated region, but not enter it
	RestartAll     bool   `yaml:"restart_all"` // all members are ended and started again at once
	RemoveZone     *int   `yaml:"zone_gone"`   // number of the zone whose endpoints are all removed at one instant
	CorruptAnswers string `yaml:"spoil"`       // how answers of the first relay are corrupted: one of Corruptions
	Settings       string `yaml:"settings"`    // "invalid": the authority reads settings that it must reject
}

// invalidSettings is the only non-empty value of Fault.Settings.
const invalidSettings = "invalid"

// Baseline configures additional runs of the fleet without distribution: every coordinator polls the same discovery,
// which serves calls one after another.
type Baseline struct {
	CallDurations []time.Duration `yaml:"turns"` // service time of a discovery call with a change; one run for each
	Duration      time.Duration   `yaml:"lasts"` // of each run
}

// DelayBounds are upper bounds on the delays from the publishing of a change until it is in force, over all members and
// changes. Zero means no bound.
type DelayBounds struct {
	Median time.Duration `yaml:"median" json:"median"`
	P99    time.Duration `yaml:"p99" json:"p99"`
	Max    time.Duration `yaml:"last" json:"last"`
}

// CostBounds are upper bounds on the resource usage of a process of a role. Zero means no bound.
type CostBounds struct {
	CPU      float64 `yaml:"cpu"`       // share of a core
	MemoryMB float64 `yaml:"memory_mb"` // largest resident size
	KBPerS   float64 `yaml:"kb_per_s"`  // bytes of distribution, read and written
}

// Bounds are the bounds that a run must meet in addition to the rules of every run: no member goes back to an older
// version, no settings of two versions are in force, no request is lost, no part is sent to a replica that the endpoint
// list in force excludes, and every member has the last version at the end. Zero means no bound.
type Bounds struct {
	List         DelayBounds   `yaml:"list"`      // of endpoint list changes that no fault affects
	Settings     DelayBounds   `yaml:"settings"`  // of settings changes that no fault affects
	Recovered    time.Duration `yaml:"recovered"` // from the first list change after a fault until all members have it
	Started      time.Duration `yaml:"started"`   // from a member's start until it has endpoint list and settings
	HollowMember CostBounds    `yaml:"member"`    // of one hollow coordinator, as its share of its host
	Relay        CostBounds    `yaml:"relay"`     // of each relay and of the authority
	CostRatio    float64       `yaml:"ratio"`     // of CPU and of bytes, hollow to real or inverse; 0 for no comparison
}

// ringSize returns the number of ring positions. Without RingSize in the plan, these are the first positions, reserved
// for the replicas that answer, and one position for each other endpoint.
func (p *Plan) ringSize() int {
	if p.RingSize > 0 {
		return p.RingSize
	}
	return max(replicationFactor, p.replicaPositions()+p.Endpoints-p.Replicas)
}

// replicaPositions returns the number of ring positions of the replicas that answer.
func (p *Plan) replicaPositions() int { return min(maxReplicaPositions, p.Replicas) }

// corruptsAnswers reports whether any fault of the plan corrupts answers.
func (p *Plan) corruptsAnswers() bool {
	return slices.ContainsFunc(p.Faults, func(fault Fault) bool { return fault.CorruptAnswers != "" })
}

// recoveryTime returns how long after a fault's end changes still count as affected by it.
func (p *Plan) recoveryTime() time.Duration {
	if p.Bounds.Recovered > 0 {
		return p.Bounds.Recovered
	}
	return defaultRecovery
}

// LoadPlan reads a plan from a file. The error wraps ErrInvalidPlan if the file does not contain a plan, or if the plan
// cannot be executed.
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
