package scaletest

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes the result as tables.
func (r *Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s: %+v, %.0f s\n\n", r.Plan, r.Sizes, r.Seconds)
	r.printDelays(w)
	r.printCosts(w)
	r.printMachine(w)
	fmt.Fprintf(w, "\nrequests %v, parts %d, unobserved changes %d\n", r.Requests, r.Parts, r.UnobservedChanges)
	v := r.Violations
	fmt.Fprintf(w, "regressions %d, mixed settings %d, lost requests %d, forbidden parts %d, behind at the end %d\n",
		v.Regressions, v.MixedSettings, v.LostRequests, v.ForbiddenParts, v.Behind)
	if r.Ratio != nil {
		fmt.Fprintf(w, "hollow to real coordinator: cpu %.2f, bytes %.2f\n", r.Ratio.CPU, r.Ratio.Bytes)
	}
	for _, missed := range r.MissedBounds {
		fmt.Fprintln(w, "MISSED:", missed)
	}
	if len(r.MissedBounds) == 0 {
		fmt.Fprintln(w, "all bounds met")
	}
	return w.Flush()
}

// printDelays writes a row for each kind of delay.
func (r *Result) printDelays(w io.Writer) {
	fmt.Fprintln(w, "delay until in force\tmedian\tp99\tmax\tchanges\tsamples\tnever")
	row := func(name string, d DelaySummary) {
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%d\t%d\n", name, d.Median, d.P99, d.Max, d.Changes, d.Samples, d.Never)
	}
	row("start", r.Started)
	row("endpoint list", r.List)
	row("settings", r.Settings)
	for _, fault := range r.Faults {
		row(fault.Description+": endpoint list", fault.List)
		row(fault.Description+": settings", fault.Settings)
		row(fault.Description+": recovery", fault.Recovered)
		if fault.CorruptedAnswers > 0 {
			fmt.Fprintf(w, "%s: %d answers\n", fault.Description, fault.CorruptedAnswers)
		}
	}
	for _, baseline := range r.Baseline {
		row(fmt.Sprintf("without distribution, %v a call: endpoint list", baseline.CallDuration), baseline.List)
	}
}

// printCosts writes a row for each role in each phase.
func (r *Result) printCosts(w io.Writer) {
	fmt.Fprintln(w, "\ncost of each\tprocesses\tcpu %\tmax\tpeak\tKB/s\tmax\tpeak\tMB\tmax")
	printRoles(w, "starting", r.Starting)
	printRoles(w, "undisturbed", r.Undisturbed)
	printRoles(w, "during faults", r.DuringFaults)
	for _, baseline := range r.Baseline {
		byRole := map[role]RoleCost{roleHost: baseline.Cost}
		printRoles(w, fmt.Sprintf("%v a call", baseline.CallDuration), byRole)
	}
}

// printRoles writes a row for each role with a cost in a phase.
func printRoles(w io.Writer, phase string, byRole map[role]RoleCost) {
	const percent = 100
	for _, of := range roles {
		c, ok := byRole[of]
		if !ok || c.Processes == 0 {
			continue
		}
		fmt.Fprintf(w, "%s, %s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\n", of, phase, c.Processes,
			percent*c.CPU, percent*c.CPUMax, percent*c.CPUPeak,
			c.KBPerS, c.KBPerSMax, c.KBPerSPeak, c.MemoryMB, c.MemoryMBMax)
	}
}

// printMachine writes a line with the machine's load for each phase.
func (r *Result) printMachine(w io.Writer) {
	for _, phase := range []struct{ key, name string }{
		{phaseStarting, "starting"}, {phaseUndisturbed, "undisturbed"}, {phaseDuringFaults, "during faults"},
	} {
		if load, ok := r.Machine[phase.key]; ok {
			fmt.Fprintf(w, "machine, %s: %.1f of %d cores busy, %.1f of them by this run\n",
				phase.name, load.Busy, load.Cores, load.Own)
		}
	}
}
