package lab

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"harepass"
	"harepass/internal/standin"
)

// A virtual fleet: the real module of each coordinator, before emulated nodes with queues, cold starts and connections,
// in virtual time. It is the same for the same seed, and faster than real time; it is for what no machine can hold.

// vWay is how a fleet is set up and what it meets.
type vWay struct {
	Members, Nodes int
	Reach          int // cells that hold a section; each cell has Layers nodes
	Layers         int
	PerCell        int // sections that begin at a cell
	Rate           float64
	Parts          int     // sections in a row that a lookup needs
	Wide           int     // and that a summary asks for
	Skew           float64 // of the members' traffic: the deviation of its logarithm
	Placed         bool    // whether members know which one they are
	Seed           uint64
	Cold           harepass.Cold // of nodes that start
}

const (
	vWork     = 30 * time.Millisecond // of a part, on a core of a warm node
	vCores    = 2
	vQueue    = 30 // parts that wait at a node; more are turned away
	vAim      = 380 * time.Millisecond
	vDeadline = time.Second
	vKeep     = 24 * time.Second       // an idle connection is closed after this
	vConnect  = 250 * time.Millisecond // that an attempt at a node that says nothing takes
	vWide     = 0.22                   // of the queries are summaries
	vFloor    = 0.7                    // of a summary's weight does for an answer in part
)

// vCold is how nodes start where a play says nothing else.
var vCold = harepass.Cold{Start: 0.21, WarmWithin: 18 * time.Second, Multiple: 2.5, Window: 1500 * time.Millisecond}

// vArrival is a part that came to a cold node, from a member that had been told of its start or not.
type vArrival struct {
	at   time.Duration
	told bool
}

// vNode is an emulated node.
type vNode struct {
	standin.Machine
	id    string
	cell  int
	zone  int
	down  bool                  // nothing is answered, and no connection comes up
	hung  bool                  // takes parts and answers none
	conns map[int]time.Duration // by member: when one was used last
	parts int                   // sent to it in the present phase
	cold  []vArrival
}

type vEvent struct {
	at  time.Duration
	seq int
	to  *vMember
	ev  harepass.Event
}

type vEvents []vEvent

