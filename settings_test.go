package harepass

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// What is learned of replicas and classes outlives a change of settings, under the classes' new places; what a vanished
// class had is forgotten once no part of it is out; and the same changes give the same actions.
func TestConfigureKeepsWhatIsLearned(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, s.Classes[0], s.Classes[0])
	s.Classes[1].Name, s.Classes[2].Name = "d", "e"
	a, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	a.Step(sec, []Event{ListReceived{Scope: ListFull, Replicas: []Replica{{ID: "r1"}, {ID: "r2"}}}})
	a.Step(sec, []Event{QueryArrived{ID: "q", Number: 1, Class: "d", Parts: 1, ValidUntil: 5 * sec}, PartArrived{ID: "q.0", Number: 1, Weight: 1}})
	a.byClass["e"].base, a.byID["r1"].faults[2], a.shards[0].rates[2] = 0.123, 7, 5
	next := s
	next.Classes = []Class{s.Classes[2], {Name: "f", Aim: sec, Deadline: sec, Need: 1}, s.Classes[0]}
	if err := a.Configure(next); err != nil {
		t.Fatal(err)
	}
	names := func() (list []string) {
		for i, k := range a.classes {
			if k.idx != i {
				t.Errorf("%s has place %d, want %d", k.Name, k.idx, i)
			}
			list = append(list, k.Name)
		}
		return list
	}
	if got := fmt.Sprint(names()); got != "[e f c d]" { // d has a part out
		t.Errorf("classes %s", got)
	}
	if e := a.byClass["e"]; e.base != 0.123 || a.byID["r1"].faults[0] != 7 || a.shards[0].rates[0] != 5 || a.byClass["d"] != nil {
		t.Errorf("e: base %v, faults %v, rates %v", e.base, a.byID["r1"].faults, a.shards[0].rates)
	}
	a.Step(sec+1, nil)
	a.Step(2*sec, []Event{AttemptEnded{Part: "q.0", Replica: a.parts["q.0"].attempts[0].r.ID, Took: sec / 10}})
	if err := a.Configure(next); err != nil || fmt.Sprint(names()) != "[e f c]" || len(a.byID["r1"].faults) != 3 {
		t.Errorf("%v, classes %v", err, names())
	}
}

// An altered class is a new one that knows what the old one learned; another number of cells gives other siblings.
func TestConfigureAlters(t *testing.T) {
	s := base()
	a, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	a.Step(sec, []Event{ListReceived{Scope: ListFull, Replicas: []Replica{{ID: "r1"}, {ID: "r2", Cell: 1}}}})
	old := a.byClass["c"]
	old.base, old.seenN = 0.4, 30
	next := s
	next.MaxAttempts++ // a higher limit is not for what is under way
	next.Cells, next.Reach = 2, 2
	if err := a.Configure(next); err != nil {
		t.Fatal(err)
	}
	k := a.byClass["c"]
	if k == old || k.base != 0.4 || k.seenN != 30 || k.most != next.MaxAttempts || old.most != s.MaxAttempts || len(a.byID["r1"].siblings) != 1 {
		t.Errorf("%+v, %d siblings", k, len(a.byID["r1"].siblings))
	}
	next.MaxAttempts = 1
	if err := a.Configure(next); err != nil || a.byClass["c"] != k || k.most != 1 {
		t.Errorf("%v; a lower limit holds for all, and the class goes on", err)
	}
}

// Settings that leave the classes and the ring as they are make nothing anew by replica: every list of every replica is the
// one that it was. A replica that has moved to another cell gets its new siblings with the next settings all the same.
func TestConfigureCostsWhatItChanges(t *testing.T) {
	const cells, nodes = 10, 600
	s := newSteady(t, 5, cells, false)
	var list []Replica
	for i := range nodes {
		list = append(list, Replica{ID: fmt.Sprint("more", i), Cell: i % cells})
	}
	s.a.Step(s.now, []Event{ListReceived{Scope: ListChanges, Replicas: list}})
	set := s.a.set
	configure := func() {
		set.RetryAdvice += time.Microsecond
		if err := s.a.Configure(set); err != nil {
			t.Fatal(err)
		}
	}
	configure()
	before := listsOf(s.a)
	configure()
	if remade := countRemade(before, listsOf(s.a)); remade > 0 {
		t.Errorf("the same settings again make %d of %d lists of replicas anew", remade, len(before))
	}
	moved := s.a.byID["more1"]
	s.a.Step(s.now, []Event{ListReceived{Scope: ListChanges, Replicas: []Replica{{ID: "more1", Cell: 6}}}})
	configure()
	if want := s.a.ring.neighbours(moved); !slices.Equal(moved.siblings, want) || !slices.Contains(want, s.a.byID["more7"]) {
		t.Errorf("of %d nodes one that moved has %d siblings, want %d", nodes, len(moved.siblings), len(want))
	}
}

// replicaLists are where a replica's lists begin in memory.
type replicaLists struct {
	siblings     **replica
	faults       *int
	barred       *time.Duration
	okAt, lostAt *time.Duration
}

func listsOf(a *Aggregator) (all []replicaLists) {
	for _, r := range a.replicas {
		all = append(all, replicaLists{&r.siblings[0], &r.faults[0], &r.barred[0], &r.okAt[0], &r.lostAt[0]})
	}
	return all
}

// countRemade counts the replicas of which some list is another one than before.
func countRemade(before, after []replicaLists) (remade int) {
	for i := range before {
		if before[i] != after[i] {
			remade++
		}
	}
	return remade
}
