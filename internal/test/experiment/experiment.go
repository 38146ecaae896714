// Package experiment runs the laboratory's experiments. Each experiment compares a change in this project with a
// baseline from the same project, and reports figures and the targets that were missed.
package experiment

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Experiment is one experiment of the laboratory.
type Experiment struct {
	Name  string              // unique; used on the command line and in the last line of the report
	Short string              // one line for the help of the command
	Run   func(*Report) error // runs the experiment; it returns no error for a missed target
}

// Errors that Run and Report.Print return; test for them with errors.Is.
var (
	// ErrTargetMissed reports that an experiment ran but missed a target.
	ErrTargetMissed = errors.New("experiment missed a target")
	// ErrUnknownExperiment reports that no experiment has the requested name.
	ErrUnknownExperiment = errors.New("unknown experiment")
)

// Run runs the experiment with the given name and prints its report to out. It writes result files to resultFolder, or
// none if resultFolder is empty. Run returns ErrTargetMissed if the experiment missed a target, and an error that wraps
// ErrUnknownExperiment if no experiment has that name.
func Run(experiments []Experiment, name string, out io.Writer, resultFolder string) error {
	i := slices.IndexFunc(experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range experiments {
			names = append(names, e.Name)
		}
		return fmt.Errorf("%w %q; available experiments: %s", ErrUnknownExperiment, name, strings.Join(names, ", "))
	}
	r := &Report{resultFolder: resultFolder}
	if err := experiments[i].Run(r); err != nil {
		return err
	}
	return r.Print(name, out)
}
