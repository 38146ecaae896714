package lab

import (
	"errors"
	"fmt"
	"io"
	"maps"
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

// Experiments are all there are.
var Experiments = []Experiment{
	{"two-phase", "the same mornings in one phase and in two, without failures and with", TwoPhase},
	{"choices", "fleets of 30, 300 and 1,000 that know their place, beside the same without: at work, with hung and with cold nodes, with a zone lost; virtual time", Choices},
	{"hand-over", "a new version takes over while half of the nodes are cold, with what the old one had learned and without; virtual time", HandOver},
	{"capacity", "what a coordinator costs by nodes, coordinators, changes, open queries and connections: CPU time, bytes, memory, fitted; see docs/CAPACITY.md", Capacity},
	{"overload", "a coordinator on two cores at 1, 2 and 3 times its traffic, and before slow nodes, with control and without", Overload},
}

// Report collects what an experiment shows: a table, the figures of its last line, and the aims it missed.
type Report struct {
	head   []any
	rows   [][]any
	keys   []string
	missed []string
	keep   string // folder for results; empty keeps none
}

// Keep writes a load's result where the user wants results kept.
func (r *Report) Keep(name string, res *LoadResult) error {
	if r.keep == "" {
		return nil
	}
	res.Name = name
	return res.Write(filepath.Join(r.keep, name+".json"))
}

// ErrMissed tells that an experiment ran and missed an aim.
var ErrMissed = errors.New("an aim was missed")

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

// Run runs the experiment of a name, prints its report and keeps the results of its loads in a folder, if one is given. ErrMissed follows where an aim was missed.
func Run(name string, out io.Writer, keep string) error {
	i := slices.IndexFunc(Experiments, func(e Experiment) bool { return e.Name == name })
	if i < 0 {
		var names []string
		for _, e := range Experiments {
			names = append(names, e.Name)
		}
		return fmt.Errorf("no experiment %q; there is %s", name, strings.Join(names, ", "))
	}
	r := &Report{keep: keep}
	if err := Experiments[i].Run(r); err != nil {
		return err
	}
	return r.print(name, out)
}

func (r *Report) print(name string, out io.Writer) error {
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

// sorted lists a map's keys in order.
func sorted[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
