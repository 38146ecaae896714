package core

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// Phase is a stage in a coordinator's life, from start to exit.
type Phase int32

// The phases, in order. A coordinator never returns to an earlier one.
const (
	Starting Phase = iota // the endpoint list is not known yet: CheckReady fails, but queries are accepted
	Ready                 // serving
	Draining              // CheckReady fails; open queries are answered, and new ones are still accepted
	Stopped               // no query is open, and none is accepted
)

// String returns the phase's name, for readiness replies and logs.
func (p Phase) String() string { return [...]string{"starting", "ready", "draining", "stopped"}[p] }

// phaseState holds the phase and what moves it on.
type phaseState struct {
	phase    atomic.Int32  // a Phase; any goroutine may read it
	started  chan struct{} // closed once the phase has left Starting
	stopping bool          // Stop was called: the phase becomes Stopped once no query is open
	drainEnd time.Duration // instant at which open queries are ended; 0 without a bound
}

func newPhaseState() phaseState { return phaseState{started: make(chan struct{})} }

// moveTo sets the phase to p unless the present phase is p or later.
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

// Phase returns the current phase. Any goroutine may call it.
func (c *Coordinator) Phase() Phase { return Phase(c.phaseState.phase.Load()) }

// Started returns a channel that is closed once the phase has left Starting.
func (c *Coordinator) Started() <-chan struct{} { return c.phaseState.started }

// NotReadyError reports that a coordinator is not ready for clients, and its phase. Its text is the phase's name.
type NotReadyError struct{ Phase Phase }

// Error returns the phase's name.
func (e NotReadyError) Error() string { return e.Phase.String() }

// CheckReady returns a NotReadyError unless the phase is Ready. Any goroutine may call it.
func (c *Coordinator) CheckReady() error {
	if p := c.Phase(); p != Ready {
		return NotReadyError{p}
	}
	return nil
}

// Drain sets the phase to Draining and ends the calls of Config.OnCheckpoint. It also bounds the time of all queries,
// both open ones and those accepted later, unless Limits.DrainTimeout is 0: each is answered within that time-out after
// the first Drain, plus answerGrace for the decision module's answer. A second Drain does not move that bound. Drain
// waits while the queue is full; any goroutine except the coordinator's own may call it.
func (c *Coordinator) Drain() { c.post(drainRequest{}) }

// Stop sets the phase to Draining, then to Stopped once no query is open, and returns when Run has returned. It does
// not bound the time of queries; call Drain first for that. Shut down all fronts before calling Stop: queries that are
// still in the queue after the last tick are rejected.
//
// A program ends in this order: Drain, shutdown of the fronts, Stop. Any goroutine except the coordinator's own may
// call Stop.
func (c *Coordinator) Stop() {
	c.post(stopRequest{})
	<-c.stopped
}

type (
	drainRequest struct{}
	stopRequest  struct{}
)

// apply sets the phase to Draining. It also bounds the time of open queries and of those accepted later, because the
// platform kills the process some time after it has requested the shutdown.
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

// endOpenQueries makes the decision module end the open queries with the values received so far, because the platform
// is about to kill this process.
func (c *Coordinator) endOpenQueries() {
	for _, id := range slices.Sorted(maps.Keys(c.open.byID)) {
		c.notify(scatter.QueryExpired{ID: id})
	}
}

// apply makes updatePhase stop the coordinator once the last query is answered.
func (stopRequest) apply(c *Coordinator) {
	c.phaseState.moveTo(Draining)
	c.phaseState.stopping = true
}

// updatePhase runs at the end of a tick. It sets the phase to Ready once the endpoint list is known, unless the
// coordinator is already draining (moveTo), and to Stopped once Stop was called and no query is open. Attempts that
// still run after their query was answered do not delay Stopped.
func (c *Coordinator) updatePhase() {
	if c.listReadiness.known {
		c.phaseState.moveTo(Ready)
	}
	if c.phaseState.stopping && len(c.open.byID) == 0 {
		c.phaseState.moveTo(Stopped)
	}
}
