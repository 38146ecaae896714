package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// This file reads the logs that coordinators write under `serve -trace`, one file each, and sums a fleet's up.

// LogLine is one line of a coordinator's log.
type LogLine struct {
	Root  string        // the coordinator, by its file's name
	At    time.Duration // since the midnight before, or since the start where the log's writer put seconds in front
	Level string
	Name  string // what happened: "attempt", "query", "list call", ...
	Attrs map[string]string
}

// ErrNoTrace is returned for logs that tell of no attempt: they were written without -trace.
var ErrNoTrace = errors.New("lab: no attempt in these logs: were they written with 'harepass serve -trace'?")

// ParseLogLine reads a line of the standard logger as slog uses it: perhaps seconds, then date, time, level, words and
// attributes. False for any other, such as a panic's.
func ParseLogLine(root, line string) (l LogLine, ok bool) {
	l = LogLine{Root: root, Attrs: map[string]string{}}
	first, rest, _ := strings.Cut(line, " ")
	seconds, err := strconv.ParseFloat(strings.Trim(first, "[]"), 64)
	led := err == nil
	if led {
		l.At = time.Duration(seconds * float64(time.Second))
		first, rest, _ = strings.Cut(rest, " ")
	}
	clock, rest, _ := strings.Cut(rest, " ")
	at, err := time.Parse("2006/01/02 15:04:05", first+" "+clock)
	if err != nil {
		return l, false
	}
	if !led {
		l.At = at.Sub(at.Truncate(24 * time.Hour))
	}
	l.Level, rest, _ = strings.Cut(rest, " ")
	var words []string
	for rest != "" {
		word := rest
		if i := strings.IndexAny(rest, ` "`); i >= 0 && rest[i] == '"' {
			quoted, err := strconv.QuotedPrefix(rest[i:])
			if err != nil {
				return l, false
			}
			value, _ := strconv.Unquote(quoted)
			if key, found := strings.CutSuffix(rest[:i], "="); found {
				l.Attrs[key] = value
			}
			rest = strings.TrimPrefix(rest[i+len(quoted):], " ")
			continue
		}
		word, rest, _ = strings.Cut(rest, " ")
		if key, value, found := strings.Cut(word, "="); found {
			l.Attrs[key] = value
		} else if len(l.Attrs) == 0 {
			words = append(words, word)
		}
	}
	l.Name = strings.Join(words, " ")
	return l, l.Name != ""
}

// ReadLogs hands each line of a folder's *.log files to one function, file by file.
func ReadLogs(dir string, each func(LogLine)) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(files) == 0 {
		return errors.Join(err, fmt.Errorf("lab: no *.log file in %s", dir))
	}
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		root := strings.TrimSuffix(filepath.Base(path), ".log")
		lines := bufio.NewScanner(f)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if l, ok := ParseLogLine(root, lines.Text()); ok {
				each(l)
			}
		}
		if err := errors.Join(lines.Err(), f.Close()); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// count is a table of counts by row and column.
type count map[string]map[string]int

func (c count) add(row, column string) {
	if c[row] == nil {
		c[row] = map[string]int{}
	}
	c[row][column]++
}

// columns lists all of them, in order.
func (c count) columns() []string {
	all := map[string]bool{}
	for _, row := range c {
		for column := range row {
			all[column] = true
		}
	}
	return sortedKeys(all)
}

func sortedKeys[V any](m map[string]V) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Fleet is what the logs of a fleet tell. The settings and the list have to be read before what they are to count for.
type Fleet struct {
	Roots   map[string]bool
	Seconds map[int]count // by second, then by kind and what happened
	Nodes   count         // attempts by node and outcome, and connections

	warmWithin time.Duration
	started    map[string]time.Duration // when a node started last, on the clock of the lines
	cold, warm map[int]map[string]int   // parts by second and node
}

// NewFleet returns one that knows nothing.
func NewFleet() *Fleet {
	return &Fleet{Roots: map[string]bool{}, Seconds: map[int]count{}, Nodes: count{}, started: map[string]time.Duration{},
		cold: map[int]map[string]int{}, warm: map[int]map[string]int{}}
}

// Learn takes from a line what others are judged by: how long nodes are cold, and when each started; an age of 0 is long.
func (f *Fleet) Learn(l LogLine) {
	switch l.Name {
	case "settings":
		if _, text, found := strings.Cut(l.Attrs["settings"], "WarmWithin:"); found {
			text, _, _ = strings.Cut(text, " ")
			f.warmWithin, _ = time.ParseDuration(text)
		}
	case "listed":
		if age, err := time.ParseDuration(l.Attrs["age"]); err == nil && age > 0 && l.Attrs["state"] == "ready" {
			f.started[l.Attrs["node"]] = max(f.started[l.Attrs["node"]], l.At-age)
		}
	}
}

