package overload

import "time"

const (
	// returnShare is the fraction of the capacity that rejected queries may take when they come back.
	returnShare = 0.08
	// minRetryTargets is the shortest time after which a rejected query comes back, in wait targets.
	minRetryTargets = 10.0
)

// Lines of the queue in which rejected queries come back.
const (
	withinQuotaLine = iota
	beyondQuotaLine
	returnLines
)

// returnSchedule is a virtual queue of the rejected queries that have not had the time to come back.
type returnSchedule struct {
	backlog  [returnLines]float64 // cost of these queries, in core seconds, by line
	servedAt time.Duration        // until when the queue has been served
}

// serve takes from the queue what share, in core seconds a second, allows until now. Queries within their quota go
// first.
func (r *returnSchedule) serve(share float64, now time.Duration) {
	served := share * (now - r.servedAt).Seconds()
	for line, backlog := range r.backlog {
		r.backlog[line] = max(0, backlog-served)
		served = max(0, served-backlog)
	}
	r.servedAt = now
}

// join appends a query to its line and returns the cost ahead of it, in core seconds.
func (r *returnSchedule) join(cost float64, withinQuota bool) (ahead float64) {
	line := withinQuotaLine
	ahead = r.backlog[withinQuotaLine]
	if !withinQuota {
		line = beyondQuotaLine
		ahead += r.backlog[beyondQuotaLine]
	}
	r.backlog[line] += cost
	return ahead
}

// retryAfter is when a rejected query may come back, from now: as in a queue that is served with a fixed share of the
// capacity. However many are rejected at once, they return as a thin stream. Where that takes longer than the
// configured maximum, they are spread evenly over its second half.
func (c *Controller) retryAfter(cost float64, withinQuota bool, now time.Duration) time.Duration {
	share := returnShare * c.throughput.capacity
	c.returns.serve(share, now)
	ahead := c.returns.join(cost, withinQuota)
	seconds := minRetryTargets * c.cfg.WaitTarget.Seconds() * (1 + c.cfg.Rand())
	if share > 0 {
		seconds += ahead / share
	}
	if longest := c.cfg.MaxRetryAfter.Seconds(); longest > 0 && seconds > longest {
		seconds = longest * (1 - c.cfg.Rand()/2)
	}
	return time.Duration(seconds * float64(time.Second))
}
