package core

import (
	"errors"
	"fmt"

	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
)

// This file is how the owner's settings change while it serves.

// facts are the settings in force, and the limits that come with them. A change makes new ones, so any goroutine may
// read them.
type facts struct {
	scatter.Settings
	limits Limits
}

// set is what is in force.
func (o *Coordinator) set() *facts { return o.facts.Load() }

// class is a class in force by its name, nil if there is none.
func (f *facts) class(name string) *scatter.Class {
	for i := range f.Classes {
		if f.Classes[i].Name == name {
			return &f.Classes[i]
		}
	}
	return nil
}

// resendPolicy is that of a class in force by its name; without any bound if there is none.
func (f *facts) resendPolicy(name string) retry.Policy {
	if c := f.class(name); c != nil {
		return c.RetryPolicy()
	}
	return retry.Policy{}
}

// servable tells what this program does not serve.
func servable(s scatter.Settings) error {
	for _, c := range s.Classes {
		if c.SecondRoundParts > 0 {
			return fmt.Errorf("%w: %s", ErrSecondStep, c.Name)
		}
	}
	return nil
}

// Configure takes settings and limits over: whole, or not at all with an error. Queries that were submitted before keep
// their class.
func (o *Coordinator) Configure(s scatter.Settings, l Limits) error {
	if err := servable(s); err != nil {
		return err
	}
	done := make(chan error, 1)
	o.post(configured{&facts{s, l}, done})
	select {
	case err := <-done:
		return err
	case <-o.done:
		return errors.New("core: stopped")
	}
}

type configured struct {
	facts *facts
	done  chan error
}

func (m configured) apply(o *Coordinator) {
	o.step() // what has come before belongs to the old ones
	err := o.agg.Configure(withFirsts(m.facts.Settings, o.cfg.TwoPhaseClasses))
	if err == nil {
		o.facts.Store(m.facts)
		clear(o.ables)
		if m.facts.RingSize != o.cells.size || m.facts.ReplicationFactor != o.cells.reach {
			o.cells = newCellIndex(m.facts.RingSize, m.facts.ReplicationFactor, o.nodes)
		}
	}
	m.done <- err
}

// SetShared tells whether another process of the same coordinator serves beside this one: what may be open is for both.
func (o *Coordinator) SetShared(yes bool) { o.shared.Store(yes) }

// most is how many queries and parts may be open; 0 for no limit.
func (o *Coordinator) most() int {
	most := o.set().limits.MaxOpen
	if most > 0 && o.shared.Load() {
		return max(1, most/2)
	}
	return most
}
