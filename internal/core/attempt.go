package core

import (
	"time"

	"harepass"
	"harepass/internal/decide/twophase"
)

// This file is the tries of parts at nodes, from the sending to the outcome.

// Attempt is one try of a part at a node. Callers read the exported fields and hand it back.
type Attempt struct {
	Query   string
	Class   string
	Shard   int
	Text    []byte
	Key     string // the query's idempotency key; empty in a class that is not keyed
	Origin  any
	Timeout time.Duration
	Node    string
	First   bool              // asks what the section could add, not for its value
	Signed  bool              // the value is wanted with its version
	Found   twophase.Evidence // set by the caller before Ended, where First or Signed asked for it

	part   *part
	no     int
	sent   time.Duration
	caller Caller
	reason harepass.Outcome // of the abandoning
	due    *deadline
	ended  bool
	never  bool // proven not to have run
	permit permit
}

// Caller speaks to nodes. None of its methods may block or call the owner back from within.
type Caller interface {
	// Call sends the attempts as one call, those that may Begin right before their first byte is written; each ends in
	// one Owner.Ended.
	Call(node Node, attempts []*Attempt)
	// Abandon tells the node that an attempt is given up and then ends it as Cancelled, unless it
	// has ended otherwise. Called again, it closes the attempt's connection before it returns.
	Abandon(*Attempt)
	// Disconnect closes the idle connections to a node.
	Disconnect(node string)
}

// Reporter takes the outcomes of attempts; it is the Owner, but for tests of callers.
type Reporter interface {
	Ended(at *Attempt, outcome harepass.Outcome, value []byte)
}

type ended struct {
	at      *Attempt
	outcome harepass.Outcome
	value   []byte
	when    time.Duration
}

// Ended brings an attempt's outcome; value is what the node served. Only the first one counts.
func (o *Owner) Ended(at *Attempt, outcome harepass.Outcome, value []byte) {
	o.post(ended{at, outcome, value, o.cfg.Clock()})
}

func (m ended) apply(o *Owner) { o.end(m.at, m.outcome, m.value, m.when) }

// end passes the first outcome of an attempt on; any later one is dropped.
func (o *Owner) end(at *Attempt, outcome harepass.Outcome, value []byte, when time.Duration) {
	if at.ended {
		return
	}
	at.ended = true
	at.never = outcome == harepass.Full || outcome == harepass.ConnectFailed || outcome == harepass.Moot
	o.deadlines.remove(at.due)
	if outcome == harepass.Cancelled && at.reason != harepass.Served { // else the caller took it back by itself
		outcome = at.reason
	}
	if outcome == harepass.Served && at.part.value == nil && !at.First {
		at.part.value = value
		if q := at.part.q; o.queries[q.id] != nil {
			o.hold(q, int64(len(value)))
		}
	}
	took := max(0, when-at.sent)
	countOutcome(outcome)
	o.traceEnd(at, outcome, took)
	o.events = append(o.events, harepass.AttemptEnded{Part: at.part.id, Attempt: at.no, Replica: at.Node,
		Outcome: outcome, Took: took})
	o.learn(at, outcome == harepass.Served, value, took)
	o.forget(at.part)
}

// abandon stops waiting for an attempt. Its outcome follows when the caller has got the word out, so
// that no other attempt of the part can reach a node before it.
func (o *Owner) abandon(at *Attempt, reason harepass.Outcome) {
	if at.ended || at.reason != harepass.Served {
		return
	}
	at.reason = reason
	at.withhold()
	o.deadlines.remove(at.due)
	at.due = o.deadlines.add(o.now+abandonWait, func() {
		at.caller.Abandon(at)
		o.end(at, harepass.Cancelled, nil, o.now)
	})
	at.caller.Abandon(at)
}

// send books an attempt; nil where the part is over, whose outcome is then Moot.
func (o *Owner) send(a harepass.Send) *Attempt {
	p := o.parts[a.Part]
	if p == nil {
		return nil
	}
	at := &Attempt{Query: p.q.ID, Class: p.q.Class, Shard: p.shard, Text: p.q.Text, Key: p.q.key, Origin: p.q.Origin,
		Timeout: a.Timeout, Node: a.Replica, part: p, no: len(p.attempts), sent: o.now}
	p.attempts = append(p.attempts, at)
	o.permitted(at)
	scheme := o.nodes[a.Replica].Scheme
	at.caller = o.cfg.Callers[scheme]
	at.First, at.Signed = p.of != nil, p.signed && o.cfg.Schemes[scheme]
	if o.queries[p.q.id] == nil || at.caller == nil || at.First && (p.of.ahead != p || !o.cfg.Schemes[scheme]) {
		o.end(at, harepass.Moot, nil, o.now)
		return nil
	}
	if p.q.Index != "" && o.cfg.Planner != nil && !at.First {
		o.cfg.Planner.Asked(p.q.topic())
	}
	at.due = o.deadlines.add(o.now+a.Timeout, func() { o.abandon(at, harepass.TimedOut) })
	return at
}
