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
var ErrMissed = errors.New("scale: a bound is missed")

// Result is what a run measured.
type Result struct {
	Plan     string                 `json:"plan"`
	Sizes    Sizes                  `json:"sizes"`
	Started  Measured               `json:"started"`  // from a member's start until it had list and settings
	List     Measured               `json:"list"`     // outside of troubles
	Settings Measured               `json:"settings"` // outside of troubles
	Troubles []TroubleTimes         `json:"troubles,omitempty"`
	Broken   Broken                 `json:"broken"`
	Calm     map[role]Spent         `json:"calm,omitempty"`    // from the start's end to the first trouble
	Starting map[role]Spent         `json:"starting"`          // while all start
	Troubled map[role]Spent         `json:"troubled"`          // from the first trouble on
	Machine  map[string]MachineLoad `json:"machine,omitempty"` // by phase
	Requests map[string]int         `json:"requests"`          // by how they ended
	Parts    int                    `json:"parts"`             // that reached nodes
	Ratio    *Ratio                 `json:"ratio,omitempty"`   // a hollow one to a real one
	Baseline []BaselineTime         `json:"baseline,omitempty"`
	Unseen   int                    `json:"unseen_changes"` // of the list, that were overtaken before the authority told of them
	Missed   []string               `json:"missed"`
	Seconds  float64                `json:"seconds"`
}

// Sizes are what the run was made of.
type Sizes struct {
	Coordinators int `json:"coordinators"`
	Real         int `json:"real"`
	Modules      int `json:"hollow_with_module"`
	Entries      int `json:"entries"`
	Nodes        int `json:"nodes_that_answer"`
	Control      int `json:"control_processes"`
	Processes    int `json:"processes"`
	Regions      int `json:"regions"`
	Zones        int `json:"zones"`
}

// TroubleTimes are those of one trouble: changes that were published in it, and what came after its end.
type TroubleTimes struct {
	What      string   `json:"what"`
	At        float64  `json:"at_s"`
	List      Measured `json:"list"`      // to members that were not cut off
	Settings  Measured `json:"settings"`  // likewise
	Recovered Measured `json:"recovered"` // from its end to the version published then, all members
	Spoilt    int      `json:"spoilt_answers,omitempty"`
}

// Ratio is a hollow member's cost over a real one's.
type Ratio struct {
	CPU   float64 `json:"cpu"`
	Bytes float64 `json:"bytes"`
}

// BaselineTime is a play of the fleet without distribution.
type BaselineTime struct {
	Turn     Seconds  `json:"turn_s"`
	List     Measured `json:"list"`
	Answered int      `json:"calls_answered"`
	Failed   int      `json:"calls_failed"`
	Spent    Spent    `json:"spent"`
	KBPerS   float64  `json:"kb_per_s"` // in all
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
	row := func(what string, m Measured) {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%d\t%d\n", what, m.Median, m.P99, m.Last, m.Changes, m.Samples, m.Never)
	}
	row("start", r.Started)
	row("list", r.List)
	row("settings", r.Settings)
	for _, t := range r.Troubles {
		row(t.What+": list", t.List)
		row(t.What+": settings", t.Settings)
		row(t.What+": after its end", t.Recovered)
		if t.Spoilt > 0 {
			fmt.Fprintf(w, "%s: %d answers\n", t.What, t.Spoilt)
		}
	}
	for _, b := range r.Baseline {
		row(fmt.Sprintf("without distribution, %v a call: list", b.Turn), b.List)
	}
	fmt.Fprintln(w, "\nrole, of each\tprocesses\tcpu %\tmost\tpeak\tKB/s\tmost\tpeak\tMB\tmost")
	r.printSpent(w, "starting", r.Starting)
	r.printSpent(w, "calm", r.Calm)
	r.printSpent(w, "troubled", r.Troubled)
	for _, b := range r.Baseline {
		r.printSpent(w, fmt.Sprintf("%v a call", b.Turn), map[role]Spent{roleHost: b.Spent})
	}
	for _, phase := range []string{"starting", "calm", "troubled"} {
		if load, here := r.Machine[phase]; here {
			fmt.Fprintf(w, "machine, %s: %.1f of %d cores busy, %.1f of them by this run\n", phase, load.Busy, load.Cores, load.Own)
		}
	}
	fmt.Fprintf(w, "\nrequests %v, parts %d, unseen changes %d\n", r.Requests, r.Parts, r.Unseen)
	fmt.Fprintf(w, "went back %d, half settings %d, lost %d, forbidden sends %d, behind at the end %d\n",
		r.Broken.WentBack, r.Broken.Half, r.Broken.Lost, r.Broken.Forbidden, r.Broken.Behind)
	if r.Ratio != nil {
		fmt.Fprintf(w, "a hollow one over a real one: cpu %.2f, bytes %.2f\n", r.Ratio.CPU, r.Ratio.Bytes)
	}
	for _, m := range r.Missed {
		fmt.Fprintln(w, "MISSED:", m)
	}
	if len(r.Missed) == 0 {
		fmt.Fprintln(w, "all that has to hold held")
	}
	return w.Flush()
}

const percent = 100

func (r *Result) printSpent(out io.Writer, when string, by map[role]Spent) {
	for _, of := range []role{roleAuthority, roleRelay, roleCoordinator, roleHost} {
		s, here := by[of]
		if !here || s.Processes == 0 {
			continue
		}
		fmt.Fprintf(out, "%s, %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\n", of, when, s.Processes, percent*s.CPU, percent*s.CPUMost,
			percent*s.CPUPeak, s.KBPerS, s.KBPerSMost, s.KBPerSPeak, s.MemoryMB, s.MemoryMost)
	}
}
