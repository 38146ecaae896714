package core

import (
	"sync/atomic"
	"time"

	"harepass/internal/decide/scatter"
)

// clientPollInterval is the shortest time between two questions to the system whether a client has left. That has to be
// known 100 ms after the event, and a query of many parts begins them all at once.
const clientPollInterval = 20 * time.Millisecond

// clientWatch is what is known of the client of a query. Any goroutine may use it once the query is submitted.
type clientWatch struct {
	closed   <-chan struct{} // closed when whoever reads the client's connection finds that it has left; nil for nobody
	polledAt atomic.Int64    // instant at which Query.ClientLeft was called last; 0 for never
	left     atomic.Bool     // Query.ClientLeft has returned true
}

// clientHasLeft reports whether the query's client has left, by whoever reads its connection or by the system. It does
// not block, and any goroutine may call it.
func (q *Query) clientHasLeft(now time.Duration) bool {
	if isClosed(q.client.closed) || q.client.left.Load() {
		return true
	}
	if q.ClientLeft == nil {
		return false
	}
	if polledAt := time.Duration(q.client.polledAt.Load()); polledAt > 0 && now-polledAt < clientPollInterval {
		return false
	}
	q.client.polledAt.Store(int64(now))
	if q.ClientLeft() {
		q.client.left.Store(true)
		return true
	}
	return false
}

// isClosed reports whether a channel that is never sent to is closed; nil is not.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// CancelQuery reports that a query's client has left: nothing further is sent for it, and it gets no answer. It waits
// while the queue is full. A query that is over is left alone.
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
