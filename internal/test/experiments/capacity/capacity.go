// Package capacity is the experiment that measures the costs of a coordinator and a relay by the size of their fleet.
// The measurements are in internal/test/capacity; this package runs and reports them.
package capacity

import (
	"errors"
	"os"

	"harepass/internal/test/capacity"
	"harepass/internal/test/experiment"
)

// Experiment measures all costs on this machine and writes its progress to standard error.
var Experiment = experiment.Experiment{
	Name: "capacity",
	Short: "what a coordinator and a relay cost by nodes, coordinators, changes, open queries and connections, " +
		"fitted; see docs/CAPACITY.md",
	Run: run,
}

// HelperCommand is the command of the laboratory's program that runs the peer of a measurement, such as a relay, in its
// own process.
const HelperCommand = "capacity-helper"

// run measures and fits all costs. If result files are requested, it writes the run as JSON and its plot.
func run(r *experiment.Report) error {
	result, err := capacity.Measure(capacity.Full(capacity.HelpInChildProcess(HelperCommand)), os.Stderr)
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

// writeFiles writes the run's result files if they are requested.
func writeFiles(r *experiment.Report, result *capacity.Run) (err error) {
	if path, wanted := r.ResultPath("run.json"); wanted {
		err = result.Write(path)
	}
	if path, wanted := r.ResultPath("run.png"); wanted {
		err = errors.Join(err, capacity.Plot(result, path))
	}
	return err
}
