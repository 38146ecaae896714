package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// checkpointInterval is the time between calls of Config.OnCheckpoint; the decision module updates its own rates at the
// same interval.
const checkpointInterval = time.Second

// Restore passes what another process has learned to the decision module. The endpoint list must have been given
// before. It waits while the queue is full.
func (c *Coordinator) Restore(learned scatter.Checkpoint) { c.post(restoreRequest{learned}) }

type restoreRequest struct{ learned scatter.Checkpoint }

func (m restoreRequest) apply(c *Coordinator) {
	c.mergeAllPending()
	c.step() // the module must know the endpoint list first
	c.machine.Restore(m.learned)
}

// checkpoint passes what the decision module has learned to Config.OnCheckpoint until the coordinator drains. Queries
// are not spread as usual during a drain, so what the module learns from them is misleading.
func (c *Coordinator) checkpoint() {
	if c.Phase() <= Ready {
		c.cfg.OnCheckpoint(c.machine.Checkpoint())
		c.timers.add(c.now+checkpointInterval, c.checkpoint)
	}
}