// part books one by how warm its node was.
func (f *Fleet) part(l LogLine, second int) {
	which := f.warm
	if since, known := f.started[l.Attrs["node"]]; known && l.At >= since && l.At-since < f.warmWithin {
		which = f.cold
	}
	if which[second] == nil {
		which[second] = map[string]int{}
	}
	which[second][l.Attrs["node"]]++
}

// coldNodes is what nodes that had just started got, second by second, beside what a warm one did.
func (f *Fleet) coldNodes() count {
	c := count{}
	for second, nodes := range f.cold {
		row := map[string]int{"nodes": len(nodes)}
		for _, n := range nodes {
			row["parts"] += n
			row["most at one"] = max(row["most at one"], n)
		}
		for _, n := range f.warm[second] {
			row["mean of a warm one"] += n
		}
		row["mean of a warm one"] /= max(1, len(f.warm[second]))
		c[fmt.Sprintf("%6d", second)] = row
	}
	return c
}

// Add books a line.
func (f *Fleet) Add(l LogLine) {
	f.Roots[l.Root] = true
	second := int(l.At / time.Second)
	if f.Seconds[second] == nil {
		f.Seconds[second] = count{}
	}
	s := f.Seconds[second]
	switch l.Name {
	case "list call":
		end := "ok"
		if e := l.Attrs["err"]; e != "<nil>" {
			end = "failed"
		}
		s.add("list calls", end)
	case "connection":
		s.add("connections", "opened")
		f.Nodes.add(l.Attrs["node"], "connections")
	case "attempt":
		s.add("attempts", l.Attrs["outcome"])
		if l.Attrs["no"] != "0" {
			s.add("attempts", "further")
		}
		f.Nodes.add(l.Attrs["node"], l.Attrs["outcome"])
		f.part(l, second)
	case "query":
		end := l.Attrs["end"]
		switch {
		case end == "served" && l.Attrs["whole"] == "false":
			end = "in part"
		case end == "refused" && l.Attrs["attempts"] == "0":
			end = "refused unsent"
		}
		s.add("queries "+l.Attrs["class"], end)
	}
}

// Path prints the lines of one request, from all coordinators, in order of time.
func Path(w io.Writer, dir, id string) error {
	var lines []LogLine
	if err := ReadLogs(dir, func(l LogLine) {
		if l.Attrs["id"] == id {
			lines = append(lines, l)
		}
	}); err != nil {
		return err
	}
	if len(lines) == 0 {
		return fmt.Errorf("lab: no line of request %q in %s", id, dir)
	}
	slices.SortStableFunc(lines, func(x, y LogLine) int { return int(x.At - y.At) })
	for _, l := range lines {
		fmt.Fprintf(w, "%9.3f %s %s", l.At.Seconds(), l.Root, l.Name)
		for _, k := range sortedKeys(l.Attrs) {
			if k != "id" {
				fmt.Fprintf(w, " %s=%s", k, l.Attrs[k])
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}

// Print writes a table for each kind of thing, by second, and the worst nodes.
func (f *Fleet) Print(w io.Writer, worst int) error {
	kinds := map[string]count{}
	for second, c := range f.Seconds {
		for kind, row := range c {
			for column, n := range row {
				if kinds[kind] == nil {
					kinds[kind] = count{}
				}
				key := fmt.Sprintf("%6d", second)
				if kinds[kind][key] == nil {
					kinds[kind][key] = map[string]int{}
				}
				kinds[kind][key][column] = n
			}
		}
	}
	if kinds["attempts"] == nil {
		return ErrNoTrace
	}
	if cold := f.coldNodes(); len(cold) > 0 {
		kinds["parts to nodes that have just started"] = cold
	}
	fmt.Fprintf(w, "%d coordinators\n", len(f.Roots))
	for _, kind := range sortedKeys(kinds) {
		if err := printCounts(w, kind+", by second", kinds[kind], sortedKeys(kinds[kind])); err != nil {
			return err
		}
	}
	nodes := sortedKeys(f.Nodes)
	share := func(node string) float64 {
		all := 0
		for column, n := range f.Nodes[node] {
			if column != "connections" {
				all += n
			}
		}
		return float64(f.Nodes[node]["served"]) / float64(max(1, all))
	}
	slices.SortStableFunc(nodes, func(x, y string) int {
		if share(x) < share(y) {
			return -1
		}
		return 1
	})
	return printCounts(w, fmt.Sprintf("attempts by node, the %d of %d that served the least part of theirs", min(worst, len(nodes)), len(nodes)),
		f.Nodes, nodes[:min(worst, len(nodes))])
}

func printCounts(w io.Writer, title string, c count, rows []string) error {
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
