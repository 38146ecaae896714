package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// queueCapacity is how many messages may wait for a tick. Queries beyond it are refused; all other messages wait.
const queueCapacity = 1024

// message is what another goroutine posts to the coordinator. Its apply runs in the coordinator's goroutine.
type message interface{ apply(*Coordinator) }

// posted is a message with the instant at which it was sent.
type posted struct {
	message
	sentAt time.Duration
}

// post sends a message and waits while the queue is full; once Run has returned it drops the message. The coordinator's
// own goroutine must not call it: it would wait for itself.
func (c *Coordinator) post(m message) {
	select {
	case c.queue <- posted{m, c.cfg.Clock()}:
	case <-c.stopped:
	}
}

// Run is the coordinator's goroutine. It returns when the phase is Stopped; Stop waits for that. It is to be called
// once.
func (c *Coordinator) Run() {
	defer close(c.stopped)
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	for c.Phase() != Stopped {
		sleep.Reset(c.untilNextTimer())
		select {
		case m := <-c.queue:
			c.tick(m)
		case <-c.maintenance.changed:
			c.tick()
		case <-sleep.C:
			c.tick()
		}
	}
	c.rejectSubmitted()
}

// tick applies what has arrived, runs the timers that are due, and lets the module decide. Messages that arrive
// while it applies others wait for the next tick, so a tick ends.
func (c *Coordinator) tick(received ...posted) {
	c.now = max(c.now, c.cfg.Clock())
	c.load.begin(c.now)
	c.applyMaintenance()
	for _, m := range received {
		c.applyMessage(m)
	}
	for n := len(c.queue); n > 0; n-- {
		c.applyMessage(<-c.queue)
	}
	c.runDueTimers()
	c.step()
	c.updatePhase()
	c.load.end()
	c.reportTick()
}

func (c *Coordinator) applyMessage(m posted) {
	c.load.addWait(c.now - m.sentAt)
	m.apply(c)
}

// step runs the module until carrying out what it asks for brings no further event at once. The first round runs
// without events too, for the module's own timer may be due or time has passed since. A further round needs an event
// that carrying out has brought at once: an attempt that was not sent, or a first phase that has begun or ended. The
// loop ends because the module asks for finitely many of these.
func (c *Coordinator) step() {
	for first := true; first || len(c.events) > 0; first = false {
		events := c.events
		c.events = nil
		c.perform(c.machine.Step(c.now, events))
	}
}

// notify adds an event to the module's next step.
func (c *Coordinator) notify(e scatter.Event) { c.events = append(c.events, e) }
