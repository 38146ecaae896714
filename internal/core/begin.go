package core

import (
	"cmp"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"harepass/internal/counters"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

// This file is what may change between the module's decision to send an attempt and the first byte of it: it waits at its
// caller for a connection that is slow to come up, or behind a write that is blocked. Meanwhile its client may have left,
// its query may be over, the window for repeats may have closed, and its node may have been announced as leaving. So a
// caller asks Begin right before it writes; what it may not begin has never run, and ends as Moot.

// stage is how far an attempt is, for the owner and its caller alike. It moves forward once.
type stage = int32

const (
	waiting  stage = iota
	begun          // its first byte is out, or will be at once: it may run
	withheld       // it never is
)

// permit is what an attempt goes by until it begins. The zero value bars nothing.
type permit struct {
	stage atomic.Int32
	clock Clock
	until time.Duration // no first byte from then on: its client gives up
	again time.Duration // no first byte after this: where an earlier attempt may have run, the end of the window for repeats
	query *Query        // whose client may have left
}

// Begin tells a caller, which is about to write an attempt's first byte, whether it may. It does not block, so it may be
// called under a lock; it is to be called once, and what it denies ends as Moot.
func (at *Attempt) Begin() bool {
	barred := at.permit.barred()
	if barred == nil && !at.permit.stage.CompareAndSwap(waiting, begun) {
		barred = withheldTakenBack
	}
	if barred == nil {
		attemptsBegun.Inc()
		return true
	}
	barred.Inc()
	slog.Debug(logmsg.AttemptWithheld, logmsg.KeyQuery, at.QueryID, logmsg.KeyShard, at.Shard, logmsg.KeyAttempt, at.no,
		logmsg.KeyReplica, at.Endpoint, "reason", barred.Name())
	return false
}

// barred is the counter of what keeps an attempt from beginning, apart from its stage; nil where nothing does.
func (p *permit) barred() *counters.Counter {
	if p.clock == nil {
		return nil
	}
	switch now := p.clock(); {
	case now >= p.until:
		return withheldTimeOver
	case now > p.again:
		return withheldNoRepeat
	case p.query.abandoned(now):
		return withheldClientLeft
	}
	return nil
}

// Remaining is the time that a node is told: until the attempt's time-out, and no more than its client has left. It is to be
// asked when the attempt's frame is worded, for the attempt may have waited since it was decided.
func (at *Attempt) Remaining() time.Duration {
	p := &at.permit
	if p.clock == nil {
		return at.Timeout
	}
	return min(at.sent+at.Timeout, p.until) - p.clock()
}

// withhold keeps an attempt from beginning. False means that it has begun.
func (at *Attempt) withhold() bool { return at.permit.stage.CompareAndSwap(waiting, withheld) }

// closed tells whether a channel that is only ever closed is; nil is not.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// permitted sets until when an attempt may begin: while its client waits, and where a part that may have run may be sent
// again for a time only, inside that.
func (o *Coordinator) permitted(at *Attempt) {
	p := at.part
	at.permit.clock, at.permit.until, at.permit.again, at.permit.query = o.cfg.Clock, p.q.Deadline, retry.Unlimited, p.q.Query
	for _, earlier := range p.attempts[:at.no] {
		if !earlier.never {
			at.permit.again = min(at.permit.again, p.q.resend.RetryableUntil(earlier.sent))
		}
	}
}

// withholdLeaving takes back what has not begun at nodes that are not to be sent to any more. The module hears that it has
// never run, and may send it elsewhere at once.
func (o *Coordinator) withholdLeaving() {
	var back []*Attempt
	for _, p := range o.parts {
		for _, at := range p.attempts {
			if !at.ended && at.caller != nil && !o.sendable(at.Endpoint) && at.withhold() {
				back = append(back, at)
			}
		}
	}
	slices.SortFunc(back, func(x, y *Attempt) int { // the module is to hear of them in the same order every time
		return cmp.Or(cmp.Compare(x.part.q.number, y.part.q.number), cmp.Compare(x.part.id, y.part.id))
	})
	for _, at := range back {
		withheldLeaving.Inc()
		o.end(at, scatter.NotSent, nil, o.now)
		at.caller.Cancel(at)
	}
}

// sendable tells whether a node is listed as running and is not out by hand.
func (o *Coordinator) sendable(id string) bool {
	n, here := o.nodes[id]
	return here && o.told(n).State == scatter.Ready
}
