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

// An attempt that was decided may wait at its Caller, for a slow connection setup or behind a blocked write. While it
// waits, its client may leave, its query may end, the deduplication window may close, or its replica may be announced
// as draining. A Caller therefore calls Begin right before it writes. An attempt that did not begin has never run.

// stage is an attempt's progress as seen by both the coordinator and its Caller. It changes once, from waiting.
type stage = int32

const (
	waiting  stage = iota
	begun          // its first byte has been written or is about to be, so the replica may run it
	withheld       // the attempt will never begin
)

// withheldReason is why an attempt never begins. It is an index into attemptsWithheld.
type withheldReason int

const (
	notWithheld          withheldReason = iota - 1 // none: the attempt may begin
	withheldClientLeft                             // the query's client has left
	withheldDeadline                               // the client's deadline has passed
	withheldWindowClosed                           // the deduplication window of an earlier attempt has closed
	withheldUnsendable                             // new attempts may no longer be sent to the replica
	withheldCancelled                              // the attempt was cancelled, or its query is over
)

// count adds a withheld attempt to the reason's counter.
func (r withheldReason) count() { attemptsWithheld[r].Inc() }

// String returns the reason's name in log lines, which is the name of its counter.
func (r withheldReason) String() string { return attemptsWithheld[r].Name() }

// permit decides whether an attempt may begin. The zero value allows it.
type permit struct {
	stage          atomic.Int32  // a stage
	clock          Clock         // nil in the zero value
	beginBefore    time.Duration // the client's deadline: the first byte must be written before this instant
	retryableUntil time.Duration // last instant within the deduplication windows of earlier attempts that may have run
	query          *Query        // the query whose client may have left
}

// Begin reports whether an attempt may begin. The Caller calls it once, right before it writes the attempt's first
// byte, from any goroutine and possibly while it holds a lock: Begin does not block. An attempt that may not begin ends
// as NotSent. A Caller that encodes a message for its attempts uses BeginAll instead.
func (at *Attempt) Begin() bool {
	reason := at.permit.withheldReason()
	if reason == notWithheld && !at.permit.stage.CompareAndSwap(waiting, begun) {
		reason = withheldCancelled
	}
	if reason != notWithheld {
		at.countWithheld(reason)
		return false
	}
	attemptsBegun.Inc()
	return true
}

// mayStillBegin reports whether an attempt for which Begin has returned true, but none of whose bytes has been written,
// may still be written. If not, it ends as NotSent.
func (at *Attempt) mayStillBegin() bool {
	reason := at.permit.withheldReason()
	if reason != notWithheld {
		at.countWithheld(reason)
	}
	return reason == notWithheld
}

// countWithheld counts and logs that an attempt never begins.
func (at *Attempt) countWithheld(reason withheldReason) {
	reason.count()
	slog.Debug(logmsg.AttemptWithheld, logmsg.KeyQuery, at.QueryID, logmsg.KeyShard, at.Shard,
		logmsg.KeyAttempt, at.number, logmsg.KeyReplica, at.ReplicaID, logmsg.KeyReason, reason.String())
}

// withheldReason returns why an attempt may not begin, regardless of its stage.
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

// Remaining returns the time budget to send to the replica: the time until the attempt's timeout or its client's
// deadline, whichever is earlier. A Caller calls it when it writes the attempt's message, because the attempt may have
// waited since it was decided.
func (at *Attempt) Remaining() time.Duration {
	p := &at.permit
	if p.clock == nil {
		return at.Timeout
	}
	return min(at.sentAt+at.Timeout, p.beginBefore) - p.clock()
}

// withhold prevents an attempt from beginning. It returns false if the attempt has begun or was withheld before.
func (at *Attempt) withhold() bool { return at.permit.stage.CompareAndSwap(waiting, withheld) }

// setPermit sets until when an attempt may begin: before its client's deadline, and inside the deduplication windows of
// all earlier attempts of the part that may have run.
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

// withholdUnsendable withholds the attempts that have not begun at replicas that are no longer sendable. The decision
// module is notified that they never ran, so it can send their parts to other replicas at once.
func (c *Coordinator) withholdUnsendable() {
	var list []*Attempt
	for _, p := range c.open.parts {
		for _, at := range p.attempts {
			if !at.ended && at.caller != nil && !c.sendable(at.ReplicaID) && at.withhold() {
				list = append(list, at)
			}
		}
	}
	slices.SortFunc(list, func(x, y *Attempt) int { // map order is random; the module's events must not be
		return cmp.Or(cmp.Compare(x.part.query.number, y.part.query.number), cmp.Compare(x.part.id, y.part.id),
			cmp.Compare(x.number, y.number))
	})
	for _, at := range list {
		withheldUnsendable.count()
		c.endAttempt(at, scatter.NotSent, nil, c.now)
		at.caller.Cancel(at)
	}
}
