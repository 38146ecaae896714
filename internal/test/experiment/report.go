// Package experiment runs experiments, each of which plays a change and the project's own baseline, and reports what came of them.
package experiment

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
)

// Experiment plays a change and the project's own baseline, and reports.
type Experiment struct {
	Name, Short string
	Run         func(*Report) error
}

// ErrMissed tells that an experiment ran and missed an aim.
var ErrMissed = errors.New("an aim was missed")

// Run runs the one of some experiments that has a name and prints its report. Results of its own go to the folder keep, unless
// that is empty. ErrMissed follows where an aim was missed.
func Run(experiments []Experiment, name string, out io.Writer, keep string) error {
	i := slices.IndexFunc(experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range experiments {
			names = append(names, e.Name)
		}
		return fmt.Errorf("no experiment %q; there is %s", name, strings.Join(names, ", "))
	}
	r := &Report{keep: keep}
	if err := experiments[i].Run(r); err != nil {
		return err
	}
	return r.Print(name, out)
}

// Report collects what an experiment shows: a table, the figures of its last line, and the aims it missed. Its zero value is
// empty and keeps no results.
type Report struct {
	head   []any
	rows   [][]any
	keys   []string
	missed []string
	keep   string // folder for results; empty keeps none
}

// KeepPath is the path for a file of results; kept is false where the user wants none.
func (r *Report) KeepPath(file string) (path string, kept bool) {
	return filepath.Join(r.keep, file), r.keep != ""
}

// Table names the columns.
func (r *Report) Table(columns ...any) { r.head = columns }

// Row adds one.
func (r *Report) Row(cells ...any) { r.rows = append(r.rows, cells) }

// Key adds a figure to the last line.
func (r *Report) Key(name, format string, value ...any) {
	r.keys = append(r.keys, name+"="+fmt.Sprintf(format, value...))
}

// Aim notes one that was missed.
func (r *Report) Aim(met bool, format string, args ...any) {
	if !met {
		r.missed = append(r.missed, fmt.Sprintf(format, args...))
	}
}

// Print writes the table, the aims that were missed and the last line. It returns ErrMissed where there are any.
func (r *Report) Print(name string, out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{r.head}, r.rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, cell)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
	for _, m := range r.missed {
		fmt.Fprintln(out, "missed:", m)
	}
	fmt.Fprintf(out, "%s: %s missed=%d\n", name, strings.Join(r.keys, " "), len(r.missed))
	if len(r.missed) > 0 {
		return ErrMissed
	}
	return nil
}
