package overload

import "time"

const (
	// retryShare is the fraction of the capacity that retries of rejected queries may use.
	retryShare = 0.08
	// minRetryTargets is the shortest time until the retry of a rejected query, in wait targets.
	minRetryTargets = 10.0
)

// Indices of the queues in which rejected queries wait for their retry, in the order in which the queues are served.
const (
	withinQuotaQueue = iota
	beyondQuotaQueue
	retryQueues
)

// retrySchedule consists of virtual queues of the rejected queries whose retry is not due yet.
type retrySchedule struct {
	backlog  [retryQueues]float64 // cost of the waiting queries, in core seconds, by queue
	servedAt time.Duration        // instant until which the queues have been served
}

// serve removes from the queues the work that share, in core seconds per second, allows until now. Queries within their
// quota are served first.
func (r *retrySchedule) serve(share float64, now time.Duration) {
	served := share * (now - r.servedAt).Seconds()
	for queue, backlog := range r.backlog {
		r.backlog[queue] = max(0, backlog-served)
		served = max(0, served-backlog)
	}
	r.servedAt = now
}

// join appends a query to its queue and returns the cost ahead of it, in core seconds.
func (r *retrySchedule) join(cost float64, withinQuota bool) (ahead float64) {
	queue := withinQuotaQueue
	ahead = r.backlog[withinQuotaQueue]
	if !withinQuota {
		queue = beyondQuotaQueue
		ahead += r.backlog[beyondQuotaQueue]
	}
	r.backlog[queue] += cost
	return ahead
}

// retryAfter returns the time after which the client of a rejected query may retry. It schedules retries like a queue
// that is served with a fixed share of the capacity (retryShare), so that they arrive at a low rate however many
// queries are rejected at once. Retries that would be due after the configured maximum are spread evenly over its
// second half.
func (c *Controller) retryAfter(cost float64, withinQuota bool, now time.Duration) time.Duration {
	share := retryShare * c.throughput.capacity
	c.retries.serve(share, now)
	ahead := c.retries.join(cost, withinQuota)
	seconds := minRetryTargets * c.cfg.WaitTarget.Seconds() * (1 + c.cfg.Rand())
	if share > 0 {
		seconds += ahead / share
	}
	if longest := c.cfg.MaxRetryAfter.Seconds(); longest > 0 && seconds > longest {
		seconds = longest * (1 - c.cfg.Rand()/2)
	}
	return time.Duration(seconds * float64(time.Second))
}
