package scaletest

import (
	"encoding/json"
	"os"
)

// The phases of a run, as Result.Machine has them.
const (
	phaseStarting     = "starting" // from the start of the members until each has endpoint list and settings
	phaseUndisturbed  = "calm"     // from then on, after the clients have settled, until the first fault
	phaseDuringFaults = "troubled" // from the first fault on
)

// Result is what a run measured.
type Result struct {
	Plan         string                 `json:"plan"`
	Sizes        Sizes                  `json:"sizes"`
	Started      DelaySummary           `json:"started"`  // from a member's start until it had both resources
	List         DelaySummary           `json:"list"`     // of the endpoint list, away from faults
	Settings     DelaySummary           `json:"settings"` // of the settings, away from faults
	Faults       []FaultDelays          `json:"troubles,omitempty"`
	Violations   Violations             `json:"broken"`
	Undisturbed  map[role]RoleCost      `json:"calm,omitempty"`    // before the first fault
	Starting     map[role]RoleCost      `json:"starting"`          // while all members started
	DuringFaults map[role]RoleCost      `json:"troubled"`          // from the first fault on
	Machine      map[string]MachineLoad `json:"machine,omitempty"` // by phase
	Requests     map[string]int         `json:"requests"`          // of the clients, by outcome
	Parts        int                    `json:"parts"`             // that reached replicas
	Ratio        *Ratio                 `json:"ratio,omitempty"`   // nil where the plan bounds none
	Baseline     []BaselineResult       `json:"baseline,omitempty"`
	// UnobservedChanges are those to which the authority gave no index: a later change overtook them on their way
	// there.
	UnobservedChanges int      `json:"unseen_changes"`
	MissedBounds      []string `json:"missed"`  // a sentence for each missed bound and each broken rule
	Seconds           float64  `json:"seconds"` // duration of the whole run
}

// Sizes are what a run was made of.
type Sizes struct {
	Coordinators     int `json:"coordinators"`
	RealCoordinators int `json:"real"`
	Modules          int `json:"hollow_with_module"` // hollow coordinators with the decision module
	Endpoints        int `json:"entries"`
	Replicas         int `json:"nodes_that_answer"`
	ControlProcesses int `json:"control_processes"` // the authority and the relays
	Processes        int `json:"processes"`         // all that the run started
	Regions          int `json:"regions"`
	Zones            int `json:"zones"`
}

// FaultDelays are the delays of the changes that were published in a fault, and of the first one after its end.
type FaultDelays struct {
	Description      string       `json:"what"`
	At               float64      `json:"at_s"`      // seconds since the run's beginning
	List             DelaySummary `json:"list"`      // of the endpoint list, to members that were not isolated
	Settings         DelaySummary `json:"settings"`  // of the settings, to members that were not isolated
	Recovered        DelaySummary `json:"recovered"` // of the first endpoint list change after the end, to all members
	CorruptedAnswers int          `json:"spoilt_answers,omitempty"`
}

// Ratio is the cost of a hollow coordinator as a multiple of a real one's.
type Ratio struct {
	CPU   float64 `json:"cpu"`
	Bytes float64 `json:"bytes"`
}

// BaselineResult is what one play of the fleet without distribution measured.
type BaselineResult struct {
	CallDuration Seconds      `json:"turn_s"` // how long discovery took for a call with a change
	List         DelaySummary `json:"list"`
	ServedCalls  int          `json:"calls_answered"`
	FailedCalls  int          `json:"calls_failed"` // calls that discovery rejected after MaxWait
	Cost         RoleCost     `json:"spent"`        // of a hollow coordinator
	KBPerS       float64      `json:"kb_per_s"`     // of all coordinators together
}

// Write writes the result as JSON into a file.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
