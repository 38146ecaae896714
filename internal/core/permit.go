package core

import (
	"cmp"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// An attempt that was decided may wait at its Caller: for a connection that is slow to come up, or behind a write that
// is blocked. Meanwhile its client may leave, its query may end, the deduplication window may close, and its replica
// may be announced as draining. So a Caller asks Begin right before it writes. What may not begin has never run.

// stage is how far an attempt has come, for the coordinator and its Caller alike. It changes once.
type stage = int32

const (
	waiting  stage = iota
	begun          // its first byte is out, or will be at once: it may run
	withheld       // it never begins
)

// withheldReason is why an attempt never begins. It indexes attemptsWithheld.
type withheldReason int

const (
	notWithheld          withheldReason = iota - 1 // none: the attempt may begin
	withheldClientLeft                             // the query's client has left
	withheldDeadline                               // the client's deadline is over
	withheldWindowClosed                           // the deduplication window of an earlier attempt has closed
	withheldUnsendable                             // nothing may be sent to the replica any more
	withheldCancelled                              // the attempt was cancelled, or its query is over
)

// count counts an attempt that is withheld.
func (r withheldReason) count() { attemptsWithheld[r].Inc() }

// String is the reason's name in log lines, which is that of its counter.
func (r withheldReason) String() string { return attemptsWithheld[r].Name() }

// permit tells whether an attempt may begin. The zero value forbids nothing.
type permit struct {
	stage          atomic.Int32  // a stage
	clock          Clock         // nil in the zero value
	beginBefore    time.Duration // instant of the client's deadline: no first byte from then on
	retryableUntil time.Duration // last instant of the deduplication windows of earlier attempts that may have run
	query          *Query        // the query whose client may have left
}

// Begin reports whether an attempt may begin, to a Caller that is about to write its first byte. The Caller calls it
// once, from any goroutine, also under a lock: it does not block. An attempt that may not begin ends as NotSent.
func (at *Attempt) Begin() bool {
	reason := at.permit.withheldReason()
	if reason == notWithheld && !at.permit.stage.CompareAndSwap(waiting, begun) {
		reason = withheldCancelled
	}
	if reason == notWithheld {
		attemptsBegun.Inc()
		return true
	}
	reason.count()
	slog.Debug(logmsg.AttemptWithheld, logmsg.KeyQuery, at.QueryID, logmsg.KeyShard, at.Shard,
		logmsg.KeyAttempt, at.number, logmsg.KeyReplica, at.ReplicaID, logmsg.KeyReason, reason.String())
	return false
}

// withheldReason is why an attempt may not begin, its stage aside.
func (p *permit) withheldReason() withheldReason {
	if p.clock == nil {
		return notWithheld
	}
	switch now := p.clock(); {
	case now >= p.beginBefore:
		return withheldDeadline
	case now > p.retryableUntil:
		return withheldWindowClosed
	case p.query.clientHasLeft(now):
		return withheldClientLeft
	}
	return notWithheld
}

// Remaining is the time that a replica is told: until the attempt's timeout, and no more than its client has left. A
// Caller calls it when it writes the attempt's message, for the attempt may have waited since it was decided.
func (at *Attempt) Remaining() time.Duration {
	p := &at.permit
	if p.clock == nil {
		return at.Timeout
	}
	return min(at.sentAt+at.Timeout, p.beginBefore) - p.clock()
}

// withhold keeps an attempt from beginning. False means that the attempt has begun, or was withheld before.
func (at *Attempt) withhold() bool { return at.permit.stage.CompareAndSwap(waiting, withheld) }

// setPermit sets until when an attempt may begin: while its client waits, and inside the deduplication window of each
// earlier attempt of the part that may have run.
func (c *Coordinator) setPermit(at *Attempt) {
	p := at.part
	at.permit.clock, at.permit.query = c.cfg.Clock, p.query.Query
	at.permit.beginBefore, at.permit.retryableUntil = p.query.Deadline, retry.AlwaysRetryable
	for _, earlier := range p.attempts[:at.number] {
		if !earlier.neverRan {
			until := p.query.retryPolicy.RetryableUntil(earlier.sentAt)
			at.permit.retryableUntil = min(at.permit.retryableUntil, until)
		}
	}
}

// withholdUnsendable withholds the attempts that have not begun at replicas that nothing may be sent to any more. The
// module hears that they have never run, and may send their parts elsewhere at once.
func (c *Coordinator) withholdUnsendable() {
	var list []*Attempt
	for _, p := range c.open.parts {
		for _, at := range p.attempts {
			if !at.ended && at.caller != nil && !c.sendable(at.ReplicaID) && at.withhold() {
				list = append(list, at)
			}
		}
	}
	slices.SortFunc(list, func(x, y *Attempt) int { // the order of a map is random, the module's events must not be
		return cmp.Or(cmp.Compare(x.part.query.number, y.part.query.number), cmp.Compare(x.part.id, y.part.id),
			cmp.Compare(x.number, y.number))
	})
	for _, at := range list {
		withheldUnsendable.count()
		c.endAttempt(at, scatter.NotSent, nil, c.now)
		at.caller.Cancel(at)
	}
}
