package logsummary

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const tracedLog = `[0.01] 2026/12/01 20:50:30 DEBUG settings read slow_start=18s limits="{Cores:0.3}"
0.012 2026/12/01 20:50:30 INFO serving listen=127.0.0.1:80
0.015 2026/12/01 20:50:30 DEBUG endpoint updated replica=old state=ready age=0s
3.100 2026/12/01 20:50:33 DEBUG endpoint updated replica=new state=ready age=600ms
3.200 2026/12/01 20:50:33 DEBUG discovery polled target="/registry/instances?from=4" latency=2.1s err="read tcp: i/o timeout"
3.300 2026/12/01 20:50:33 DEBUG connection opened replica=new
3.400 2026/12/01 20:50:33 DEBUG attempt ended query_id=a1 shard=3 attempt=0 replica=old outcome=timeout latency=380ms
3.500 2026/12/01 20:50:33 DEBUG attempt ended query_id=a1 shard=3 attempt=1 replica=new outcome=served latency=20ms
panic: no line of a log
3.500 2026/12/01 20:50:33 DEBUG query ended query_id=a1 class=route-lookup tenant="" status=served complete=true latency=400ms time_left=600ms attempts=2
`

// otherLog is the log of a second coordinator. It sends to a replica whose start only the first log contains.
const otherLog = `3.900 2026/12/01 20:50:33 DEBUG attempt ended query_id=b7 shard=3 attempt=0 replica=new outcome=full latency=2ms
3.950 2026/12/01 20:50:33 INFO query ended query_id=b7 class=route-lookup status=refused complete=false attempts=0
`

// A summary counts the lines of all coordinators: polls, connections, attempts, queries, and parts sent to a replica in
// slow start, even if another coordinator's log contains the replica's start.
func TestSummaryCountsLines(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"n0.log": tracedLog, "n1.log": otherLog} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	s := NewSummary()
	for _, each := range []func(Line){s.ReadContext, s.Add} {
		if err := ReadDir(dir, each); err != nil {
			t.Fatal(err)
		}
	}
	got := s.Seconds[3]
	for _, want := range []struct {
		table, column string
		n             int
	}{
		{"discovery polls", "failed", 1},
		{"discovery polls", "ok", 0},
		{"connections", "opened", 1},
		{"attempts", "timeout", 1},
		{"attempts", "served", 1},
		{"attempts", "full", 1},
		{"attempts", "beyond the first", 1},
		{"queries route-lookup", "served", 1},
		{"queries route-lookup", "refused unsent", 1},
	} {
		if n := got[want.table][want.column]; n != want.n {
			t.Errorf("table %q, column %q: %d, want %d", want.table, want.column, n, want.n)
		}
	}
	row := s.slowStartTable()[fmt.Sprintf("%6d", 3)]
	if row["replicas"] != 1 || row["parts"] != 2 || row["mean of a warmed-up one"] != 1 {
		t.Errorf("row of parts in slow start: %v, want 1 replica, 2 parts and a mean of 1", row)
	}
	var out strings.Builder
	if err := s.Print(&out, 1); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"2 coordinators", "the 1 of 2", "old"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, &out)
		}
	}
}

// PrintQuery writes only the lines of the query, in order of time, each with its coordinator.
func TestPrintQuery(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(tracedLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := PrintQuery(&out, dir, "a1"); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[0], "3.400 n0 attempt ended") ||
		!strings.Contains(lines[0], "outcome=timeout") || !strings.Contains(lines[2], "status=served") {
		t.Errorf("lines of query a1: %q", lines)
	}
	if err := PrintQuery(&out, dir, "nobody"); !errors.Is(err, ErrQueryNotFound) {
		t.Errorf("query that is in no log: error %v, want ErrQueryNotFound", err)
	}
}

// A line without leading seconds gets its time from the clock; quoted values keep their spaces.
func TestParseLine(t *testing.T) {
	l, ok := ParseLine("n0", `2026/12/01 20:50:33 DEBUG discovery polled target="/a b" latency=2s err=<nil>`)
	at := 20*time.Hour + 50*time.Minute + 33*time.Second
	if !ok || l.At != at || l.Message != "discovery polled" || l.Attrs["target"] != "/a b" || l.Attrs["err"] != "<nil>" {
		t.Errorf("parsed line %+v, %t", l, ok)
	}
	for _, line := range []string{"", "panic: no line", "1.5", `1.5 2026/12/01 20:50:33 DEBUG discovery polled target="/a`} {
		if l, ok := ParseLine("n0", line); ok {
			t.Errorf("%q is parsed as %+v, want it rejected", line, l)
		}
	}
}

// Logs without a trace cause an error instead of empty tables, and so does a folder without logs.
func TestLogsWithoutTraceAreRefused(t *testing.T) {
	dir := t.TempDir()
	if err := ReadDir(dir, func(Line) {}); !errors.Is(err, ErrNoLogs) {
		t.Errorf("empty folder: error %v, want ErrNoLogs", err)
	}
	if err := NewSummary().Print(&strings.Builder{}, 5); !errors.Is(err, ErrNoTrace) {
		t.Errorf("summary without attempts: error %v, want ErrNoTrace", err)
	}
}
