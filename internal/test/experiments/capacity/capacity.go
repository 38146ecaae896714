// Package capacity is the experiment on what a coordinator and a relay cost by the size of their fleet. The
// measurements stand in internal/test/capacity; this package offers and reports them.
package capacity

import (
	"errors"
	"os"

	"harepass/internal/test/capacity"
	"harepass/internal/test/experiment"
)

// Experiment measures all costs on this machine. Progress goes to the standard error.
var Experiment = experiment.Experiment{
	Name: "capacity",
	Short: "what a coordinator and a relay cost by nodes, coordinators, changes, open queries and connections, " +
		"fitted; see docs/CAPACITY.md",
	Run: run,
}

// HelperCommand is the command of the laboratory's program that plays the other side of the measurements, in a process
// of its own.
const HelperCommand = "capacity-helper"

// run measures and fits all costs. Where files of results are wanted they are the run as JSON and its plot.
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
	return writeFiles(r, result)
}

// writeFiles writes the run's files where files of results are wanted.
func writeFiles(r *experiment.Report, result *capacity.Run) (err error) {
	if path, wanted := r.ResultPath("run.json"); wanted {
		err = result.Write(path)
	}
	if path, wanted := r.ResultPath("run.png"); wanted {
		err = errors.Join(err, capacity.Plot(result, path))
	}
	return err
}
