package core

import (
	"time"

	"harepass/internal/decide/scatter"
)

// This file hands what the module has learned on to another process.

const recallEvery = time.Second // the module's own rates are renewed as often

// Restore gives the module what another process had learned. The list has to have been given before.
func (o *Coordinator) Restore(m scatter.Checkpoint) { o.post(remembered{m}) }

type remembered struct{ memory scatter.Checkpoint }

func (m remembered) apply(o *Coordinator) {
	o.takeLists()
	o.step() // so that the module knows the list
	o.agg.Restore(m.memory)
}

// recall tells what the module has learned, while queries are spread as usual: what it sees while it drains is no measure.
func (o *Coordinator) recall() {
	if o.Phase() <= Ready {
		o.cfg.OnCheckpoint(o.agg.Checkpoint())
		o.deadlines.add(o.now+recallEvery, o.recall)
	}
}
