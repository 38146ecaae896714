package fleetsim

import (
	"math/rand/v2"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/virtualtime"
)

// Fleet is one simulation. Its clock advances only during Run. It is not safe for concurrent use.
type Fleet struct {
	Replicas []*Replica

	config       Config
	now          time.Duration // reading of the virtual clock
	rng          *rand.Rand
	pending      virtualtime.Queue[scheduledEvent]
	replicaByID  map[string]*Replica
	coordinators []*coordinator
	openQueries  map[string]*openQuery // by query ID
	arrivals     int64                 // queries that have arrived since New
	measured     measurement
	partsSent    [][]int // parts sent, by second since startTime, then by replica number
}

// startTime is the virtual clock's reading when a simulation begins.
const startTime = 100 * time.Second

// rngStream separates a fleet's random draws from those of other generators with the same seed.
const rngStream = 0x666c6565

// scheduledEvent is an event to be delivered to a coordinator's module at a later instant.
type scheduledEvent struct {
	to    *coordinator
	event scatter.Event
}

// New sets up a fleet in which every coordinator has the endpoint list and no query has arrived. It returns an error if
// the decision module rejects the settings derived from c.
func New(c Config) (*Fleet, error) {
	if c.SlowStart.OverloadFactor == 0 {
		c.SlowStart = DefaultSlowStart
	}
	f := &Fleet{
		config:      c,
		now:         startTime,
		rng:         rand.New(rand.NewPCG(c.Seed, rngStream)),
		replicaByID: map[string]*Replica{},
		openQueries: map[string]*openQuery{},
	}
	for i := range c.Replicas {
		r := newReplica(i, c)
		f.Replicas, f.replicaByID[r.id] = append(f.Replicas, r), r
	}
	for i := range c.Coordinators {
		if err := f.start(i, c.Coordinators); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Now returns the reading of the virtual clock.
func (f *Fleet) Now() time.Duration { return f.now }

// PublishEndpointList gives every coordinator the current endpoint list.
func (f *Fleet) PublishEndpointList() {
	for _, c := range f.coordinators {
		f.step(c, f.endpointList())
	}
}

// Run simulates a span of virtual time. The clock stops at the first arrival drawn at or after the end of the span; no
// query is created for that arrival.
func (f *Fleet) Run(span time.Duration) {
	for until := f.now + span; f.now < until; {
		next := f.now + time.Duration(f.rng.ExpFloat64()/f.config.QueryRate*float64(time.Second))
		for at, e := range f.pending.Until(next) {
			f.now = max(f.now, at)
			f.deliver(e)
		}
		if f.now = next; f.now >= until {
			break
		}
		f.extendPartsSent()
		f.receiveQuery()
	}
}

// endpointList returns the complete endpoint list, as discovery would report it now.
func (f *Fleet) endpointList() scatter.EndpointUpdate {
	list := scatter.EndpointUpdate{Kind: scatter.FullUpdate}
	for _, r := range f.Replicas {
		list.Replicas = append(list.Replicas, r.listed())
	}
	return list
}

func (f *Fleet) schedule(c *coordinator, at time.Duration, event scatter.Event) {
	f.pending.Add(at, scheduledEvent{c, event})
}

// deliver passes a scheduled event to its coordinator's module. Events of coordinators that have ended or have been
// replaced are dropped.
func (f *Fleet) deliver(e scheduledEvent) {
	if e.to.number >= len(f.coordinators) || f.coordinators[e.to.number] != e.to {
		return
	}
	if ended, ok := e.event.(scatter.AttemptEnded); ok && ended.Outcome == scatter.Succeeded {
		f.countServed(ended.Part)
	}
	f.step(e.to, e.event)
}
