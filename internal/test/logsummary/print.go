package logsummary

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"harepass/internal/logmsg"
)

// PrintQuery writes the lines of one query from the logs of all coordinators in a folder, in order of time. The error
// wraps ErrQueryNotFound if there are none.
func PrintQuery(w io.Writer, dir, id string) error {
	var lines []Line
	if err := ReadDir(dir, func(l Line) {
		if l.Attrs[logmsg.KeyQuery] == id {
			lines = append(lines, l)
		}
	}); err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("%w %q in %s", ErrQueryNotFound, id, dir)
	}
	slices.SortStableFunc(lines, func(x, y Line) int { return int(x.At - y.At) })
	for _, l := range lines {
		fmt.Fprintf(w, "%9.3f %s %s", l.At.Seconds(), l.Coordinator, l.Message)
		for _, key := range sortedKeys(l.Attrs) {
			if key != logmsg.KeyQuery {
				fmt.Fprintf(w, " %s=%s", key, l.Attrs[key])
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}

// Print writes the number of coordinators, tables that count the events of each second of Line.At, and a table of the
// replicas with the smallest shares of served attempts, at most worst of them, which must be at least 0. It returns
// ErrNoTrace if the summary has no attempt.
func (s *Summary) Print(w io.Writer, worst int) error {
	tables := s.tables()
	if tables[attempts] == nil {
		return ErrNoTrace
	}
	if slowStart := s.slowStartTable(); len(slowStart) > 0 {
		tables["parts to replicas in slow start"] = slowStart
	}
	fmt.Fprintf(w, "%d coordinators\n", len(s.Coordinators))
	for _, name := range sortedKeys(tables) {
		if err := tables[name].print(w, name+", by second", sortedKeys(tables[name])); err != nil {
			return err
		}
	}
	replicas := sortedKeys(s.Replicas)
	slices.SortStableFunc(replicas, func(x, y string) int { return cmp.Compare(s.servedShare(x), s.servedShare(y)) })
	worst = min(worst, len(replicas))
	title := fmt.Sprintf("attempts by replica, the %d of %d that served the least part of theirs", worst, len(replicas))
	return s.Replicas.print(w, title, replicas[:worst])
}

// tables returns the tables by name, with a row for each second that has events.
func (s *Summary) tables() map[string]counts {
	tables := map[string]counts{}
	for second, happened := range s.Seconds {
		for name, row := range happened {
			if tables[name] == nil {
				tables[name] = counts{}
			}
			tables[name][secondRow(second)] = row
		}
	}
	return tables
}

// servedShare returns the share of a replica's attempts that were served; 0 for a replica that has only connections.
func (s *Summary) servedShare(replica string) float64 {
	total := 0
	for column, n := range s.Replicas[replica] {
		if column != connections {
			total += n
		}
	}
	return float64(s.Replicas[replica][logmsg.OutcomeServed]) / float64(max(1, total))
}
