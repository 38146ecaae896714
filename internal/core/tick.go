package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// queueCapacity is how many messages may wait for a tick. While the queue is full, queries are rejected, and the
// senders of all other messages wait.
const queueCapacity = 1024

// message is what other goroutines post to the coordinator. Its apply runs in the coordinator's goroutine.
type message interface{ apply(*Coordinator) }

// posted is a message and the instant at which it was sent.
type posted struct {
	message
	sentAt time.Duration
}

// post sends a message and waits while the queue is full. After Run has returned, the message is dropped. The
// coordinator's own goroutine must not call post, because it would deadlock on a full queue.
func (c *Coordinator) post(m message) {
	select {
	case c.queue <- posted{m, c.cfg.Clock()}:
	case <-c.stopped:
	}
}

// Run is the coordinator's main loop. Call it once, in a goroutine of its own. It returns when the phase is Stopped;
// Stop waits for that.
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

// tick applies the latest maintenance register, then the message that has woken Run, if any, and the queued messages.
// It runs the timers that are due, steps the decision module, updates the phase, and reports the tick to the Admitter.
// Messages that arrive while it applies others wait for the next tick, so that every tick ends.
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
	c.publishUsage()
	c.load.end()
	c.reportTick()
}

func (c *Coordinator) applyMessage(m posted) {
	c.load.addWait(c.now - m.sentAt)
	m.apply(c)
}

// step runs the decision module and performs its actions until these add no more events. The first round runs even
// without events, because time has passed since the module's last step. A further round needs an event that an action
// has caused immediately: an attempt was not sent, or a first phase or a deferral has ended. The loop terminates
// because first phases and deferrals end once, and the module limits the attempts of a part.
func (c *Coordinator) step() {
	for first := true; first || len(c.events) > 0; first = false {
		events := c.events
		c.events = nil
		c.perform(c.machine.Step(c.now, events))
	}
}

// notify adds an event for the decision module's next step.
func (c *Coordinator) notify(e scatter.Event) { c.events = append(c.events, e) }
