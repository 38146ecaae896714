package logsummary

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// counts is a table of counts, by row and column.
type counts map[string]map[string]int

// add increments a cell.
func (c counts) add(row, column string) {
	if c[row] == nil {
		c[row] = map[string]int{}
	}
	c[row][column]++
}

// columns returns the columns of all rows, sorted.
func (c counts) columns() []string {
	all := map[string]bool{}
	for _, row := range c {
		for column := range row {
			all[column] = true
		}
	}
	return sortedKeys(all)
}

// print writes the given rows under a title.
func (c counts) print(w io.Writer, title string, rows []string) error {
	fmt.Fprintf(w, "\n%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	columns := c.columns()
	fmt.Fprintf(t, "\t%s\t\n", strings.Join(columns, "\t"))
	for _, row := range rows {
		fmt.Fprintf(t, "%s\t", row)
		for _, column := range columns {
			fmt.Fprintf(t, "%d\t", c[row][column])
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// sortedKeys returns the keys of a map, sorted.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// secondRow returns the name of the row of a second. Rows sorted by name are in order of time, up to 11 days.
func secondRow(second int) string { return fmt.Sprintf("%6d", second) }
