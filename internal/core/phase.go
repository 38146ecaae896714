package core

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// Phase is where a coordinator stands between start and exit.
type Phase int32

// The phases, in order; none is gone back to.
const (
	Starting Phase = iota // the endpoint list is not known yet: not ready for clients, though queries are accepted
	Ready                 // serving
	Draining              // not ready for clients; open queries are answered, and those that still come are accepted
	Stopped               // nothing is open, and nothing more is accepted
)

// String is the phase's name, for readiness replies and logs.
func (p Phase) String() string { return [...]string{"starting", "ready", "draining", "stopped"}[p] }

// phaseState is a coordinator's way from start to exit.
type phaseState struct {
	phase    atomic.Int32  // a Phase; any goroutine may read it
	started  chan struct{} // closed once the phase has left Starting
	stopping bool          // to become Stopped when nothing is open
	drainEnd time.Duration // instant by which all queries have to be answered; 0 while there is none
}

func newPhaseState() phaseState { return phaseState{started: make(chan struct{})} }

// moveTo sets a later phase; it does nothing for an earlier one.
func (l *phaseState) moveTo(p Phase) {
	present := Phase(l.phase.Load())
	if p <= present {
		return
	}
	if present == Starting {
		close(l.started)
	}
	l.phase.Store(int32(p))
}

// Phase returns the present phase. Any goroutine may call it.
func (c *Coordinator) Phase() Phase { return Phase(c.phaseState.phase.Load()) }

// Started returns a channel that is closed once the phase has left Starting.
func (c *Coordinator) Started() <-chan struct{} { return c.phaseState.started }

// NotReadyError tells in which phase a coordinator is not ready for clients. Its text is the phase's name.
type NotReadyError struct{ Phase Phase }

// Error is the phase's name.
func (e NotReadyError) Error() string { return e.Phase.String() }

// CheckReady returns a NotReadyError unless the phase is Ready. Any goroutine may call it.
func (c *Coordinator) CheckReady() error {
	if p := c.Phase(); p != Ready {
		return NotReadyError{p}
	}
	return nil
}

// Drain makes the phase Draining. It ends the calls of Config.OnCheckpoint, and bounds all queries, open ones and those
// that are accepted from now on: each has its answer Limits.DrainTimeout later, plus answerGrace. A second Drain does
// not move that bound. Drain waits while the queue is full; any goroutine but the coordinator's own may call it.
func (c *Coordinator) Drain() { c.post(drainRequest{}) }

// Stop makes the phase Draining, and Stopped once no query is open; it returns when Run has. It bounds no query's time:
// Drain has to be called before where that is wanted. All fronts should have shut down before Stop is called: queries
// that still wait in the queue after the last tick are rejected.
//
// The order of a program's end is Drain, the fronts' shutdown, Stop. Any goroutine but the coordinator's own may call
// it.
func (c *Coordinator) Stop() {
	c.post(stopRequest{})
	<-c.stopped
}

type (
	drainRequest struct{}
	stopRequest  struct{}
)

// apply also bounds the time of open queries, and of those that are accepted from now on: the platform kills the
// process some time after it has asked for its end.
func (drainRequest) apply(c *Coordinator) {
	c.phaseState.moveTo(Draining)
	timeout := c.inForce().limits.DrainTimeout
	if timeout == 0 || c.phaseState.drainEnd > 0 {
		return
	}
	end := c.now + timeout
	c.phaseState.drainEnd = end
	c.timers.add(end, c.endOpenQueries)
	for _, id := range slices.Sorted(maps.Keys(c.open.byID)) {
		if q := c.open.byID[id]; q.Deadline > end {
			c.timers.remove(q.giveUpTimer)
			q.giveUpTimer = c.timers.add(end+answerGrace, func() { c.giveUp(q) })
		}
	}
}

// endOpenQueries has the module end the open queries with what has come in: the platform is about to kill this process.
func (c *Coordinator) endOpenQueries() {
	for _, id := range slices.Sorted(maps.Keys(c.open.byID)) {
		c.notify(scatter.QueryExpired{ID: id})
	}
}

// apply has updatePhase stop the coordinator once the last query has its answer.
func (stopRequest) apply(c *Coordinator) {
	c.phaseState.moveTo(Draining)
	c.phaseState.stopping = true
}

// updatePhase moves on at the end of a tick, where the time for it has come.
func (c *Coordinator) updatePhase() {
	if c.listReadiness.known {
		c.phaseState.moveTo(Ready)
	}
	if c.phaseState.stopping && len(c.open.byID) == 0 {
		c.phaseState.moveTo(Stopped)
	}
}
