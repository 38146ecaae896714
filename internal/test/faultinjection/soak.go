package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// soakNodes is how many nodes a soak has; those of them that fail lie so far apart that each section keeps a sound holder.
const (
	soakReplicas        = 12
	replicaDistance     = 5
	soakDuration        = 12 * time.Second
	maxSuspension       = 150 * time.Millisecond
	soakIdleConnections = 25
)

// soakDeadlines are those of all classes that a soak may have; 0 leaves the site's.
var soakDeadlines = []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}

// soakDraw draws the steps of a soak.
type soakGenerator struct {
	rng      *rand.Rand
	scenario *Scenario
}

// Soak draws a scenario from a seed: a few coordinators with judged clients, all kinds of trouble at drawn moments, signals in
// series, and in some seeds a crowd of idle connections. Unless kinds is empty, it keeps just these kinds of steps, as
// Step.Kind names them.
func Soak(seed uint64, kinds ...string) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	d := &soakGenerator{rng, &Scenario{Name: fmt.Sprint("soak-", seed), Coordinators: 3 + rng.IntN(3), Replicas: soakReplicas, StrictClients: 6 + rng.IntN(6),
		ServiceTime: time.Duration(2+rng.IntN(4)) * time.Millisecond, Deadline: soakDeadlines[rng.IntN(len(soakDeadlines))], Duration: soakDuration}}
	if rng.IntN(3) == 0 {
		d.scenario.IdleConnections = soakIdleConnections
	}
	d.discoveryFault()
	d.replicaFaults()
	d.restarts()
	d.reloads()
	for range 6 + rng.IntN(7) {
		d.add(d.instant(500*time.Millisecond, soakDuration), Step{Suspend: d.member(), For: d.instant(40*time.Millisecond, maxSuspension)})
	}
	for range 1 + rng.IntN(3) {
		d.add(d.instant(time.Second, soakDuration), Step{Link: fmt.Sprintf("c* n%d", rng.IntN(soakReplicas)), Reset: true})
	}
	if len(kinds) > 0 {
		d.scenario.Steps = slices.DeleteFunc(d.scenario.Steps, func(st Step) bool { return !slices.Contains(kinds, st.Kind()) })
	}
	slices.SortStableFunc(d.scenario.Steps, func(x, y Step) int { return int(x.At - y.At) })
	return d.scenario
}

// at draws a moment.
func (d *soakGenerator) instant(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

func (d *soakGenerator) member() string { return fmt.Sprint("c", d.rng.IntN(d.scenario.Coordinators)) }

func (d *soakGenerator) add(at time.Duration, st Step) {
	if st.At = at; at < d.scenario.Duration {
		d.scenario.Steps = append(d.scenario.Steps, st)
	}
}

// discovery fails for a time in most seeds, and nodes drain about then.
func (d *soakGenerator) discoveryFault() {
	mode := append(slices.Clone(discoveryModes), discoveryModes[1:]...)[d.rng.IntN(2*len(discoveryModes)-1)]
	if mode == discoveryHealthy {
		return
	}
	from := d.instant(time.Second, 2500*time.Millisecond)
	d.add(from, Step{Discovery: mode})
	d.add(from+d.instant(time.Second, soakDuration), Step{Discovery: discoveryHealthy})
}

// nodes drain, go and come back; others hang or fail for a time.
func (d *soakGenerator) replicaFaults() {
	first := d.rng.IntN(soakReplicas)
	for i := range 1 + d.rng.IntN(2) {
		node := fmt.Sprint("n", (first+i*replicaDistance)%soakReplicas)
		from := d.instant(time.Second, 4*time.Second)
		d.add(from, Step{Replica: node, Becomes: replicaDraining})
		gone := from + d.instant(time.Second, soakDuration)
		d.add(gone, Step{Replica: node, Becomes: replicaRemoved})
		d.add(gone+d.instant(300*time.Millisecond, time.Second), Step{Replica: node, Becomes: replicaRestarted})
	}
	if d.rng.IntN(2) == 0 {
		node := fmt.Sprint("n", (first+2*replicaDistance)%soakReplicas)
		from := d.instant(time.Second, 5*time.Second)
		d.add(from, Step{Replica: node, Becomes: []ReplicaState{replicaUnresponsive, replicaFailing}[d.rng.IntN(2)]})
		d.add(from+d.instant(time.Second, 4*time.Second), Step{Replica: node, Becomes: replicaHealthy})
	}
}

// restarts come one after the other, with moments in which a coordinator that ends stands still; some are killed instead.
func (d *soakGenerator) restarts() {
	at := d.instant(time.Second, 3*time.Second)
	for i := range 1 + d.rng.IntN(d.scenario.Coordinators) {
		member := fmt.Sprint("c", i)
		d.add(at, Step{Terminate: member, For: d.instant(50*time.Millisecond, 600*time.Millisecond)})
		d.add(at+d.instant(300*time.Millisecond, 1300*time.Millisecond), Step{Suspend: member, For: d.instant(40*time.Millisecond, maxSuspension)})
		d.add(at+d.idleCloseDelay()-d.instant(0, maxSuspension), Step{Suspend: member, For: maxSuspension})
		at += d.instant(200*time.Millisecond, 2*time.Second)
	}
	if d.rng.IntN(3) == 0 {
		member := fmt.Sprint("c", d.scenario.Coordinators-1)
		at := d.instant(2*time.Second, 6*time.Second)
		d.add(at, Step{Kill: member})
		d.add(at+d.instant(300*time.Millisecond, time.Second), Step{Start: member})
	}
}

// closes is about when, after SIGTERM, resting connections are closed.
func (d *soakGenerator) idleCloseDelay() time.Duration {
	if d.scenario.Deadline == 0 {
		return termMargin + 500*time.Millisecond
	}
	return termMargin + min(500*time.Millisecond, d.scenario.Deadline/2)
}

// reloads come in quick succession.
func (d *soakGenerator) reloads() {
	for range 1 + d.rng.IntN(2) {
		at := d.instant(time.Second, 8*time.Second)
		for range 1 + d.rng.IntN(3) {
			d.add(at, Step{Reload: "c*"})
			at += d.instant(20*time.Millisecond, 300*time.Millisecond)
		}
	}
}

// Kind names what a step does.
func (st Step) Kind() string {
	for _, k := range []struct {
		set  bool
		name string
	}{{st.Kill != "" || st.Start != "", "kill"}, {st.Terminate != "", "term"}, {st.Suspend != "", "hold"}, {st.Reload != "", "reload"},
		{st.Discovery != "", "discovery"}, {st.Replica != "", "node"}, {st.Link != "", "link"}, {st.Stop != "", "stop"}, {st.Pause != "" || st.Resume != "", "pause"}, {st.Resize > 0, "grow"}} {
		if k.set {
			return k.name
		}
	}
	return ""
}
