package core

import (
	"time"

	"harepass/internal/decide/overload"
)

// Admitter refuses queries before they are queued. Its methods must not block.
type Admitter interface {
	// Admit is called by any goroutine, once for each query. Of a query that it does not admit, retryAfter is how long
	// the client should wait before a retry; 0 for no advice.
	Admit(overload.Arrival) (ok bool, retryAfter time.Duration)
	// ObserveTick is called by the coordinator's goroutine at the end of each tick.
	ObserveTick(Tick)
	// QueryDone is called by the coordinator's goroutine, with the number of parts, once for each query that was
	// opened: right before its final answer, or when its client has left. A query that was admitted and then not opened
	// (its client had left, the queue was full, its id was taken) brings no call.
	QueryDone(parts int)
}

// Admit asks the Admitter. Fronts that know enough of a query before they have read all of it call it themselves, and
// set the query's Admitted; for others, Execute calls it. Any goroutine may call it. Where clients are not to be told
// when to retry, retryAfter is 0.
func (c *Coordinator) Admit(a overload.Arrival) (ok bool, retryAfter time.Duration) {
	if c.cfg.Admitter == nil {
		return true, 0
	}
	if ok, retryAfter = c.cfg.Admitter.Admit(a); !ok {
		rejectedOverload.Inc()
	}
	if c.inForce().RetryAfter == 0 {
		retryAfter = 0
	}
	return ok, retryAfter
}
