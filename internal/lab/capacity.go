package lab

import (
	"errors"
	"os"
	"path/filepath"

	"harepass/internal/capacity"
)

// CapacityHelperCommand is the command of this program for the other side of what the capacity experiment measures.
const CapacityHelperCommand = "capacity-helper"

// Capacity is the experiment: what a coordinator costs by the size of its fleet. Where results are kept, they are the run's
// JSON and its plot.
func Capacity(r *Report) error {
	run, err := capacity.Measure(capacity.Full(capacity.HelpInProcess(CapacityHelperCommand)), os.Stderr)
	if err != nil {
		return err
	}
	r.Table("series", "by", "unit", "at", "median", "spread", "exponent", "error", "slope", "error", "residual")
	for _, row := range run.Summary() {
		r.Row(row...)
	}
	for _, missed := range run.Missed() {
		r.Aim(false, "%s", missed)
	}
	r.Key("series", "%d", len(run.Series))
	r.Key("seconds", "%.0f", run.Seconds)
	if r.keep == "" {
		return nil
	}
	return errors.Join(run.Write(filepath.Join(r.keep, "run.json")), capacity.Plot(run, filepath.Join(r.keep, "run.png")))
}
