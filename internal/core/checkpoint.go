package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// checkpointInterval is how often Config.OnCheckpoint is called; the module renews its own rates as often.
const checkpointInterval = time.Second

// Restore gives the module what another process had learned. The endpoint list has to have been given before. It waits
// while the queue is full.
func (c *Coordinator) Restore(learned scatter.Checkpoint) { c.post(restoreRequest{learned}) }

type restoreRequest struct{ learned scatter.Checkpoint }

func (m restoreRequest) apply(c *Coordinator) {
	c.mergeAllPending()
	c.step() // the module has to know the endpoint list before
	c.machine.Restore(m.learned)
}

// checkpoint gives out what the module has learned, until the coordinator drains: queries are not spread as usual then,
// and what is learned from them misleads.
func (c *Coordinator) checkpoint() {
	if c.Phase() <= Ready {
		c.cfg.OnCheckpoint(c.machine.Checkpoint())
		c.timers.add(c.now+checkpointInterval, c.checkpoint)
	}
}
