package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// callBatch groups the attempts of one step by replica, so that attempts to the same replica are sent in the same call.
type callBatch struct {
	replicas []string              // in order of their first attempt
	attempts map[string][]*Attempt // by replica, in the module's order
}

func (b *callBatch) add(at *Attempt) {
	if b.attempts == nil {
		b.attempts = map[string][]*Attempt{}
	}
	if len(b.attempts[at.ReplicaID]) == 0 {
		b.replicas = append(b.replicas, at.ReplicaID)
	}
	b.attempts[at.ReplicaID] = append(b.attempts[at.ReplicaID], at)
}

// perform carries out the decision module's actions in order. Attempts are sent last, grouped into calls.
func (c *Coordinator) perform(actions []scatter.Action) {
	var batch callBatch
	for _, action := range actions {
		switch a := action.(type) {
		case scatter.Send:
			if at := c.newAttempt(a); at != nil {
				batch.add(at)
			}
		case scatter.CancelAttempt:
			c.cancelAttempt(a)
		case scatter.Answer:
			c.answerQuery(a)
		case scatter.Reject:
			c.rejectQuery(a)
		case scatter.Fail:
			c.failQuery(a)
		case scatter.CloseIdleConnections:
			c.closeIdleConnections(c.endpoints.byID[a.Replica].Scheme, a.Replica)
		case scatter.Subscribe:
			c.subscribe()
		case scatter.SetTimer:
			c.setWake(a.After)
		}
	}
	c.sendCalls(batch)
}

// subscribe asks the polled source for its list. From then on, a cached list may make the coordinator Ready; see
// startCachedListDelay.
func (c *Coordinator) subscribe() {
	c.cfg.Subscribe()
	c.listReadiness.mayStartDelay = true
	c.startCachedListDelay()
}

// setWake schedules the decision module's next step after a duration and replaces any earlier timer of the module.
func (c *Coordinator) setWake(after time.Duration) {
	c.timers.remove(c.wake)
	c.wake = c.timers.add(c.now+after, func() { c.notify(scatter.TimerFired{}) })
}

// cancelAttempt stops waiting for an outstanding attempt.
func (c *Coordinator) cancelAttempt(a scatter.CancelAttempt) {
	if p := c.open.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
		c.cancel(p.attempts[a.Attempt], scatter.Cancelled)
	}
}

// answerQuery answers a query with the values received so far. If the id is that of a first phase, the decision module
// has ended the first phase instead, and the parts that are still deferred are released.
func (c *Coordinator) answerQuery(a scatter.Answer) {
	if q := c.open.byID[a.Query]; q != nil {
		answer := Answer{Complete: a.Complete, Values: make([][]byte, len(q.parts)), Pruned: make([]bool, len(q.parts)),
			Faults: make([]int, len(q.parts))}
		for i, p := range q.parts {
			answer.Values[i], answer.Pruned[i], answer.Faults[i] = p.value, p.pruned, p.faultStatus
		}
		c.finish(q, answer)
	}
	c.releaseDeferred(c.open.firstPhases[a.Query])
}

// rejectQuery rejects a query with the decision module's Retry-After, or ends a first phase as answerQuery does.
func (c *Coordinator) rejectQuery(a scatter.Reject) {
	if q := c.open.byID[a.Query]; q != nil {
		rejectedByModule.Inc()
		c.finish(q, Answer{Status: Rejected, RetryAfter: a.RetryAfter})
	}
	c.releaseDeferred(c.open.firstPhases[a.Query])
}

// failQuery fails a query, or ends a first phase as answerQuery does.
func (c *Coordinator) failQuery(a scatter.Fail) {
	if q := c.open.byID[a.Query]; q != nil {
		c.finish(q, Answer{Status: Failed})
	}
	c.releaseDeferred(c.open.firstPhases[a.Query])
}

// closeIdleConnections closes the idle connections to a replica if a Caller supports its scheme.
func (c *Coordinator) closeIdleConnections(scheme, id string) {
	if caller := c.cfg.Callers[scheme]; caller != nil {
		caller.CloseIdleConnections(id)
	}
}

// sendCalls passes attempts to their Callers, at most PartsPerCall in each call.
func (c *Coordinator) sendCalls(batch callBatch) {
	for _, id := range batch.replicas {
		endpoint, attempts := c.endpoints.byID[id], batch.attempts[id]
		for len(attempts) > 0 {
			n := min(len(attempts), max(1, c.inForce().PartsPerCall))
			c.cfg.Callers[endpoint.Scheme].Call(endpoint.Endpoint, attempts[:n:n])
			attempts = attempts[n:]
		}
	}
}
