package logsummary

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"harepass/internal/logmsg"
)

// Path prints the lines of one request, from all coordinators, in order of time.
func Path(w io.Writer, dir, id string) error {
	var lines []Line
	if err := ReadDir(dir, func(l Line) {
		if l.Attrs[logmsg.KeyQuery] == id {
			lines = append(lines, l)
		}
	}); err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("lab: no line of request %q in %s", id, dir)
	}
	slices.SortStableFunc(lines, func(x, y Line) int { return int(x.At - y.At) })
	for _, l := range lines {
		fmt.Fprintf(w, "%9.3f %s %s", l.At.Seconds(), l.Root, l.Name)
		for _, k := range sorted(l.Attrs) {
			if k != logmsg.KeyQuery {
				fmt.Fprintf(w, " %s=%s", k, l.Attrs[k])
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}

// Print writes a table for each kind of thing, by second, and the worst nodes.
func (s *Summary) Print(w io.Writer, worst int) error {
	kinds := s.byKind()
	if kinds["attempts"] == nil {
		return ErrNoTrace
	}
	if cold := s.coldNodes(); len(cold) > 0 {
		kinds["parts to nodes that have just started"] = cold
	}
	fmt.Fprintf(w, "%d coordinators\n", len(s.Roots))
	for _, kind := range sorted(kinds) {
		if err := printCounts(w, kind+", by second", kinds[kind], sorted(kinds[kind])); err != nil {
			return err
		}
	}
	nodes := sorted(s.Nodes)
	slices.SortStableFunc(nodes, func(x, y string) int { return cmp.Compare(s.servedShare(x), s.servedShare(y)) })
	return printCounts(w, fmt.Sprintf("attempts by node, the %d of %d that served the least part of theirs", min(worst, len(nodes)), len(nodes)),
		s.Nodes, nodes[:min(worst, len(nodes))])
}

// byKind is a table for each kind of thing, with a row for each second.
func (s *Summary) byKind() map[string]counts {
	kinds := map[string]counts{}
	for second, happened := range s.Seconds {
		for kind, row := range happened {
			if kinds[kind] == nil {
				kinds[kind] = counts{}
			}
			kinds[kind][fmt.Sprintf("%6d", second)] = row
		}
	}
	return kinds
}

// servedShare is the share of the attempts at a node that were served.
func (s *Summary) servedShare(node string) float64 {
	attempts := 0
	for column, n := range s.Nodes[node] {
		if column != "connections" {
			attempts += n
		}
	}
	return float64(s.Nodes[node]["served"]) / float64(max(1, attempts))
}

func printCounts(w io.Writer, title string, c counts, rows []string) error {
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
