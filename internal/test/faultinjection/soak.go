package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// soakNodes is how many nodes a soak has; those of them that fail lie so far apart that each section keeps a sound holder.
const (
	soakNodes   = 12
	apartNodes  = 5
	soakLasts   = 12 * time.Second
	mostHoldUp  = 150 * time.Millisecond
	crowdOfIdle = 25
)

// soakDeadlines are those of all classes that a soak may have; 0 leaves the site's.
var soakDeadlines = []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}

// soakDraw draws the steps of a soak.
type soakDraw struct {
	rng *rand.Rand
	s   *Scenario
}

// Soak draws a scenario from a seed: a few coordinators with judged clients, all kinds of trouble at drawn moments, signals in
// series, and in some seeds a crowd of idle connections. Unless kinds is empty, it keeps just these kinds of steps, as
// Step.Kind names them.
func Soak(seed uint64, kinds ...string) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	d := &soakDraw{rng, &Scenario{Name: fmt.Sprint("soak-", seed), Coordinators: 3 + rng.IntN(3), Nodes: soakNodes, Judged: 6 + rng.IntN(6),
		Work: time.Duration(2+rng.IntN(4)) * time.Millisecond, Deadline: soakDeadlines[rng.IntN(len(soakDeadlines))], Lasts: soakLasts}}
	if rng.IntN(3) == 0 {
		d.s.Idle = crowdOfIdle
	}
	d.discovery()
	d.nodes()
	d.restarts()
	d.reloads()
	for range 6 + rng.IntN(7) {
		d.add(d.at(500*time.Millisecond, soakLasts), Step{Hold: d.member(), For: d.at(40*time.Millisecond, mostHoldUp)})
	}
	for range 1 + rng.IntN(3) {
		d.add(d.at(time.Second, soakLasts), Step{Link: fmt.Sprintf("c* n%d", rng.IntN(soakNodes)), Reset: true})
	}
	if len(kinds) > 0 {
		d.s.Steps = slices.DeleteFunc(d.s.Steps, func(st Step) bool { return !slices.Contains(kinds, st.Kind()) })
	}
	slices.SortStableFunc(d.s.Steps, func(x, y Step) int { return int(x.At - y.At) })
	return d.s
}

// at draws a moment.
func (d *soakDraw) at(from, to time.Duration) time.Duration {
	return from + time.Duration(d.rng.Int64N(int64(to-from)))
}

func (d *soakDraw) member() string { return fmt.Sprint("c", d.rng.IntN(d.s.Coordinators)) }

func (d *soakDraw) add(at time.Duration, st Step) {
	if st.At = at; at < d.s.Lasts {
		d.s.Steps = append(d.s.Steps, st)
	}
}

// discovery fails for a time in most seeds, and nodes drain about then.
func (d *soakDraw) discovery() {
	mode := append(slices.Clone(discoveryModes), discoveryModes[1:]...)[d.rng.IntN(2*len(discoveryModes)-1)]
	if mode == discoverySound {
		return
	}
	from := d.at(time.Second, 2500*time.Millisecond)
	d.add(from, Step{Discovery: mode})
	d.add(from+d.at(time.Second, soakLasts), Step{Discovery: discoverySound})
}

// nodes drain, go and come back; others hang or fail for a time.
func (d *soakDraw) nodes() {
	first := d.rng.IntN(soakNodes)
	for i := range 1 + d.rng.IntN(2) {
		node := fmt.Sprint("n", (first+i*apartNodes)%soakNodes)
		from := d.at(time.Second, 4*time.Second)
		d.add(from, Step{Node: node, Becomes: nodeDrained})
		gone := from + d.at(time.Second, soakLasts)
		d.add(gone, Step{Node: node, Becomes: nodeGone})
		d.add(gone+d.at(300*time.Millisecond, time.Second), Step{Node: node, Becomes: nodeBack})
	}
	if d.rng.IntN(2) == 0 {
		node := fmt.Sprint("n", (first+2*apartNodes)%soakNodes)
		from := d.at(time.Second, 5*time.Second)
		d.add(from, Step{Node: node, Becomes: []NodeState{nodeHung, nodeFailing}[d.rng.IntN(2)]})
		d.add(from+d.at(time.Second, 4*time.Second), Step{Node: node, Becomes: nodeSound})
	}
}

// restarts come one after the other, with moments in which a coordinator that ends stands still; some are killed instead.
func (d *soakDraw) restarts() {
	at := d.at(time.Second, 3*time.Second)
	for i := range 1 + d.rng.IntN(d.s.Coordinators) {
		member := fmt.Sprint("c", i)
		d.add(at, Step{Term: member, For: d.at(50*time.Millisecond, 600*time.Millisecond)})
		d.add(at+d.at(300*time.Millisecond, 1300*time.Millisecond), Step{Hold: member, For: d.at(40*time.Millisecond, mostHoldUp)})
		d.add(at+d.closes()-d.at(0, mostHoldUp), Step{Hold: member, For: mostHoldUp})
		at += d.at(200*time.Millisecond, 2*time.Second)
	}
	if d.rng.IntN(3) == 0 {
		member := fmt.Sprint("c", d.s.Coordinators-1)
		at := d.at(2*time.Second, 6*time.Second)
		d.add(at, Step{Kill: member})
		d.add(at+d.at(300*time.Millisecond, time.Second), Step{Start: member})
	}
}

// closes is about when, after SIGTERM, resting connections are closed.
func (d *soakDraw) closes() time.Duration {
	if d.s.Deadline == 0 {
		return termMargin + 500*time.Millisecond
	}
	return termMargin + min(500*time.Millisecond, d.s.Deadline/2)
}

// reloads come in quick succession.
func (d *soakDraw) reloads() {
	for range 1 + d.rng.IntN(2) {
		at := d.at(time.Second, 8*time.Second)
		for range 1 + d.rng.IntN(3) {
			d.add(at, Step{Reload: "c*"})
			at += d.at(20*time.Millisecond, 300*time.Millisecond)
		}
	}
}

// Kind names what a step does.
func (st Step) Kind() string {
	for _, k := range []struct {
		set  bool
		name string
	}{{st.Kill != "" || st.Start != "", "kill"}, {st.Term != "", "term"}, {st.Hold != "", "hold"}, {st.Reload != "", "reload"},
		{st.Discovery != "", "discovery"}, {st.Node != "", "node"}, {st.Link != "", "link"}, {st.Stop != "", "stop"}, {st.Pause != "" || st.Resume != "", "pause"}, {st.Grow > 0, "grow"}} {
		if k.set {
			return k.name
		}
	}
	return ""
}
