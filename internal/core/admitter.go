package core

import (
	"time"

	"harepass/internal/decide/overload"
)

// Admitter rejects queries before they are queued. Its methods must not block.
type Admitter interface {
	// Admit is called by any goroutine, once for each query. For a rejected query, retryAfter is how long the client
	// should wait before a retry; 0 gives no advice.
	Admit(overload.Arrival) (ok bool, retryAfter time.Duration)
	// ObserveTick is called by the coordinator's goroutine at the end of each tick.
	ObserveTick(Tick)
	// QueryDone is called by the coordinator's goroutine with the number of parts, once for each opened query: right
	// before its final answer, or when its client has left. It is not called for a query that was admitted but not
	// opened, for example because its client had left, the queue was full or its id was taken.
	QueryDone(parts int)
}

// Admit asks the Admitter about a query. A front that knows enough about a query before it has read all of it calls
// Admit itself and sets the query's Admitted field; for other queries Execute calls it. Any goroutine may call it.
// retryAfter is 0 if the settings do not advise clients when to retry.
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
