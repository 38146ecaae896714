package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// answerGrace is how long past a query's deadline, the instant at which its client gives up, the module's answer is
// waited for.
const answerGrace = 10 * time.Millisecond

// giveUp fails a query that the module has not answered in its client's time.
func (c *Coordinator) giveUp(q *query) {
	if !c.open.isOpen(q) {
		return
	}
	queriesUnanswered.Inc()
	c.notify(scatter.QueryCancelled{ID: q.moduleID})
	c.finish(q, Answer{Status: Failed})
}

// finish gives a query its one final answer.
func (c *Coordinator) finish(q *query, a Answer) {
	countAnswer(a.Status)
	c.logAnswer(q, a)
	c.close(q)
	q.Done(a)
}

// close forgets a query, answered or not. Outcomes of its attempts still reach the module.
func (c *Coordinator) close(q *query) {
	c.timers.remove(q.giveUpTimer)
	c.open.remove(q)
	if c.cfg.Admitter != nil {
		c.cfg.Admitter.QueryDone(len(q.parts))
	}
	c.endFirstPhase(q.firstPhase)
	c.closeParts(q.parts)
}

// closeParts withholds the attempts that have not begun of parts whose query is over.
func (c *Coordinator) closeParts(parts []*part) {
	for _, p := range parts {
		for _, at := range p.attempts {
			at.withhold()
		}
		c.open.removePart(p)
	}
}
