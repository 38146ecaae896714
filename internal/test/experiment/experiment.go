// Package experiment runs experiments of the laboratory. An experiment plays a change and a baseline of the project's
// own, and reports figures and the targets that it missed.
package experiment

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Experiment is one experiment that the laboratory offers.
type Experiment struct {
	Name  string              // unique; it names the experiment on the command line and in the last line of its report
	Short string              // one line for the command's help
	Run   func(*Report) error // plays the experiment; a missed target is no error of it
}

// Errors that Run and Report.Print return, for errors.Is.
var (
	// ErrTargetMissed says that an experiment ran and missed a target.
	ErrTargetMissed = errors.New("an aim was missed")
	// ErrUnknownExperiment says that no experiment has the name that was asked for.
	ErrUnknownExperiment = errors.New("no experiment")
)

// Run runs the experiment of a name and prints its report to out. Files of results go to resultFolder; if that is empty
// none are written. The error is ErrTargetMissed if the experiment ran and missed a target, and wraps
// ErrUnknownExperiment if there is none of that name.
func Run(experiments []Experiment, name string, out io.Writer, resultFolder string) error {
	i := slices.IndexFunc(experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range experiments {
			names = append(names, e.Name)
		}
		return fmt.Errorf("%w %q; there is %s", ErrUnknownExperiment, name, strings.Join(names, ", "))
	}
	r := &Report{resultFolder: resultFolder}
	if err := experiments[i].Run(r); err != nil {
		return err
	}
	return r.Print(name, out)
}
