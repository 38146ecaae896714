package faultinjection

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// through sends so many messages back through a link with a fault and tells in which order they arrive.
func through(t *testing.T, n int, s MessageFaults) (got []int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		for i := range n {
			c.Write(binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(nil, 4), uint32(i)))
		}
	}()
	k, err := NewFramedLink(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	k.InjectMessageFaults(s)
	c, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	data, _ := io.ReadAll(c)
	for ; len(data) >= 8; data = data[8:] {
		got = append(got, int(binary.LittleEndian.Uint32(data[4:])))
	}
	return got
}

// Messages are lost, doubled and swapped as whole ones, in the shares asked for, and the same for the same seed.
func TestSpoiltMessages(t *testing.T) {
	if got := through(t, 100, MessageFaults{}); len(got) != 100 || got[99] != 99 {
		t.Errorf("a sound link: %v", got)
	}
	lost := through(t, 400, MessageFaults{Drop: 0.25, Seed: 3})
	if len(lost) < 250 || len(lost) > 350 {
		t.Errorf("%d of 400 arrive where a quarter is lost", len(lost))
	}
	if again := through(t, 400, MessageFaults{Drop: 0.25, Seed: 3}); fmt.Sprint(again) != fmt.Sprint(lost) {
		t.Error("the same seed loses others")
	}
	if twice := through(t, 400, MessageFaults{Duplicate: 0.25, Seed: 3}); len(twice) < 450 || len(twice) > 550 {
		t.Errorf("%d of 400 arrive where a quarter is doubled", len(twice))
	}
	swapped, back := through(t, 400, MessageFaults{Reorder: 0.25, Seed: 3}), 0
	for i := 1; i < len(swapped); i++ {
		if swapped[i] < swapped[i-1] {
			back++
		}
	}
	if back < 50 || len(swapped) < 399 {
		t.Errorf("%d of %d arrive after a later one", back, len(swapped))
	}
}

