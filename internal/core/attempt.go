package core

import (
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// cancelGrace is for how long a Caller may take to send a cancellation, should its connection be blocked.
const cancelGrace = 20 * time.Millisecond

// Attempt is one send of a part to a replica. Callers read the exported fields and hand it back to AttemptEnded.
type Attempt struct {
	QueryID        string        // Query.ID
	Class          string        // Query.Class
	Shard          int           // the shard that the part is of
	Body           []byte        // Query.Body
	IdempotencyKey string        // one for all attempts of a query; empty in a class that is not keyed
	Origin         any           // Query.Origin
	Timeout        time.Duration // from when the module decided the attempt; Remaining is what is left of it
	ReplicaID      string        // replica that the attempt is sent to
	FirstPhase     bool          // asks what the shard could add, rather than for its value
	WithVersion    bool          // the value is wanted with its version

	// Evidence is set by the Caller before AttemptEnded, where FirstPhase or WithVersion asked for it.
	Evidence twophase.Evidence
	// FaultStatus is set by the Caller before AttemptEnded, where the replica has found a fault in the request itself: the
	// HTTP status of its answer, which is the attempt's value. 0 for any other value.
	FaultStatus int

	part         *part
	number       int             // place among the part's attempts, from 0; it equals the module's index of the attempt
	sentAt       time.Duration   // instant of the tick in which the module decided the attempt
	caller       Caller          // nil where no Caller speaks the endpoint's scheme
	cancelled    bool            // by the coordinator; a Caller may end an attempt as Cancelled by itself
	cancelReason scatter.Outcome // with cancelled: the outcome that the module hears in the place of Cancelled
	timer        *timer          // cancels the attempt when Timeout is over; with cancelled, ends it after cancelGrace
	ended        bool            // the module knows the outcome
	neverRan     bool            // with ended: no replica has run it, so a retry needs no deduplication
	permit       permit          // whether the attempt may still begin
}

// Caller speaks to replicas. The coordinator's goroutine calls its methods; none may block, or call the Coordinator
// from within.
type Caller interface {
	// Call sends the attempts as one call: those whose Begin returns true right before their first byte is written.
	// Each attempt ends in one Coordinator.AttemptEnded.
	Call(endpoint Endpoint, attempts []*Attempt)
	// Cancel tells the replica that an attempt is given up, and then ends the attempt as Cancelled, unless it has ended
	// otherwise. A second Cancel of an attempt closes the attempt's connection before it returns.
	Cancel(*Attempt)
	// CloseIdleConnections closes the idle connections to a replica, given by its id.
	CloseIdleConnections(replica string)
}

// AttemptReporter takes the outcomes of attempts. It is a Coordinator, except in tests of Callers.
type AttemptReporter interface {
	AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte)
}

// AttemptEnded brings an attempt's outcome and, if it succeeded, the value that the replica returned. Callers call it
// from their own goroutines; it waits while the queue is full. Only the first outcome of an attempt counts.
func (c *Coordinator) AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte) {
	c.post(attemptEnded{at, outcome, value, c.cfg.Clock()})
}

type attemptEnded struct {
	attempt *Attempt
	outcome scatter.Outcome
	value   []byte
	endedAt time.Duration // instant at which the Caller reported it
}

func (m attemptEnded) apply(c *Coordinator) { c.endAttempt(m.attempt, m.outcome, m.value, m.endedAt) }

// newAttempt begins an attempt that the module has decided. It returns nil where the attempt is not to be sent: it has
// ended as NotSent then, or its part is over and the module hears nothing. An attempt is appended to its part's list in
// every other case, also when it is not sent, so that its place there stays the module's index.
func (c *Coordinator) newAttempt(send scatter.Send) *Attempt {
	p := c.open.parts[send.Part]
	if p == nil {
		return nil
	}
	q, scheme := p.query, c.endpoints.byID[send.Replica].Scheme
	at := &Attempt{QueryID: q.ID, Class: q.Class, Shard: p.shard, Body: q.Body, IdempotencyKey: q.idempotencyKey,
		Origin: q.Origin, Timeout: send.Timeout, ReplicaID: send.Replica, FirstPhase: p.full != nil,
		WithVersion: p.wantsVersion && c.cfg.TwoPhaseSchemes[scheme], part: p, number: len(p.attempts), sentAt: c.now,
		caller: c.cfg.Callers[scheme]}
	p.attempts = append(p.attempts, at)
	c.setPermit(at)
	if !c.canSend(at, scheme) {
		c.endAttempt(at, scatter.NotSent, nil, c.now)
		return nil
	}
	if q.Index != "" && c.cfg.Planner != nil && !at.FirstPhase {
		c.cfg.Planner.FullSent(q.topic())
	}
	at.timer = c.timers.add(c.now+send.Timeout, func() { c.cancel(at, scatter.TimedOut) })
	return at
}

// canSend reports whether an attempt is still of use and its endpoint's Caller can send it.
func (c *Coordinator) canSend(at *Attempt, scheme string) bool {
	if !c.open.isOpen(at.part.query) || at.caller == nil {
		return false
	}
	return !at.FirstPhase || at.part.full.firstPhasePart == at.part && c.cfg.TwoPhaseSchemes[scheme]
}

// cancel stops waiting for an attempt; reason is the outcome that the module is to hear. It hears that only when the
// Caller has sent the cancellation or cancelGrace is over, so no other attempt of the part reaches a replica before.
func (c *Coordinator) cancel(at *Attempt, reason scatter.Outcome) {
	if at.ended || at.cancelled {
		return
	}
	at.cancelled, at.cancelReason = true, reason
	at.withhold()
	c.timers.remove(at.timer)
	at.timer = c.timers.add(c.now+cancelGrace, func() {
		at.caller.Cancel(at)
		c.endAttempt(at, scatter.Cancelled, nil, c.now)
	})
	at.caller.Cancel(at)
}

// endAttempt notifies the module of the first outcome of an attempt; any later one is dropped.
func (c *Coordinator) endAttempt(at *Attempt, outcome scatter.Outcome, value []byte, when time.Duration) {
	if at.ended {
		return
	}
	at.ended = true
	at.neverRan = outcome == scatter.Rejected || outcome == scatter.ConnectFailed || outcome == scatter.NotSent
	c.timers.remove(at.timer)
	if outcome == scatter.Cancelled && at.cancelled {
		outcome = at.cancelReason
	}
	succeeded := outcome == scatter.Succeeded
	if succeeded && !at.FirstPhase {
		c.recordValue(at.part, value, at.FaultStatus)
	}
	latency := max(0, when-at.sentAt)
	countOutcome(outcome)
	c.logAttemptEnded(at, outcome, latency)
	c.notify(scatter.AttemptEnded{Part: at.part.id, Attempt: at.number, Replica: at.ReplicaID, Outcome: outcome,
		Latency: latency})
	c.learn(at, succeeded, value, latency)
	c.open.removePart(at.part)
}

// recordValue records the first value of a part, with the status of a fault that it tells; later ones are dropped.
func (c *Coordinator) recordValue(p *part, value []byte, faultStatus int) {
	if p.value != nil {
		return
	}
	p.value, p.faultStatus = value, faultStatus
	if c.open.isOpen(p.query) {
		c.open.addBytes(p.query, int64(len(value)))
	}
}
