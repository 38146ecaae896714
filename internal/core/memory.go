package core

import (
	"time"

	"harepass"
)

// This file hands what the module has learned on to another process.

const recallEvery = time.Second // the module's own rates are renewed as often

// Remember gives the module what another process had learned. The list has to have been given before.
func (o *Owner) Remember(m harepass.Memory) { o.post(remembered{m}) }

type remembered struct{ memory harepass.Memory }

func (m remembered) apply(o *Owner) {
	o.takeLists()
	o.step() // so that the module knows the list
	o.agg.Remember(m.memory)
}

// recall tells what the module has learned, while queries are spread as usual: what it sees while it drains is no measure.
func (o *Owner) recall() {
	if o.Phase() <= Ready {
		o.cfg.Recalled(o.agg.Recall())
		o.deadlines.add(o.now+recallEvery, o.recall)
	}
}
