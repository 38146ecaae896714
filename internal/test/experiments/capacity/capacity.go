// Package capacity is the experiment on what a coordinator costs by the size of its fleet.
package capacity

import (
	"errors"
	"os"

	"harepass/internal/test/capacity"
	"harepass/internal/test/experiment"
)

// Experiment is what 'lab run' offers.
var Experiment = experiment.Experiment{Name: "capacity", Run: run,
	Short: "what a coordinator and a relay cost by nodes, coordinators, changes, open queries and connections, fitted; see docs/CAPACITY.md"}

// HelperCommand is the command of this program for the other side of what the experiment measures.
const HelperCommand = "capacity-helper"

// run measures and fits all costs. Where results are kept, they are the run's JSON and its plot.
func run(r *experiment.Report) error {
	result, err := capacity.Measure(capacity.Full(capacity.HelpInProcess(HelperCommand)), os.Stderr)
	if err != nil {
		return err
	}
	r.Table("series", "by", "unit", "at", "median", "spread", "exponent", "error", "slope", "error", "residual")
	for _, row := range result.Summary() {
		r.Row(row...)
	}
	for _, missed := range result.Missed() {
		r.Expect(false, "%s", missed)
	}
	r.Figure("series", "%d", len(result.Series))
	r.Figure("seconds", "%.0f", result.Seconds)
	if data, kept := r.ResultPath("run.json"); kept {
		err = result.Write(data)
	}
	if plot, kept := r.ResultPath("run.png"); kept {
		err = errors.Join(err, capacity.Plot(result, plot))
	}
	return err
}
