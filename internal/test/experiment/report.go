package experiment

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// Report collects what an experiment shows: a table, the figures of the last line, and the targets that were missed.
// Its zero value is empty and has no folder for results. It is not safe for concurrent use.
type Report struct {
	header       []any
	rows         [][]any
	figures      []string // NAME=VALUE
	missed       []string // one line for each target
	resultFolder string   // empty if no files of results are wanted
}

// ResultPath returns the path for a file of results. If wanted is false no file is to be written.
func (r *Report) ResultPath(file string) (path string, wanted bool) {
	return filepath.Join(r.resultFolder, file), r.resultFolder != ""
}

// Table names the columns of the table.
func (r *Report) Table(columns ...any) { r.header = columns }

// Row adds a row to the table.
func (r *Report) Row(values ...any) { r.rows = append(r.rows, values) }

// Figure adds a figure to the last line.
func (r *Report) Figure(name, format string, values ...any) {
	r.figures = append(r.figures, name+"="+fmt.Sprintf(format, values...))
}

// Expect notes a target as missed unless met is true. The format and its arguments say what was seen.
func (r *Report) Expect(met bool, format string, args ...any) {
	if !met {
		r.missed = append(r.missed, fmt.Sprintf(format, args...))
	}
}

// Print writes the table, the targets that were missed, and the last line, which begins with name. It returns
// ErrTargetMissed if a target was missed; errors of out are not reported.
func (r *Report) Print(name string, out io.Writer) error {
	r.printTable(out)
	for _, m := range r.missed {
		fmt.Fprintln(out, "missed:", m)
	}
	fmt.Fprintf(out, "%s: %s missed=%d\n", name, strings.Join(r.figures, " "), len(r.missed))
	if len(r.missed) > 0 {
		return ErrTargetMissed
	}
	return nil
}

func (r *Report) printTable(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{r.header}, r.rows...) {
		for i, value := range row {
			if i > 0 {
				fmt.Fprint(w, "\t")
			}
			fmt.Fprint(w, value)
		}
		fmt.Fprintln(w)
	}
	w.Flush()
}
