package core

import (
	"maps"
	"slices"

	"harepass/internal/decide/scatter"
)

// Phase is where the program stands between start and exit.
type Phase int32

// The phases, in order.
const (
	Starting Phase = iota // no word of the list yet: not ready for clients
	Ready                 // serving
	Draining              // not ready; what is taken is answered, and what still comes is taken
	Stopped               // nothing is open, and nothing more is taken
)

func (p Phase) String() string { return [...]string{"starting", "ready", "draining", "stopped"}[p] }

// Phase may be asked from any goroutine.
func (o *Coordinator) Phase() Phase { return Phase(o.phase.Load()) }

// Started is closed once the phase has left Starting.
func (o *Coordinator) Started() <-chan struct{} { return o.ready }

// Drain begins the end: readiness fails from now on.
func (o *Coordinator) Drain() { o.post(draining{}) }

// Stop ends a drained owner once nothing is open; it returns when Run has.
func (o *Coordinator) Stop() {
	o.post(stopping{})
	<-o.done
}

type (
	draining struct{}
	stopping struct{}
)

// apply also bounds the time of what is open and of what is taken from now on, for the end is near.
func (draining) apply(o *Coordinator) {
	o.to(Draining)
	if o.set().limits.DrainTimeout == 0 || o.drainEnd > 0 {
		return
	}
	o.drainEnd = o.now + o.set().limits.DrainTimeout
	o.deadlines.add(o.drainEnd, o.endOpen)
	for _, id := range slices.Sorted(maps.Keys(o.queries)) {
		if q := o.queries[id]; q.Deadline > o.drainEnd {
			o.deadlines.remove(q.due)
			q.due = o.deadlines.add(o.drainEnd+overdue, func() { o.overdue(q) })
		}
	}
}

// endOpen has the module end what is open, with what has come in: the platform is about to kill this process.
func (o *Coordinator) endOpen() {
	for _, id := range slices.Sorted(maps.Keys(o.queries)) {
		o.events = append(o.events, scatter.QueryExpired{ID: id})
	}
}

// apply marks the owner as ending; advance ends it when the last query has its answer.
func (stopping) apply(o *Coordinator) { o.to(Draining); o.ending = true }

// to moves forward only.
func (o *Coordinator) to(p Phase) {
	if p <= o.Phase() {
		return
	}
	if o.Phase() == Starting {
		close(o.ready)
	}
	o.phase.Store(int32(p))
}

// advance moves on at the end of a turn where the time for it has come.
func (o *Coordinator) advance() {
	if o.list {
		o.to(Ready)
	}
	if o.ending && len(o.queries) == 0 {
		o.to(Stopped)
	}
}
