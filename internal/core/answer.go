package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// answerGrace is how long after a query's deadline, when its client gives up, the coordinator still waits for the
// decision module's answer.
const answerGrace = 10 * time.Millisecond

// giveUp fails a query that the decision module has not answered by its deadline plus answerGrace.
func (c *Coordinator) giveUp(q *query) {
	if !c.open.isOpen(q) {
		return
	}
	queriesUnanswered.Inc()
	c.notify(scatter.QueryCancelled{ID: q.moduleID})
	c.finish(q, Answer{Status: Failed})
}

// finish sends the one final answer to a query.
func (c *Coordinator) finish(q *query, a Answer) {
	countAnswer(a.Status)
	c.logAnswer(q, a)
	c.close(q)
	q.Done(a)
}

// close removes a query, answered or not, from the open queries. The decision module is still notified of the outcomes
// of its attempts.
func (c *Coordinator) close(q *query) {
	c.timers.remove(q.giveUpTimer)
	c.open.remove(q)
	if c.cfg.Admitter != nil {
		c.cfg.Admitter.QueryDone(len(q.parts))
	}
	c.endFirstPhase(q.firstPhase)
	c.closeParts(q.parts)
}

// closeParts withholds the attempts that have not begun, for parts whose query is over.
func (c *Coordinator) closeParts(parts []*part) {
	for _, p := range parts {
		for _, at := range p.attempts {
			at.withhold()
		}
		c.open.removePart(p)
	}
}
