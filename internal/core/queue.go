package core

import (
	"time"
)

// This file is the owner's bounded queue and its turns.

// message is something that another goroutine tells the owner.
type message interface{ apply(*Coordinator) }

// posted is a message with the time at which it was.
type posted struct {
	message
	at time.Duration
}

// post waits for room: socket goroutines may, the owner never posts.
func (o *Coordinator) post(m message) {
	select {
	case o.queue <- posted{m, o.cfg.Clock()}:
	case <-o.done:
	}
}

// Run is the owner's goroutine. It returns when the phase is Stopped.
func (o *Coordinator) Run() {
	defer close(o.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for o.Phase() != Stopped {
		timer.Reset(o.untilNext())
		select {
		case m := <-o.queue:
			o.turn(m)
		case <-o.news:
			o.turn()
		case <-timer.C:
			o.turn()
		}
	}
}

// turn applies what has come in, sweeps the deadlines, and lets the module decide.
func (o *Coordinator) turn(first ...posted) {
	o.now = max(o.now, o.cfg.Clock())
	o.began.Store(int64(o.now))
	o.heed()
	for _, m := range first {
		o.take(m)
	}
	for n := len(o.queue); n > 0; n-- {
		o.take(<-o.queue)
	}
	o.sweep()
	o.step()
	o.advance()
	o.began.Store(0)
	o.tell()
}

func (o *Coordinator) take(m posted) {
	o.wait(o.now - m.at)
	m.apply(o)
}

// step runs the module until what it asks for has no outcome at once.
func (o *Coordinator) step() {
	for first := true; first || len(o.events) > 0; first = false {
		events := o.events
		o.events = nil
		o.perform(o.agg.Step(o.now, events))
	}
}
