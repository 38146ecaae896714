package core

import (
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// clientPollInterval is the minimum time between two calls of Query.ClientLeft, unless they are made at once. A departure
// must be known within 100 ms, but a query with many parts begins all of them at once and must not ask the system for
// each.
const clientPollInterval = 20 * time.Millisecond

// maxClientAnswerAge is how long the answer of Query.ClientLeft counts while another goroutine is asking again.
const maxClientAnswerAge = 3 * clientPollInterval

// clientWatch holds what is known about a query's client. Any goroutine may use it once the query is submitted.
type clientWatch struct {
	closed     <-chan struct{} // closed when the reader of the client's connection finds that it has left; may be nil
	askedAt    atomic.Int64    // instant right before the last call of Query.ClientLeft; 0 before the first
	answeredAt atomic.Int64    // the same for the last call that has returned
	left       atomic.Bool     // Query.ClientLeft has returned true
}

// clientHasLeft reports whether the query's client has left, according to the reader of its connection or to the
// system. It does not block, and any goroutine may call it.
func (q *Query) clientHasLeft(now time.Duration) bool {
	if isClosed(q.client.closed) || q.client.left.Load() {
		return true
	}
	if q.ClientLeft == nil || q.client.answerCounts(now) {
		return false
	}
	q.client.askedAt.Store(int64(now))
	left := q.ClientLeft()
	if left {
		q.client.left.Store(true)
	}
	q.client.answeredAt.Store(int64(now))
	return left
}

// answerCounts reports whether the last answer of Query.ClientLeft, that the client has not left, is recent enough. It
// must have been given: another goroutine may have asked and be suspended before the answer.
func (w *clientWatch) answerCounts(now time.Duration) bool {
	askedAt, answeredAt := time.Duration(w.askedAt.Load()), time.Duration(w.answeredAt.Load())
	if answeredAt == 0 {
		return false
	}
	maxAge := clientPollInterval
	if askedAt > answeredAt && now-askedAt < clientPollInterval {
		maxAge = maxClientAnswerAge
	}
	return now-answeredAt < maxAge
}

// isClosed reports whether a channel on which nothing is ever sent is closed; a nil channel is not.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// CancelQuery reports that a query's client has left: nothing more is sent for the query, and it gets no answer. A
// query that is over is not affected. CancelQuery waits while the queue is full.
func (c *Coordinator) CancelQuery(q *Query) { c.post(clientLeft{q}) }

type clientLeft struct{ query *Query }

func (m clientLeft) apply(c *Coordinator) {
	q := c.open.byQuery[m.query]
	if q == nil {
		return
	}
	queriesClientLeft.Inc()
	c.logClientLeft(q)
	c.notify(scatter.QueryCancelled{ID: q.moduleID})
	c.close(q)
}
