package core

import (
	"strconv"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
)

// Execute submits a query and waits for its answer or until clientLeft is closed, when the answer is Failed. It
// validates the query, asks the Admitter unless the query is already Admitted, and sets Done. Any goroutine except the
// coordinator's own may call it. A nil clientLeft counts as a channel that is never closed.
func (c *Coordinator) Execute(q *Query, clientLeft <-chan struct{}) Answer {
	if err := c.validate(q); err != nil {
		countInvalid(err)
		return Answer{Status: Invalid, Reason: err.Error()}
	}
	if !q.Admitted {
		arrival := overload.Arrival{Class: q.Class, Tenant: q.Tenant, IsRepeat: q.IsRetry, Parts: len(q.Parts)}
		if ok, retryAfter := c.Admit(arrival); !ok {
			return Answer{Status: Rejected, RetryAfter: retryAfter}
		}
	}
	answers := make(chan Answer, 1)
	q.Done, q.client.closed = func(a Answer) { answers <- a }, clientLeft
	if q.clientHasLeft(c.cfg.Clock()) {
		return Answer{Status: Failed}
	}
	if !c.Submit(q) {
		return Answer{Status: Rejected, RetryAfter: c.inForce().RetryAfter}
	}
	select {
	case a := <-answers:
		return a
	case <-clientLeft:
		c.CancelQuery(q)
		return Answer{Status: Failed}
	}
}

// Submit queues a query, which must be valid and have Done set. It does not wait, and any goroutine may call it. False
// means that the queue is full or the coordinator has stopped: the query was not accepted, and Done is not called. True
// means that the query is queued. Done is then called once, unless the client leaves.
func (c *Coordinator) Submit(q *Query) bool {
	c.submitting.RLock()
	defer c.submitting.RUnlock()
	if c.Phase() == Stopped {
		return false
	}
	select {
	case c.queue <- posted{submission{q}, c.cfg.Clock()}:
		return true
	default:
		rejectedQueueFull.Inc()
		return false
	}
}

// submission is the message for a query that Submit has queued.
type submission struct{ query *Query }

// apply accepts a query or answers it immediately.
func (m submission) apply(c *Coordinator) {
	q := m.query
	policy := c.inForce().retryPolicy(q.Class) // the front may have validated against older settings
	key, keyErr := policy.Key(q.IdempotencyKeys)
	if answer, over := c.immediateAnswer(q, keyErr); over {
		q.Done(answer)
		return
	}
	c.accept(q, policy, key)
}

// rejectSubmitted rejects the queries that were queued after the last tick began. It is called once the phase is
// Stopped, when Submit accepts no more queries.
func (c *Coordinator) rejectSubmitted() {
	c.submitting.Lock() // waits for each Submit that saw an earlier phase to queue its query
	n := len(c.queue)
	c.submitting.Unlock()
	for ; n > 0; n-- {
		if m, ok := (<-c.queue).message.(submission); ok {
			rejectedStopped.Inc()
			m.query.Done(Answer{Status: Rejected, RetryAfter: c.inForce().RetryAfter})
		}
	}
}

// immediateAnswer returns the final answer to a query that is not opened; over is false if the query should be opened.
// keyErr is the error of its idempotency key, if any. The first reason in this order decides: the client has left, the
// list has expired, the id is taken, the open limit is reached, the key is invalid.
func (c *Coordinator) immediateAnswer(q *Query, keyErr error) (answer Answer, over bool) {
	if q.clientHasLeft(c.cfg.Clock()) { // the client may have left while the query was queued
		return Answer{Status: Failed}, true
	}
	if c.onlyListExpired() {
		rejectedListExpired.Inc()
		return Answer{Status: Rejected, RetryAfter: c.inForce().RetryAfter}, true
	}
	if c.reservedIDs.contains(q.ID, c.now) {
		countInvalid(ErrDuplicateID)
		return Answer{Status: Invalid, Reason: ErrDuplicateID.Error()}, true
	}
	if c.exceedsOpenLimit(len(q.Parts)) {
		rejectedOpenLimit.Inc()
		return Answer{Status: Rejected, RetryAfter: c.inForce().RetryAfter}, true
	}
	if keyErr != nil {
		countInvalid(keyErr)
		return Answer{Status: Invalid, Reason: keyErr.Error()}, true
	}
	return Answer{}, false
}

// accept opens a query. It notifies the decision module of the query and its parts, and then of its first phase.
func (c *Coordinator) accept(submitted *Query, policy retry.Policy, key string) {
	if end := c.phaseState.drainEnd; end > 0 {
		submitted.Deadline = min(submitted.Deadline, end)
	}
	queriesAccepted.Inc()
	number := c.open.nextNumber()
	q := &query{Query: submitted, moduleID: strconv.FormatInt(number, 10), number: number, retryPolicy: policy,
		idempotencyKey: key, acceptedAt: c.now}
	c.open.add(q)
	q.giveUpTimer = c.timers.add(q.Deadline+answerGrace, func() { c.giveUp(q) })
	c.reserveID(q)
	c.notify(scatter.QueryArrived{ID: q.moduleID, Number: number, Class: q.Class, Tenant: q.Tenant, Expires: q.Deadline,
		Parts: len(q.Parts), IsRetry: q.IsRetry, RequireComplete: q.RequireComplete})
	for i, p := range q.Parts {
		c.open.addPart(&part{id: q.moduleID + "." + strconv.Itoa(i), index: i, shard: p.Shard, query: q})
	}
	deferred := c.planFirstPhase(q)
	for i, p := range q.parts {
		c.notify(scatter.PartArrived{ID: p.id, Number: number, Shard: p.shard, Weight: q.Parts[i].Weight,
			Deferred: p.deferred})
	}
	c.beginFirstPhase(q, deferred)
}