// What no fleet could be or do is refused with the step's place and what is wrong.
func TestScenariosAreChecked(t *testing.T) {
	base := "name: x\ncoordinators: 2\nnodes: 3\nclients: 1\nwork: 1ms\nlasts: 2s\n"
	for text, want := range map[string]string{
		strings.Replace(base, "nodes: 3", "nodes: 2", 1):                              "nodes: 2",
		strings.Replace(base, "clients: 1", "clients: 0", 1):                          "clients",
		base + "colour: red\n":                                                        "colour",
		base + "sets: [2, 2]\n":                                                       "have 4 nodes, not 3",
		base + "steps: [{at: 1s}]":                                                    "does 0 things",
		base + "steps: [{at: 1s, kill: c0, pause: c1}]":                               "does 2 things",
		base + "steps: [{at: 1s, kill: c7}]":                                          `nothing is named like "c7"`,
		base + "steps: [{at: 1s, link: c0 n1}]":                                       "wants FROM and TO",
		base + "steps: [{at: 1s, link: c0 n1, cut: up}]":                              `cut "up"`,
		base + "steps: [{at: 1s, cut: both}]":                                         "does 0 things",
		base + "steps: [{at: 1s, node: n1, becomes: happy}]":                          `becomes "happy"`,
		base + "steps: [{at: 1s, kill: c0}, {at: 500ms, start: c0}]":                  "comes before",
		base + "steps: [{at: 5s, kill: c0}]":                                          "less than the last step",
		base + "steps: [{at: 1s, grow: 4, told: \"c[0-3]\"}, {at: 2s, told: \"c0\"}]": "does 0 things",
	} {
		file := filepath.Join(t.TempDir(), "x.yaml")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(file); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	file := filepath.Join(t.TempDir(), "x.yaml")
	os.WriteFile(file, []byte(base+"steps: [{at: 1s, link: \"c* n[0-1]\", cut: back}, {at: 2s, link: \"c* n*\", heal: true}]"), 0o600)
	if s, err := Load(file); err != nil || len(s.Steps) != 2 {
		t.Errorf("a sound one: %v", err)
	}
}

// The checker sees what breaks a rule, and lets pass what a fault has merely held up.
func TestRecordsSeeBreaches(t *testing.T) {
	link := func(whole time.Duration) *Link { return &Link{healthySince: time.Now().Add(-whole)} }
	f := &Fleet{Scenario: &Scenario{Replicas: 4}, Timeline: newTimeline(), site: &site{classes: []class{
		{name: "report", idempotency: "single_shot"}, {name: "search", idempotency: "free"}, {name: "update", idempotency: "guarded"}}}}
	n := &fleetReplica{name: "n0"}
	m := &member{name: "c0", links: []*Link{link(time.Hour)}, discovery: link(time.Hour)}
	f.checker.init(f)
	f.checker.processStarted(m)
	f.checker.runningSince[m] = time.Now().Add(-time.Hour)
	breaches := func() int { return len(f.checker.violations) }
	f.checker.partReceived(m, n, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Reject)
	f.checker.partReceived(m, n, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Serve)
	if breaches() > 0 {
		t.Error("a report that was turned away has not run")
	}
	f.checker.partReceived(m, n, fake.Part{ID: "report-1.0", List: "d=9"}, fake.Silent)
	if breaches() != 1 {
		t.Error("a report that ran twice passes")
	}
	f.checker.listSent(m, fake.Listing{Endpoints: []fake.Entry{{Name: "n0", Status: "terminating"}}})
	f.checker.partReceived(m, n, fake.Part{ID: "search-1.0", List: "d=9"}, fake.Serve)
	if breaches() != 1 {
		t.Error("a part within the grace is a breach")
	}
	f.checker.withdrawn[m]["n0"] = time.Now().Add(-2 * time.Second)
	f.checker.listSent(m, fake.Listing{Endpoints: []fake.Entry{{Name: "n0", Status: "terminated"}}}) // told again: the first word counts
	f.checker.partReceived(m, n, fake.Part{ID: "search-2.0", List: "d=9"}, fake.Serve)
	if breaches() != 2 {
		t.Error("a part at a node that has drained for 2 s passes")
	}
	// Held up on its way, the part or discovery's word; of one that was paused until now; at one that is back.
	m.links[0] = link(100 * time.Millisecond)
	f.checker.partReceived(m, n, fake.Part{ID: "search-3.0", List: "d=9"}, fake.Serve)
	m.links[0], m.discovery = link(time.Hour), link(900*time.Millisecond)
	f.checker.partReceived(m, n, fake.Part{ID: "search-4.0", List: "d=9"}, fake.Serve)
	m.discovery = link(time.Hour)
	f.checker.processResumed(m)
	f.checker.partReceived(m, n, fake.Part{ID: "search-5.0", List: "d=9"}, fake.Serve)
	f.checker.runningSince[m] = time.Now().Add(-time.Hour)
	f.checker.listSent(m, fake.Listing{Endpoints: []fake.Entry{{Name: "n0", Status: "in_service"}}})
	f.checker.partReceived(m, n, fake.Part{ID: "search-6.0", List: "d=9"}, fake.Serve)
	if breaches() != 2 {
		t.Errorf("what a fault held up is a breach: %v", f.checker.violations)
	}
	for i, part := range []fake.Part{
		{ID: "update-1.0", List: "d=9"},
		{ID: "update-1.0", List: "d=9,k=key-update-2"},
		{ID: "search-7.0", List: "d=9,k=key-search-7"},
		{ID: "search-8.1", Shard: 1, List: "d=9"}, // n0 holds 0, 2 and 3
	} {
		if f.checker.partReceived(m, n, part, fake.Serve); breaches() != 3+i {
			t.Errorf("%+v passes", part)
		}
	}
	f.checker.partReceived(m, n, fake.Part{ID: "update-1.0", List: "d=9,k=key-update-1"}, fake.Serve)
	f.checker.partReceived(m, n, fake.Part{ID: "search-8.2", Shard: 2, List: "d=9"}, fake.Serve)
	if breaches() != 6 {
		t.Errorf("what is sound is a breach: %v", f.checker.violations)
	}
	if err := f.verdict(); err == nil || !strings.Contains(err.Error(), "ran at n0 and at n0") || !strings.Contains(err.Error(), "nothing was served") {
		t.Errorf("the verdict is %v", err)
	}
}