func (e vEvents) Len() int { return len(e) }
func (e vEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e vEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *vEvents) Push(x any)   { *e = append(*e, x.(vEvent)) }
func (e *vEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// vMember is a coordinator of the fleet.
type vMember struct {
	no    int
	agg   *harepass.Aggregator
	tries map[string]int
	upTo  float64                  // of the fleet's traffic, summed up to this one
	since map[string]time.Duration // starts of nodes that it was told of
}

// vQuery is a query that is open.
type vQuery struct {
	came  time.Duration
	worth float64
	wide  bool
	parts int
	in    int
}

// vFleet is one play.
type vFleet struct {
	vWay
	now      time.Duration
	rng      *rand.Rand
	due      vEvents
	seq      int
	asked    int64
	nodes    []*vNode
	byID     map[string]*vNode
	members  []*vMember
	queries  map[string]*vQuery
	offered  float64 // worth in the present phase
	earned   float64
	attempts int
	load     [][]int // parts by second and node
}

const vZones = 3

func newVFleet(w vWay) (*vFleet, error) {
	if w.Cold.Multiple == 0 {
		w.Cold = vCold
	}
	f := &vFleet{vWay: w, now: 100 * time.Second, rng: rand.New(rand.NewPCG(w.Seed, 0x666c6565)), byID: map[string]*vNode{}, queries: map[string]*vQuery{}}
	for i := range w.Nodes {
		n := &vNode{id: fmt.Sprint("n", i), cell: i / w.Layers, zone: i % vZones, conns: map[int]time.Duration{}}
		n.Machine = standin.Machine{Work: vWork, Cores: vCores, Queue: vQueue, Start: w.Cold.Start, Warm: w.Cold.WarmWithin, Fall: w.Cold.Multiple, Window: w.Cold.Window}
		f.nodes, f.byID[n.id] = append(f.nodes, n), n
	}
	for i := range w.Members {
		if err := f.join(i, w.Members); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// renew starts a member anew: it knows the list, and nothing of what it had seen.
func (f *vFleet) renew(i int) error {
	rest := append([]*vMember(nil), f.members[i+1:]...)
	upTo := f.members[i].upTo
	err := f.join(i, len(f.members))
	f.members[i].upTo = upTo
	f.members = append(f.members, rest...)
	return err
}

// join starts a member, which knows a size of the fleet.
func (f *vFleet) join(i, of int) error {
	s := f.settings(of)
	if f.Placed {
		s.Me = i + 1
	}
	agg, err := harepass.New(f.Seed<<16|uint64(i), s)
	if err != nil {
		return err
	}
	m := &vMember{no: i, agg: agg, tries: map[string]int{}, since: map[string]time.Duration{}}
	weight := math.Exp(f.Skew * f.rng.NormFloat64())
	if i > 0 {
		m.upTo = f.members[i-1].upTo
	}
	m.upTo += weight
	f.members = append(f.members[:i], m)
	f.step(m, f.list())
	return nil
}

func (f *vFleet) settings(of int) harepass.Settings {
	return harepass.Settings{Roots: of, Cells: f.Nodes / f.Layers, Reach: f.Reach, CallBatch: 1, Turn: time.Millisecond, MaxAttempts: 4, Cancel: true, RetryAdvice: time.Second,
		Classes: []harepass.Class{
			{Name: "lookup", Aim: vAim, Deadline: vDeadline, Worth: 1, LateWorth: 0.3, Need: 1, Floor: 1},
			{Name: "summary", Aim: vAim, Deadline: vDeadline, Worth: 3, LateWorth: 0.3, Need: 1, Floor: vFloor}},
		Cold: f.Cold}
}

func (f *vFleet) list() harepass.ListReceived {
	ev := harepass.ListReceived{Scope: harepass.ListFull}
	for _, n := range f.nodes {
		ev.Replicas = append(ev.Replicas, harepass.Replica{ID: n.id, Cell: n.cell, Zone: fmt.Sprint("z", n.zone), Since: n.Since})
	}
	return ev
}

// tell gives every member the list.
func (f *vFleet) tell() {
	for _, m := range f.members {
		f.step(m, f.list())
	}
}

// resize makes it a fleet of another size; members below upTo hear of it now. Those that go end at once.
func (f *vFleet) resize(of, upTo int) error {
	f.members = f.members[:min(len(f.members), of)]
	for i, m := range f.members {
		if i < upTo {
			s := f.settings(of)
			if f.Placed {
				s.Me = i + 1
			}
			if err := m.agg.Configure(s); err != nil {
				return err
			}
		}
	}
	for i := len(f.members); i < of; i++ {
		if err := f.join(i, of); err != nil {
			return err
		}
	}
	return nil
}

func (f *vFleet) later(m *vMember, at time.Duration, ev harepass.Event) {
	f.seq++
	heap.Push(&f.due, vEvent{at, f.seq, m, ev})
}

func (f *vFleet) step(m *vMember, events ...harepass.Event) {
	for _, e := range events {
		if l, ok := e.(harepass.ListReceived); ok {
			for _, r := range l.Replicas {
				m.since[r.ID] = r.Since
			}
		}
	}
	for _, act := range m.agg.Step(f.now, events) {
		switch a := act.(type) {
		case harepass.WakeIn:
			f.later(m, f.now+a.In, harepass.Woken{})
		case harepass.CallOff: // its work is done all the same
			f.later(m, f.now, harepass.AttemptEnded{Part: a.Part, Attempt: a.Attempt, Outcome: harepass.Cancelled, Took: vAim})
		case harepass.Send:
			f.send(m, a)
		case harepass.Answer:
			q := f.queries[a.Query]
			if q != nil && f.now-q.came <= vAim {
				if f.earned += q.worth; !a.Whole {
					f.earned -= q.worth * (1 - 0.9*float64(q.in)/float64(q.parts))
				}
			}
			delete(f.queries, a.Query)
		case harepass.Refuse:
			delete(f.queries, a.Query)
		case harepass.Fail:
			delete(f.queries, a.Query)
		}
	}
}

func (f *vFleet) send(m *vMember, a harepass.Send) {
	no := m.tries[a.Part]
	m.tries[a.Part]++
	n := f.byID[a.Replica]
	n.parts++
	f.attempts++
	f.load[len(f.load)-1][slices.Index(f.nodes, n)]++
	out := harepass.AttemptEnded{Part: a.Part, Attempt: no, Replica: a.Replica}
	began := f.now
	if last, open := n.conns[m.no]; !open || f.now-last > vKeep {
		began += time.Millisecond
	}
	switch {
	case n.down:
		out.Outcome, out.Took = harepass.ConnectFailed, min(vConnect, a.Timeout)
		delete(n.conns, m.no)
	case n.hung:
		n.conns[m.no] = f.now
		out.Outcome, out.Took = harepass.TimedOut, a.Timeout
	default:
		n.conns[m.no] = f.now
		if n.Ramp(began) < 1 {
			n.cold = append(n.cold, vArrival{began, m.since[n.id] == n.Since})
		}
		end, taken := n.Take(began)
		if out.Took = end - f.now; !taken {
			out.Outcome = harepass.Full
		} else if out.Took > a.Timeout {
			out.Outcome, out.Took = harepass.TimedOut, a.Timeout
		}
	}
	f.later(m, f.now+out.Took, out)
}

// run lets the fleet be asked for a while.
func (f *vFleet) run(span time.Duration) {
	for until := f.now + span; f.now < until; {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.Rate*float64(time.Second))
		for len(f.due) > 0 && f.due[0].at <= next {
			e := heap.Pop(&f.due).(vEvent)
			if f.now = max(f.now, e.at); e.to.no >= len(f.members) || f.members[e.to.no] != e.to {
				continue // of a member that is gone
			}
			if ended, ok := e.ev.(harepass.AttemptEnded); ok && ended.Outcome == harepass.Served {
				f.arrived(ended.Part)
			}
			f.step(e.to, e.ev)
		}
		if f.now = next; f.now >= until {
			break
		}
		for s := int((f.now - 100*time.Second) / time.Second); len(f.load) <= s; {
			f.load = append(f.load, make([]int, len(f.nodes)))
		}
		f.ask()
	}
}

// arrived counts a part's value in for its query.
func (f *vFleet) arrived(part string) {
	for i := range part {
		if part[i] == '.' {
			if q := f.queries[part[:i]]; q != nil {
				q.in++
			}
			return
		}
	}
}

// ask has one member, by its traffic, be asked a lookup or a summary of sections in a row.
func (f *vFleet) ask() {
	f.asked++
	x := f.rng.Float64() * f.members[len(f.members)-1].upTo
	i, _ := slices.BinarySearchFunc(f.members, x, func(m *vMember, x float64) int {
		if m.upTo < x {
			return -1
		}
		return 1
	})
	m := f.members[min(i, len(f.members)-1)]
	q, class := &vQuery{came: f.now, worth: float64(f.Parts), parts: f.Parts}, "lookup"
	if f.rng.Float64() < vWide {
		q.parts, q.worth, q.wide, class = f.Wide, 3*float64(f.Wide), true, "summary"
	}
	id := fmt.Sprint("q", f.asked)
	f.queries[id] = q
	f.offered += q.worth
	sections := f.PerCell * f.Nodes / f.Layers
	first := f.rng.IntN(sections)
	events := []harepass.Event{harepass.QueryArrived{ID: id, Number: f.asked, Class: class, ValidUntil: f.now + vDeadline, Parts: q.parts}}
	for i := range q.parts {
		// Sections whose numbers differ by the number of cells lie at the same nodes.
		events = append(events, harepass.PartArrived{ID: fmt.Sprint(id, ".", i), Number: f.asked, Shard: (first + i) % sections, Weight: 1 / float64(q.parts)})
	}
	f.step(m, events...)
}

// phase begins a new count.
func (f *vFleet) phase() {
	f.offered, f.earned, f.attempts = 0, 0, 0
	for _, n := range f.nodes {
		n.parts = 0
	}
}

// worth is the share of the worth that was earned in the phase.
func (f *vFleet) worth() float64 { return f.earned / max(f.offered, 1e-9) }

// held is how many connections each node has open.
func (f *vFleet) held() (by []float64) {
	for _, n := range f.nodes {
		open := 0.0
		for _, last := range n.conns {
			if f.now-last <= vKeep {
				open++
			}
		}
		by = append(by, open)
	}
	return by
}

// peak is the largest over the mean of some loads, and Jain's index of their fairness.
func peak(loads []float64) (over, jain float64) {
	sum, squares := 0.0, 0.0
	for _, x := range loads {
		sum, squares = sum+x, squares+x*x
	}
	if sum == 0 {
		return 1, 1
	}
	return slices.Max(loads) * float64(len(loads)) / sum, sum * sum / (float64(len(loads)) * squares)
}
