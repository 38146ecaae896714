package inventory

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// maxReadTime is how long a file that is refused may be read: a process must not notice it, even on a busy machine.
const maxReadTime = 5 * time.Second

// doubling returns an inventory in which each group names the one before as two of its children: a walk without a bound
// makes 2^groups visits.
func doubling(groups int) string {
	text := "all:\n  children:\n    g0: &g0 {hosts: {a: {harepass_port: 1, harepass_cell: 0}}}\n"
	for i := range groups {
		text += fmt.Sprintf("    g%d: &g%d {children: {x: *g%d, y: *g%d}}\n", i+1, i+1, i, i)
	}
	return text
}

// nested returns an inventory with groups within each other.
func nested(depth int) string {
	return "all: " + strings.Repeat("{children: {g: ", depth) + "{}" + strings.Repeat("}}", depth) + "\n"
}

// Review case 7: what a file makes of its size must have a bound. A group that names itself was read without an end;
// groups that double the work with each line, and files that take far more memory than their size, are of the same
// kind.
func TestFileDoesNotDecideCost(t *testing.T) {
	for name, tc := range map[string]struct{ file, text, want string }{
		"a group in itself": {"a.yml",
			"all:\n  children:\n    map_nodes: &m\n      hosts: {}\n      children:\n        spare: *m\n",
			"a.yml:6: group spare: the group contains itself"},
		"an ancestor far up": {"a.yml",
			"all: &all\n  children:\n    a:\n      children:\n        b:\n          children:\n            c: *all\n",
			"a.yml:7: group c: the group contains itself"},
		"its own children": {"a.yml", "all:\n  children: &c\n    a:\n      children: *c\n",
			"a.yml:4: group a: the group contains itself"},
		"doubling groups": {"a.yml", doubling(60), "groups and aliases lead to over 500000 entries"},
		"deep groups":     {"a.yml", nested(3000), "a.yml:1: group g: over 100 groups within each other"},
		"many nodes":      {"a.yml", "all: {" + strings.Repeat("a,", 1<<20) + "}", "a.yml:1: over 150000 YAML indicators"},
		"many lines":      {"a.yml", strings.Repeat("-\n", 1<<20), "a.yml:75001: over 150000 YAML indicators"},
		"many rows":       {"a.csv", "name,port,cell\n" + rows(300_000), "a.csv:20002: over 20000 hosts"},
	} {
		began := time.Now()
		_, err := load(t, tc.file, tc.text, "")
		var fault *Error
		if !errors.As(err, &fault) || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %.200v, want an *Error that contains %q", name, err, tc.want)
		}
		if d := time.Since(began); d > maxReadTime {
			t.Errorf("%s: refused after %v, want %v at most", name, d, maxReadTime)
		}
	}
}

// rows returns CSV rows of different hosts.
func rows(n int) string {
	var text strings.Builder
	for i := range n {
		fmt.Fprintf(&text, "n%d,1,0\n", i)
	}
	return text.String()
}

// Sound files use aliases too: for a host's values, for groups that several others contain, and for groups within
// groups.
func TestAliasesThatEndAreRead(t *testing.T) {
	const text = `
all:
  vars: {harepass_port: 8080}
  children:
    north: &north
      hosts: &hosts
        a: &a {harepass_cell: 1}
        b: {harepass_cell: 2}
    south:
      hosts:
        c: *a
    mountain:
      children: {north: *north, spare: {hosts: *hosts}}
    both:
      children: {north: *north, again: {children: {north: *north}}}
`
	got, err := load(t, "a.yml", text, "both")
	want := []Host{{Name: "a", Address: "a:8080", RingPosition: 1, API: "frame"},
		{Name: "b", Address: "b:8080", RingPosition: 2, API: "frame"}}
	if err != nil || len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("hosts %+v, error %v; want %+v", got, err, want)
	}
	if got, err := load(t, "a.yml", doubling(8), ""); err != nil || len(got) != 1 {
		t.Errorf("a host in 256 groups: hosts %+v, error %v; want one host", got, err)
	}
	if got, err := load(t, "a.csv", "name,port,cell\n"+rows(maxHosts), ""); err != nil || len(got) != maxHosts {
		t.Errorf("the largest inventory: %d hosts, error %v; want %d", len(got), err, maxHosts)
	}
}
