package scaletest

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
)

// ErrMissed is returned where a stated bound is missed or a rule broken.
var ErrBoundMissed = errors.New("scale: a bound is missed")

// Result is what a run measured.
type Result struct {
	Plan              string                 `json:"plan"`
	Sizes             Sizes                  `json:"sizes"`
	Started           DelaySummary           `json:"started"`  // from a member's start until it had list and settings
	List              DelaySummary           `json:"list"`     // outside of troubles
	Settings          DelaySummary           `json:"settings"` // outside of troubles
	Faults            []FaultDelays          `json:"troubles,omitempty"`
	Violations        Violations             `json:"broken"`
	Undisturbed       map[role]RoleCost      `json:"calm,omitempty"`    // from the start's end to the first trouble
	Starting          map[role]RoleCost      `json:"starting"`          // while all start
	DuringFaults      map[role]RoleCost      `json:"troubled"`          // from the first trouble on
	Machine           map[string]MachineLoad `json:"machine,omitempty"` // by phase
	Requests          map[string]int         `json:"requests"`          // by how they ended
	Parts             int                    `json:"parts"`             // that reached nodes
	Ratio             *Ratio                 `json:"ratio,omitempty"`   // a hollow one to a real one
	Baseline          []BaselineResult       `json:"baseline,omitempty"`
	UnobservedChanges int                    `json:"unseen_changes"` // of the list, that were overtaken before the authority told of them
	MissedBounds      []string               `json:"missed"`
	Seconds           float64                `json:"seconds"`
}

// Sizes are what the run was made of.
type Sizes struct {
	Coordinators     int `json:"coordinators"`
	RealCoordinators int `json:"real"`
	Modules          int `json:"hollow_with_module"`
	Endpoints        int `json:"entries"`
	Replicas         int `json:"nodes_that_answer"`
	ControlProcesses int `json:"control_processes"`
	Processes        int `json:"processes"`
	Regions          int `json:"regions"`
	Zones            int `json:"zones"`
}

// TroubleTimes are those of one trouble: changes that were published in it, and what came after its end.
type FaultDelays struct {
	Description      string       `json:"what"`
	At               float64      `json:"at_s"`
	List             DelaySummary `json:"list"`      // to members that were not cut off
	Settings         DelaySummary `json:"settings"`  // likewise
	Recovered        DelaySummary `json:"recovered"` // from its end to the version published then, all members
	CorruptedAnswers int          `json:"spoilt_answers,omitempty"`
}

// Ratio is a hollow member's cost over a real one's.
type Ratio struct {
	CPU   float64 `json:"cpu"`
	Bytes float64 `json:"bytes"`
}

// BaselineTime is a play of the fleet without distribution.
type BaselineResult struct {
	CallDuration Seconds      `json:"turn_s"`
	List         DelaySummary `json:"list"`
	ServedCalls  int          `json:"calls_answered"`
	FailedCalls  int          `json:"calls_failed"`
	Cost         RoleCost     `json:"spent"`
	KBPerS       float64      `json:"kb_per_s"` // in all
}

// Write keeps the result as JSON.
func (r *Result) Write(file string) error {
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// Print writes the result as tables.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s: %+v, %.0f s\n\n", r.Plan, r.Sizes, r.Seconds)
	fmt.Fprintln(w, "until in force\tmedian\tp99\tlast\tchanges\tsamples\tnever")
	row := func(what string, m DelaySummary) {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%d\t%d\n", what, m.Median, m.P99, m.Max, m.Changes, m.Samples, m.Never)
	}
	row("start", r.Started)
	row("list", r.List)
	row("settings", r.Settings)
	for _, t := range r.Faults {
		row(t.Description+": list", t.List)
		row(t.Description+": settings", t.Settings)
		row(t.Description+": after its end", t.Recovered)
		if t.CorruptedAnswers > 0 {
			fmt.Fprintf(w, "%s: %d answers\n", t.Description, t.CorruptedAnswers)
		}
	}
	for _, b := range r.Baseline {
		row(fmt.Sprintf("without distribution, %v a call: list", b.CallDuration), b.List)
	}
	fmt.Fprintln(w, "\nrole, of each\tprocesses\tcpu %\tmost\tpeak\tKB/s\tmost\tpeak\tMB\tmost")
	r.printCosts(w, "starting", r.Starting)
	r.printCosts(w, "calm", r.Undisturbed)
	r.printCosts(w, "troubled", r.DuringFaults)
	for _, b := range r.Baseline {
		r.printCosts(w, fmt.Sprintf("%v a call", b.CallDuration), map[role]RoleCost{roleHost: b.Cost})
	}
	for _, phase := range []string{"starting", "calm", "troubled"} {
		if load, here := r.Machine[phase]; here {
			fmt.Fprintf(w, "machine, %s: %.1f of %d cores busy, %.1f of them by this run\n", phase, load.Busy, load.Cores, load.Own)
		}
	}
	fmt.Fprintf(w, "\nrequests %v, parts %d, unseen changes %d\n", r.Requests, r.Parts, r.UnobservedChanges)
	fmt.Fprintf(w, "went back %d, half settings %d, lost %d, forbidden sends %d, behind at the end %d\n",
		r.Violations.Regressions, r.Violations.MixedSettings, r.Violations.LostRequests, r.Violations.ForbiddenParts, r.Violations.Behind)
	if r.Ratio != nil {
		fmt.Fprintf(w, "a hollow one over a real one: cpu %.2f, bytes %.2f\n", r.Ratio.CPU, r.Ratio.Bytes)
	}
	for _, m := range r.MissedBounds {
		fmt.Fprintln(w, "MISSED:", m)
	}
	if len(r.MissedBounds) == 0 {
		fmt.Fprintln(w, "all that has to hold held")
	}
	return w.Flush()
}

const percent = 100

func (r *Result) printCosts(out io.Writer, when string, by map[role]RoleCost) {
	for _, of := range []role{roleAuthority, roleRelay, roleCoordinator, roleHost} {
		s, here := by[of]
		if !here || s.Processes == 0 {
			continue
		}
		fmt.Fprintf(out, "%s, %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\n", of, when, s.Processes, percent*s.CPU, percent*s.CPUMax,
			percent*s.CPUPeak, s.KBPerS, s.KBPerSMax, s.KBPerSPeak, s.MemoryMB, s.MemoryMBMax)
	}
}
