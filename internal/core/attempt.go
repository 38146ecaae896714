package core

import (
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// cancelGrace is how long a Caller may take to send a cancellation, for example while its connection is blocked.
const cancelGrace = 20 * time.Millisecond

// Attempt is one send of a part to a replica. Callers read the exported fields and pass the Attempt to AttemptEnded.
type Attempt struct {
	QueryID        string        // Query.ID
	Class          string        // Query.Class
	Shard          int           // number of the part's shard
	Body           []byte        // Query.Body
	IdempotencyKey string        // the same for all attempts of a query; empty in a class that is not keyed
	Origin         any           // Query.Origin
	Timeout        time.Duration // counted from when the module decided the attempt; Remaining returns what is left
	ReplicaID      string        // replica that the attempt is sent to
	FirstPhase     bool          // asks for evidence about the shard's value instead of the value
	WithVersion    bool          // asks for the value together with its version

	// Evidence is set by the Caller before AttemptEnded if FirstPhase or WithVersion asked for it.
	Evidence twophase.Evidence
	// FaultStatus is set by the Caller before AttemptEnded if the replica found a fault in the request itself. It is
	// the HTTP status of the replica's answer, which is then the attempt's value. It is 0 for any other value.
	FaultStatus int

	part         *part
	number       int             // position among the part's attempts, from 0; equals the module's index of the attempt
	sentAt       time.Duration   // instant of the tick in which the module decided the attempt
	caller       Caller          // nil if no Caller supports the endpoint's scheme
	cancelled    bool            // cancelled by the coordinator; a Caller may also end an attempt as Cancelled itself
	cancelReason scatter.Outcome // if cancelled: the outcome reported to the module instead of Cancelled
	timer        *timer          // cancels the attempt at its timeout; if cancelled, ends it after cancelGrace
	ended        bool            // the module has been notified of the outcome
	outcome      scatter.Outcome // if ended: the outcome that the module was notified of
	neverRan     bool            // if ended: no replica has run the attempt, so a retry needs no deduplication
	permit       permit          // whether the attempt may still begin
}

// Caller sends attempts to replicas. The coordinator's goroutine calls its methods, so they must neither block nor call
// the Coordinator.
type Caller interface {
	// Call sends the attempts as one call. It calls Begin right before it writes an attempt's first byte and sends only
	// the attempts for which Begin returns true. Each attempt ends in one Coordinator.AttemptEnded.
	Call(endpoint Endpoint, attempts []*Attempt)
	// Cancel sends the attempt's cancellation to the replica and then ends the attempt as Cancelled, unless it has
	// already ended with another outcome. A second Cancel of an attempt closes the attempt's connection before it
	// returns.
	Cancel(*Attempt)
	// CloseIdleConnections closes the idle connections to the replica with the given id.
	CloseIdleConnections(replica string)
}

// AttemptReporter receives the outcomes of attempts. It is a Coordinator, except in tests of Callers.
type AttemptReporter interface {
	AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte)
}

// AttemptEnded reports an attempt's outcome and, if it succeeded, the value that the replica returned. Callers call it
// from their own goroutines; it waits while the queue is full. Only the first outcome of an attempt counts.
func (c *Coordinator) AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte) {
	c.post(attemptEnded{at, outcome, value, c.cfg.Clock()})
}

type attemptEnded struct {
	attempt *Attempt
	outcome scatter.Outcome
	value   []byte
	endedAt time.Duration // instant at which the Caller reported the outcome
}

func (m attemptEnded) apply(c *Coordinator) { c.endAttempt(m.attempt, m.outcome, m.value, m.endedAt) }

// newAttempt creates an attempt that the decision module has decided. It returns nil if the attempt must not be sent:
// either the attempt has ended as NotSent, or its part is over and the module is not notified. Unless the part is over,
// the attempt is appended to the part's list even if it is not sent, so that its position there stays the module's
// index.
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
	if n := len(p.attempts); n > 0 {
		countRetry(p.attempts[n-1])
	}
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

// canSend reports whether an attempt is still needed and the Caller of its endpoint can send it.
func (c *Coordinator) canSend(at *Attempt, scheme string) bool {
	if !c.open.isOpen(at.part.query) || at.caller == nil {
		return false
	}
	return !at.FirstPhase || at.part.full.firstPhasePart == at.part && c.cfg.TwoPhaseSchemes[scheme]
}

// cancel stops waiting for an attempt; reason is the outcome to report to the decision module. The module is notified
// only after the Caller has sent the cancellation or cancelGrace is over, so no other attempt of the part reaches a
// replica earlier.
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

// endAttempt notifies the decision module of the first outcome of an attempt; any later one is dropped.
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
	at.outcome = outcome
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

// recordValue records the first value of a part and the fault status that belongs to it; later values are dropped.
func (c *Coordinator) recordValue(p *part, value []byte, faultStatus int) {
	if p.value != nil {
		return
	}
	p.value, p.faultStatus = value, faultStatus
	if c.open.isOpen(p.query) {
		c.open.addBytes(p.query, int64(len(value)))
	}
}
