package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/virtualtime"
)

// Fleet is one play. Its clock stands still between calls of Run.
type Fleet struct {
	Config
	Nodes []*Node

	now      time.Duration
	rng      *rand.Rand
	pending  virtualtime.Queue[event]
	nodeByID map[string]*Node
	members  []*member
	queries  map[string]*query // that are open
	asked    int64
	phase    phase
	load     [][]int // parts by second and node
}

// member is a coordinator of the fleet.
type member struct {
	number      int
	module      *scatter.Machine
	attempts    map[string]int           // by part
	traffic     float64                  // of the members up to this one, in sum
	startsKnown map[string]time.Duration // when each node started, as the member was told
}

// query is a query that is open.
type query struct {
	came   time.Duration
	worth  float64
	parts  int
	served int // parts
}

// event is something that a member is to hear.
type event struct {
	to   *member
	what scatter.Event
}

// phase is what is counted from one call of BeginPhase to the next.
type phase struct {
	offered, earned float64 // worth
	attempts        int
}

// New sets a fleet up: every member has read the list of nodes, and nothing has been asked yet.
func New(c Config) (*Fleet, error) {
	if c.Cold.OverloadFactor == 0 {
		c.Cold = DefaultCold
	}
	f := &Fleet{Config: c, now: startTime, rng: rand.New(rand.NewPCG(c.Seed, 0x666c6565)), nodeByID: map[string]*Node{}, queries: map[string]*query{}}
	for i := range c.Nodes {
		n := newNode(i, c)
		f.Nodes, f.nodeByID[n.id] = append(f.Nodes, n), n
	}
	for i := range c.Members {
		if err := f.join(i, c.Members); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Now is the virtual clock.
func (f *Fleet) Now() time.Duration { return f.now }

// Announce gives every member the list of nodes as it is now.
func (f *Fleet) Announce() {
	for _, m := range f.members {
		f.step(m, f.list())
	}
}

// Run has the fleet asked for a while.
func (f *Fleet) Run(span time.Duration) {
	for until := f.now + span; f.now < until; {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.Rate*float64(time.Second))
		for at, e := range f.pending.Until(next) {
			f.now = max(f.now, at)
			f.deliver(e)
		}
		if f.now = next; f.now >= until {
			break
		}
		for second := int((f.now - startTime) / time.Second); len(f.load) <= second; {
			f.load = append(f.load, make([]int, len(f.Nodes)))
		}
		f.ask()
	}
}

// join starts the member of a number, which believes the fleet to have so many. It knows the list, and nothing of what was seen.
func (f *Fleet) join(number, members int) error {
	module, err := scatter.New(f.Seed<<16|uint64(number), f.settings(number, members))
	if err != nil {
		return err
	}
	m := &member{number: number, module: module, attempts: map[string]int{}, startsKnown: map[string]time.Duration{}}
	traffic := math.Exp(f.Skew * f.rng.NormFloat64())
	if number > 0 {
		m.traffic = f.members[number-1].traffic
	}
	m.traffic += traffic
	f.members = append(f.members[:number], m)
	f.step(m, f.list())
	return nil
}

// restart starts the member of a number anew, with the traffic that it had.
func (f *Fleet) restart(number int) error {
	rest := slices.Clone(f.members[number+1:])
	traffic := f.members[number].traffic
	err := f.join(number, len(f.members))
	f.members[number].traffic = traffic
	f.members = append(f.members, rest...)
	return err
}

// resize makes it a fleet of so many members. Those below informed hear of it now; those that go end at once.
func (f *Fleet) resize(members, informed int) error {
	f.members = f.members[:min(len(f.members), members)]
	for i, m := range f.members[:min(len(f.members), informed)] {
		if err := m.module.Configure(f.settings(i, members)); err != nil {
			return err
		}
	}
	for i := len(f.members); i < members; i++ {
		if err := f.join(i, members); err != nil {
			return err
		}
	}
	return nil
}

// list is what discovery says of the nodes.
func (f *Fleet) list() scatter.EndpointUpdate {
	ev := scatter.EndpointUpdate{Kind: scatter.FullUpdate}
	for _, n := range f.Nodes {
		ev.Replicas = append(ev.Replicas, n.replica())
	}
	return ev
}

func (f *Fleet) schedule(m *member, at time.Duration, what scatter.Event) {
	f.pending.Add(at, event{m, what})
}

// deliver lets a member hear an event, unless it is gone.
func (f *Fleet) deliver(e event) {
	if e.to.number >= len(f.members) || f.members[e.to.number] != e.to {
		return
	}
	if ended, ok := e.what.(scatter.AttemptEnded); ok && ended.Outcome == scatter.Succeeded {
		f.countServed(ended.Part)
	}
	f.step(e.to, e.what)
}

// step gives a member's module events and does what it asks for.
func (f *Fleet) step(m *member, events ...scatter.Event) {
	for _, e := range events {
		if list, ok := e.(scatter.EndpointUpdate); ok {
			for _, r := range list.Replicas {
				m.startsKnown[r.ID] = r.StartedAt
			}
		}
	}
	for _, action := range m.module.Step(f.now, events) {
		switch a := action.(type) {
		case scatter.SetTimer:
			f.schedule(m, f.now+a.After, scatter.TimerFired{})
		case scatter.CancelAttempt: // its work is done all the same
			f.schedule(m, f.now, scatter.AttemptEnded{Part: a.Part, Attempt: a.Attempt, Outcome: scatter.Cancelled, Latency: aim})
		case scatter.Send:
			f.send(m, a)
		case scatter.Answer:
			f.answered(a)
		case scatter.Reject:
			delete(f.queries, a.Query)
		case scatter.Fail:
			delete(f.queries, a.Query)
		}
	}
}

// answered books the worth of an answer that came within its aim.
func (f *Fleet) answered(a scatter.Answer) {
	q := f.queries[a.Query]
	delete(f.queries, a.Query)
	if q == nil || f.now-q.came > aim {
		return
	}
	f.phase.earned += q.worth
	if !a.Complete {
		f.phase.earned -= q.worth * (1 - 0.9*float64(q.served)/float64(q.parts))
	}
}

// send begins an attempt.
func (f *Fleet) send(m *member, a scatter.Send) {
	attempt := m.attempts[a.Part]
	m.attempts[a.Part]++
	n := f.nodeByID[a.Replica]
	n.Parts++
	f.phase.attempts++
	f.load[len(f.load)-1][n.number]++
	outcome, took := n.take(m, f.now, a.Timeout)
	f.schedule(m, f.now+took, scatter.AttemptEnded{Part: a.Part, Attempt: attempt, Replica: a.Replica, Outcome: outcome, Latency: took})
}

// countServed counts a served part in for its query.
func (f *Fleet) countServed(part string) {
	id, _, _ := strings.Cut(part, ".")
	if q := f.queries[id]; q != nil {
		q.served++
	}
}

// ask has a member, drawn by its traffic, be asked a lookup or a summary of sections in a row.
func (f *Fleet) ask() {
	f.asked++
	m := f.drawMember()
	q, class := &query{came: f.now, worth: float64(f.LookupSections), parts: f.LookupSections}, "lookup"
	if f.rng.Float64() < summaryShare {
		q.parts, q.worth, class = f.SummarySections, 3*float64(f.SummarySections), "summary"
	}
	id := fmt.Sprint("q", f.asked)
	f.queries[id] = q
	f.phase.offered += q.worth
	sections := f.SectionsPerCell * f.cells()
	first := f.rng.IntN(sections)
	events := []scatter.Event{scatter.QueryArrived{ID: id, Number: f.asked, Class: class, Expires: f.now + deadline, Parts: q.parts}}
	for i := range q.parts {
		// Sections whose numbers differ by the number of cells lie at the same nodes.
		events = append(events, scatter.PartArrived{ID: fmt.Sprint(id, ".", i), Number: f.asked, Shard: (first + i) % sections, Weight: 1 / float64(q.parts)})
	}
	f.step(m, events...)
}

func (f *Fleet) drawMember() *member {
	x := f.rng.Float64() * f.members[len(f.members)-1].traffic
	i, _ := slices.BinarySearchFunc(f.members, x, func(m *member, x float64) int {
		if m.traffic < x {
			return -1
		}
		return 1
	})
	return f.members[min(i, len(f.members)-1)]
}
