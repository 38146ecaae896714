package scatter

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// What a machine has learned of replicas and classes outlives a change of settings, under the new indexes of the
// classes. What it has learned of a removed class is forgotten when no part of it is outstanding.
func TestConfigureKeepsWhatIsLearned(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, s.Classes[0], s.Classes[0])
	s.Classes[1].Name, s.Classes[2].Name = "d", "e"
	m, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	m.Step(sec, []Event{EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r1"}, {ID: "r2"}}}})
	m.Step(sec, []Event{QueryArrived{ID: "q", Number: 1, Class: "d", Parts: 1, Expires: 5 * sec},
		PartArrived{ID: "q.0", Number: 1, Weight: 1}})
	m.classes.byName["e"].meanLatency = 0.123
	m.replicas.byID["r1"].classHealth[2].consecutiveFaults = 7
	m.shards.byNumber[0].rates[2] = 5
	next := s
	added := Class{Name: "f", LatencyObjective: sec, Deadline: sec, CompleteFraction: 1}
	next.Classes = []Class{s.Classes[2], added, s.Classes[0]}
	if err := m.Configure(next); err != nil {
		t.Fatal(err)
	}
	names := func() (list []string) {
		for i, k := range m.classes.list {
			if k.index != i {
				t.Errorf("class %s has index %d, want %d", k.Name, k.index, i)
			}
			list = append(list, k.Name)
		}
		return list
	}
	if got := fmt.Sprint(names()); got != "[e f c d]" { // d has an outstanding part
		t.Errorf("classes %s, want [e f c d]", got)
	}
	e, health, rates := m.classes.byName["e"], m.replicas.byID["r1"].classHealth, m.shards.byNumber[0].rates
	if e.meanLatency != 0.123 || health[0].consecutiveFaults != 7 || rates[0] != 5 || m.classes.byName["d"] != nil {
		t.Errorf("class e: mean latency %v, class health %v, rates %v", e.meanLatency, health, rates)
	}
	m.Step(sec+1, nil)
	replica := m.queries.parts["q.0"].attempts[0].replica.ID
	m.Step(2*sec, []Event{AttemptEnded{Part: "q.0", Replica: replica, Latency: sec / 10}})
	err = m.Configure(next)
	if err != nil || fmt.Sprint(names()) != "[e f c]" || len(m.replicas.byID["r1"].classHealth) != 3 {
		t.Errorf("error %v, classes %v", err, names())
	}
}

// A changed class is replaced by one that keeps what the old one has learned. Another ring size gives other siblings.
func TestConfigureAlters(t *testing.T) {
	s := base()
	m, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	m.Step(sec, []Event{EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r1"}, {ID: "r2", RingPosition: 1}}}})
	old := m.classes.byName["c"]
	old.meanLatency, old.samples.count = 0.4, 30
	next := s
	next.MaxAttempts++ // a higher limit does not apply to open queries
	next.RingSize, next.ReplicationFactor = 2, 2
	if err := m.Configure(next); err != nil {
		t.Fatal(err)
	}
	k := m.classes.byName["c"]
	if k == old || k.meanLatency != 0.4 || k.samples.count != 30 ||
		k.maxAttempts != next.MaxAttempts || old.maxAttempts != s.MaxAttempts ||
		len(m.replicas.byID["r1"].siblings) != 1 {
		t.Errorf("class %+v, %d siblings", k, len(m.replicas.byID["r1"].siblings))
	}
	next.MaxAttempts = 1
	if err := m.Configure(next); err != nil || m.classes.byName["c"] != k || k.maxAttempts != 1 {
		t.Errorf("error %v; a lower limit applies to all, and the class is kept", err)
	}
}

// Settings that leave the classes and the ring unchanged rebuild no list of a replica. A replica that has moved to
// another ring position gets its new siblings with the next settings even so.
func TestConfigureCostsWhatItChanges(t *testing.T) {
	const ringSize, replicas = 10, 600
	s := newRecordedLoad(t, 5, ringSize, false)
	var list []Replica
	for i := range replicas {
		list = append(list, Replica{ID: fmt.Sprint("more", i), RingPosition: i % ringSize})
	}
	s.machine.Step(s.now, []Event{EndpointUpdate{Kind: IncrementalUpdate, Replicas: list}})
	set := s.machine.settings
	configure := func() {
		set.RetryAfter += time.Microsecond
		if err := s.machine.Configure(set); err != nil {
			t.Fatal(err)
		}
	}
	configure()
	before := listsOf(s.machine)
	configure()
	if remade := countRemade(before, listsOf(s.machine)); remade > 0 {
		t.Errorf("the same settings again rebuild the lists of %d of %d replicas", remade, len(before))
	}
	moved := s.machine.replicas.byID["more1"]
	elsewhere := Replica{ID: "more1", RingPosition: 6}
	s.machine.Step(s.now, []Event{EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{elsewhere}}})
	configure()
	want := s.machine.replicas.ring.siblings(moved)
	if !slices.Equal(moved.siblings, want) || !slices.Contains(want, s.machine.replicas.byID["more7"]) {
		t.Errorf("of %d replicas one that moved has %d siblings, want %d", replicas, len(moved.siblings), len(want))
	}
}

// replicaLists holds where a replica's lists begin in memory.
type replicaLists struct {
	siblings    **replica
	classHealth *classHealth
}

func listsOf(a *Machine) (all []replicaLists) {
	for _, r := range a.replicas.all {
		all = append(all, replicaLists{&r.siblings[0], &r.classHealth[0]})
	}
	return all
}

// countRemade returns the number of replicas of which some list is not the same as before.
func countRemade(before, after []replicaLists) (remade int) {
	for i := range before {
		if before[i] != after[i] {
			remade++
		}
	}
	return remade
}
