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

// lifecycle is a coordinator's way from start to exit.
type lifecycle struct {
	phase    atomic.Int32  // a Phase; any goroutine may read it
	started  chan struct{} // closed once the phase has left Starting
	stopping bool          // to become Stopped when nothing is open
	drainEnd time.Duration // instant by which all queries have to be answered; 0 while there is none
}

func newLifecycle() lifecycle { return lifecycle{started: make(chan struct{})} }

// moveTo sets a later phase; it does nothing for an earlier one.
func (l *lifecycle) moveTo(p Phase) {
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
func (c *Coordinator) Phase() Phase { return Phase(c.lifecycle.phase.Load()) }

// Started returns a channel that is closed once the phase has left Starting.
func (c *Coordinator) Started() <-chan struct{} { return c.lifecycle.started }

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

// Drain makes the phase Draining. It waits while the queue is full.
func (c *Coordinator) Drain() { c.post(drainRequest{}) }

// Stop drains the coordinator and has it stop once nothing is open. It returns when Run has.
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
	c.lifecycle.moveTo(Draining)
	timeout := c.inForce().limits.DrainTimeout
	if timeout == 0 || c.lifecycle.drainEnd > 0 {
		return
	}
	end := c.now + timeout
	c.lifecycle.drainEnd = end
	c.deadlines.add(end, c.expireOpen)
	for _, id := range slices.Sorted(maps.Keys(c.open.byID)) {
		if q := c.open.byID[id]; q.Deadline > end {
			c.deadlines.remove(q.expiry)
			q.expiry = c.deadlines.add(end+answerGrace, func() { c.expire(q) })
		}
	}
}

// expireOpen has the module end the open queries with what has come in: the platform is about to kill this process.
func (c *Coordinator) expireOpen() {
	for _, id := range slices.Sorted(maps.Keys(c.open.byID)) {
		c.notify(scatter.QueryExpired{ID: id})
	}
}

// apply has updatePhase stop the coordinator once the last query has its answer.
func (stopRequest) apply(c *Coordinator) {
	c.lifecycle.moveTo(Draining)
	c.lifecycle.stopping = true
}

// updatePhase moves on at the end of a tick, where the time for it has come.
func (c *Coordinator) updatePhase() {
	if c.initialList.known {
		c.lifecycle.moveTo(Ready)
	}
	if c.lifecycle.stopping && len(c.open.byID) == 0 {
		c.lifecycle.moveTo(Stopped)
	}
}
