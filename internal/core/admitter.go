package core

import (
	"time"

	"harepass/internal/decide/overload"
)

// Admitter refuses queries before they are queued. Its methods must not block.
type Admitter interface {
	// Admit is called by any goroutine, once for each query. Of a query that it does not admit, retryIn is how long the
	// client should wait before a retry; 0 for no advice.
	Admit(overload.Arrival) (ok bool, retryIn time.Duration)
	// ObserveTick is called by the coordinator's goroutine at the end of each tick.
	ObserveTick(Tick)
	// QueryDone is called by the coordinator's goroutine when an accepted query is over, with its number of
	// parts.
	QueryDone(parts int)
}

// Admit asks the Admitter. Fronts that know enough of a query before they have read all of it call it themselves, and
// set the query's Admitted; for others, Execute calls it. Any goroutine may call it. Where clients are not to be told
// when to retry, retryIn is 0.
func (c *Coordinator) Admit(a overload.Arrival) (ok bool, retryIn time.Duration) {
	if c.cfg.Admitter == nil {
		return true, 0
	}
	if ok, retryIn = c.cfg.Admitter.Admit(a); !ok {
		rejectedOverload.Inc()
	}
	if c.inForce().RetryAfter == 0 {
		retryIn = 0
	}
	return ok, retryIn
}
