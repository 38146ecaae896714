package experiment

import (
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"text/tabwriter"
)

// Report collects the output of an experiment: a table, the missed targets, and the figures of the last line. The zero
// value is empty and has no folder for result files. A Report is not safe for concurrent use.
type Report struct {
	header       []any
	rows         [][]any
	figures      []string // each as NAME=VALUE
	missed       []string // one line for each missed target
	resultFolder string   // empty if no result files are wanted
}

// ResultPath returns the path of a result file. If wanted is false, the caller must not write the file.
func (r *Report) ResultPath(file string) (path string, wanted bool) {
	return filepath.Join(r.resultFolder, file), r.resultFolder != ""
}

// Table sets the column headings of the table.
func (r *Report) Table(columns ...any) { r.header = columns }

// Row adds a row to the table.
func (r *Report) Row(values ...any) { r.rows = append(r.rows, values) }

// Figure adds a figure with a formatted value to the last line.
func (r *Report) Figure(name, format string, values ...any) {
	r.figures = append(r.figures, name+"="+fmt.Sprintf(format, values...))
}

// Expect records a missed target unless met is true. The format and its arguments describe the measured values.
func (r *Report) Expect(met bool, format string, args ...any) {
	if !met {
		r.missed = append(r.missed, fmt.Sprintf(format, args...))
	}
}

// Print writes the table, the missed targets, and the last line, which starts with name. It returns ErrTargetMissed if
// a target was missed. It ignores errors of out.
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
