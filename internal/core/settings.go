package core

import (
	"errors"
	"fmt"

	"harepass"
	"harepass/internal/decide/resend"
)

// This file is how the owner's settings change while it serves.

// facts are the settings in force, and the limits that come with them. A change makes new ones, so any goroutine may
// read them.
type facts struct {
	harepass.Settings
	limits Limits
}

// set is what is in force.
func (o *Owner) set() *facts { return o.facts.Load() }

// class is a class in force by its name, nil if there is none.
func (f *facts) class(name string) *harepass.Class {
	for i := range f.Classes {
		if f.Classes[i].Name == name {
			return &f.Classes[i]
		}
	}
	return nil
}

// resendPolicy is that of a class in force by its name; without any bound if there is none.
func (f *facts) resendPolicy(name string) resend.Policy {
	if c := f.class(name); c != nil {
		return c.Resend()
	}
	return resend.Policy{}
}

// servable tells what this program does not serve.
func servable(s harepass.Settings) error {
	for _, c := range s.Classes {
		if c.SecondStep > 0 {
			return fmt.Errorf("%w: %s", ErrSecondStep, c.Name)
		}
	}
	return nil
}

// Configure takes settings and limits over: whole, or not at all with an error. Queries that were submitted before keep
// their class.
func (o *Owner) Configure(s harepass.Settings, l Limits) error {
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

func (m configured) apply(o *Owner) {
	o.step() // what has come before belongs to the old ones
	err := o.agg.Configure(withFirsts(m.facts.Settings, o.cfg.Firsts))
	if err == nil {
		o.facts.Store(m.facts)
		clear(o.ables)
		if m.facts.Cells != o.cells.size || m.facts.Reach != o.cells.reach {
			o.cells = newCellIndex(m.facts.Cells, m.facts.Reach, o.nodes)
		}
	}
	m.done <- err
}

// Shared tells whether another process of the same coordinator serves beside this one: what may be open is for both.
func (o *Owner) Shared(yes bool) { o.shared.Store(yes) }

// most is how many queries and parts may be open; 0 for no limit.
func (o *Owner) most() int {
	most := o.set().limits.Open
	if most > 0 && o.shared.Load() {
		return max(1, most/2)
	}
	return most
}
