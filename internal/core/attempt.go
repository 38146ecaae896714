package core

import (
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// This file is the tries of parts at nodes, from the sending to the outcome.

// Attempt is one try of a part at a node. Callers read the exported fields and hand it back.
type Attempt struct {
	QueryID        string
	Class          string
	Shard          int
	Body           []byte
	IdempotencyKey string // the query's idempotency key; empty in a class that is not keyed
	Origin         any
	Timeout        time.Duration
	Endpoint       string
	FirstPhase     bool              // asks what the section could add, not for its value
	WithVersion    bool              // the value is wanted with its version
	Evidence       twophase.Evidence // set by the caller before Ended, where First or Signed asked for it

	part   *part
	no     int
	sent   time.Duration
	caller Caller
	reason scatter.Outcome // of the abandoning
	due    *deadline
	ended  bool
	never  bool // proven not to have run
	permit permit
}

// Caller speaks to nodes. None of its methods may block or call the owner back from within.
type Caller interface {
	// Call sends the attempts as one call, those that may Begin right before their first byte is written; each ends in
	// one Owner.Ended.
	Call(node Endpoint, attempts []*Attempt)
	// Abandon tells the node that an attempt is given up and then ends it as Cancelled, unless it
	// has ended otherwise. Called again, it closes the attempt's connection before it returns.
	Cancel(*Attempt)
	// Disconnect closes the idle connections to a node.
	CloseIdleConnections(node string)
}

// AttemptReporter takes the outcomes of attempts; it is the Owner, but for tests of callers.
type AttemptReporter interface {
	AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte)
}

type ended struct {
	at      *Attempt
	outcome scatter.Outcome
	value   []byte
	when    time.Duration
}

// AttemptEnded brings an attempt's outcome; value is what the node served. Only the first one counts.
func (o *Coordinator) AttemptEnded(at *Attempt, outcome scatter.Outcome, value []byte) {
	o.post(ended{at, outcome, value, o.cfg.Clock()})
}

func (m ended) apply(o *Coordinator) { o.end(m.at, m.outcome, m.value, m.when) }

// end passes the first outcome of an attempt on; any later one is dropped.
func (o *Coordinator) end(at *Attempt, outcome scatter.Outcome, value []byte, when time.Duration) {
	if at.ended {
		return
	}
	at.ended = true
	at.never = outcome == scatter.Rejected || outcome == scatter.ConnectFailed || outcome == scatter.NotSent
	o.deadlines.remove(at.due)
	if outcome == scatter.Cancelled && at.reason != scatter.Succeeded { // else the caller took it back by itself
		outcome = at.reason
	}
	if outcome == scatter.Succeeded && at.part.value == nil && !at.FirstPhase {
		at.part.value = value
		if q := at.part.q; o.queries[q.id] != nil {
			o.hold(q, int64(len(value)))
		}
	}
	took := max(0, when-at.sent)
	countOutcome(outcome)
	o.traceEnd(at, outcome, took)
	o.events = append(o.events, scatter.AttemptEnded{Part: at.part.id, Attempt: at.no, Replica: at.Endpoint,
		Outcome: outcome, Latency: took})
	o.learn(at, outcome == scatter.Succeeded, value, took)
	o.forget(at.part)
}

// abandon stops waiting for an attempt. Its outcome follows when the caller has got the word out, so
// that no other attempt of the part can reach a node before it.
func (o *Coordinator) abandon(at *Attempt, reason scatter.Outcome) {
	if at.ended || at.reason != scatter.Succeeded {
		return
	}
	at.reason = reason
	at.withhold()
	o.deadlines.remove(at.due)
	at.due = o.deadlines.add(o.now+abandonWait, func() {
		at.caller.Cancel(at)
		o.end(at, scatter.Cancelled, nil, o.now)
	})
	at.caller.Cancel(at)
}

// send books an attempt; nil where the part is over, whose outcome is then Moot.
func (o *Coordinator) send(a scatter.Send) *Attempt {
	p := o.parts[a.Part]
	if p == nil {
		return nil
	}
	at := &Attempt{QueryID: p.q.ID, Class: p.q.Class, Shard: p.shard, Body: p.q.Body, IdempotencyKey: p.q.key, Origin: p.q.Origin,
		Timeout: a.Timeout, Endpoint: a.Replica, part: p, no: len(p.attempts), sent: o.now}
	p.attempts = append(p.attempts, at)
	o.permitted(at)
	scheme := o.nodes[a.Replica].Scheme
	at.caller = o.cfg.Callers[scheme]
	at.FirstPhase, at.WithVersion = p.of != nil, p.signed && o.cfg.TwoPhaseSchemes[scheme]
	if o.queries[p.q.id] == nil || at.caller == nil || at.FirstPhase && (p.of.ahead != p || !o.cfg.TwoPhaseSchemes[scheme]) {
		o.end(at, scatter.NotSent, nil, o.now)
		return nil
	}
	if p.q.Index != "" && o.cfg.Planner != nil && !at.FirstPhase {
		o.cfg.Planner.FullSent(p.q.topic())
	}
	at.due = o.deadlines.add(o.now+a.Timeout, func() { o.abandon(at, scatter.TimedOut) })
	return at
}
