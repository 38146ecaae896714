package scaletest

import (
	"encoding/json"
	"os"
)

// Phases of a run, as the keys of Result.Machine.
const (
	phaseStarting     = "starting" // from the start of the members until each has both resources
	phaseUndisturbed  = "calm"     // from settleAfterStart after the clients' start until the first fault
	phaseDuringFaults = "troubled" // from the first fault on
)

// Result holds the measurements of a run.
type Result struct {
	Plan         string                 `json:"plan"`
	Sizes        Sizes                  `json:"sizes"`
	Started      DelaySummary           `json:"started"`  // from a member's start until it had both resources
	List         DelaySummary           `json:"list"`     // of endpoint list changes that no fault affected
	Settings     DelaySummary           `json:"settings"` // of settings changes that no fault affected
	Faults       []FaultDelays          `json:"troubles,omitempty"`
	Violations   Violations             `json:"broken"`
	Undisturbed  map[role]RoleCost      `json:"calm,omitempty"`    // from settling until the first fault
	Starting     map[role]RoleCost      `json:"starting"`          // until all members have both resources
	DuringFaults map[role]RoleCost      `json:"troubled"`          // from the first fault on
	Machine      map[string]MachineLoad `json:"machine,omitempty"` // by phase
	Requests     map[string]int         `json:"requests"`          // of the clients, by outcome
	Parts        int                    `json:"parts"`             // parts that reached replicas
	Ratio        *Ratio                 `json:"ratio,omitempty"`   // nil without a bound, or if a real cost is 0
	Baseline     []BaselineResult       `json:"baseline,omitempty"`
	// UnobservedChanges counts the changes to which the authority gave no index, because a later change replaced them
	// before they reached the authority.
	UnobservedChanges int      `json:"unseen_changes"`
	MissedBounds      []string `json:"missed"`  // a sentence for each missed bound and each broken rule
	Seconds           float64  `json:"seconds"` // duration of the whole run
}

// Sizes are the sizes of a run's fleet.
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

// FaultDelays summarizes the delays of the changes that were published during a fault, and of the first endpoint list
// change after its end.
type FaultDelays struct {
	Description      string       `json:"what"`
	At               float64      `json:"at_s"`      // seconds from the run's start to the fault's beginning
	List             DelaySummary `json:"list"`      // of the endpoint list, to members that were not isolated
	Settings         DelaySummary `json:"settings"`  // of the settings, to members that were not isolated
	Recovered        DelaySummary `json:"recovered"` // of the first list change after the end, to all members
	CorruptedAnswers int          `json:"spoilt_answers,omitempty"`
}

// Ratio is the cost of a hollow coordinator as a multiple of a real one's.
type Ratio struct {
	CPU   float64 `json:"cpu"`
	Bytes float64 `json:"bytes"`
}

// BaselineResult holds the measurements of one run of the fleet without distribution.
type BaselineResult struct {
	CallDuration Seconds      `json:"turn_s"` // service time of a discovery call with a change
	List         DelaySummary `json:"list"`
	ServedCalls  int          `json:"calls_answered"`
	FailedCalls  int          `json:"calls_failed"` // calls that discovery rejected because of MaxWait
	Cost         RoleCost     `json:"spent"`        // of a hollow coordinator
	KBPerS       float64      `json:"kb_per_s"`     // of all coordinators together
}

// Write writes the result to a file as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}
