// Package backoff decides when one coordinator of many may call a service that all of them share and that serves calls
// in turn. What waits too long there fails, and has cost its turn all the same: a fleet that starts, or loses the
// service, in one instant must not ask in one instant, and not together again either.
//
// Coordinators cannot talk to each other. Each draws its own moment from a span that grows with the fleet, so that
// all of them together stay within what the service can take, and within the time after which what they may have missed
// counts as told (binding.go).
package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// turn is what a call is taken to cost the service. It is told nowhere, and no answer tells it: one that comes at once
	// was free (on the operators' days all are before clients come, and then cost 20 to 290 ms), a late one was queued for.
	turn = 100 * time.Millisecond
	// patience is after what time the service is taken to fail a call, before it failed one: a lower one is believed at once.
	patience = time.Second
	// queue is the share of that time for which turns may be asked for at once.
	queue = 0.75
	// AtOnce is within what time a service that is down, or turns calls away unseen, answers. What fails later has waited in
	// vain, for want of capacity.
	ImmediateFailure = 250 * time.Millisecond
	// A process that has asked for nothing is held to what it was given for ListMaxAge, and has to have asked well before.
	firstShare = 0.5
	// again is the least pause after a failure.
	again = NotifiedAfter / 24
	// spare is how much dearer than taken a turn may be where there is time to wait for it.
	spare = 3
	// The span, in turns of the whole fleet, grows so fast with each failure for want of capacity, up to a bound: the
	// backlog of those that failed has to be worked off as well.
	widen  = 2
	widest = 8
)

// Schedule is for one coordinator of Fleet.
type Schedule struct {
	FleetSize  int
	ListMaxAge time.Duration // one that has not asked for so long is taken to know the list all the same; 0 where that is not so
	Pushed     bool          // lists are pushed, to an agent of this coordinator's own
	Rand       *rand.Rand

	moved    bool          // to another service, which has not answered yet
	wide     int           // the span after failures, in turns of the whole fleet
	patience time.Duration // the soonest failure for want of capacity; 0 before the first
}

// FirstDelay is how long to wait before the first call of a process that has something to go on with.
func (p *Schedule) FirstDelay() time.Duration {
	if p.Pushed {
		return 0
	}
	return p.draw(p.within(p.span(1)-p.queue(), NotifiedAfter-CallTimeout, scale(p.ListMaxAge, firstShare)))
}

// WatchLostDelay is how long to wait before a watch that has fallen silent or was broken is opened anew. It says nothing of the
// service: other watches stand, or have been lost together with this one.
func (p *Schedule) WatchLostDelay() time.Duration {
	if p.Pushed {
		return agentPause
	}
	return p.draw(min(p.span(spare), MaxSpread))
}

// FailureDelay notes that a call has failed after so long and returns how long to wait before the next, where the list that the
// coordinator has is not going to expire.
func (p *Schedule) FailureDelay(took time.Duration) time.Duration {
	return p.FailureDelayBeforeExpiry(took, 0)
}

// FailureDelayBeforeExpiry is Failed where the list expires in a time: if the service can hear the whole fleet in the time in which
// changes bind, the next call is made such that it has its answer before that. What has expired already cannot be saved by a
// call in haste.
func (p *Schedule) FailureDelayBeforeExpiry(took, expiresIn time.Duration) time.Duration {
	if p.Pushed {
		return agentPause
	}
	p.wide = max(1, p.wide)
	if took >= ImmediateFailure {
		p.wide = min(widen*p.wide, widest)
		if took < p.CallTimeout() && (p.patience == 0 || took < p.patience) { // it was the service that gave up
			p.patience = took
		}
	}
	allowed := min(p.ListMaxAge, time.Duration(p.wide)*MaxSpread) // with each failure more, for the service to work off what failed
	span := p.within(p.span(p.wide)-p.queue(), p.spread()-again, allowed-again)
	if left := expiresIn - again - p.turnedAwayAfter(); left > 0 && p.span(1) <= NotifiedAfter {
		span = min(span, left)
	}
	return again + p.draw(span)
}

// turnedAwayAfter is how long the service lets a call wait, at most.
func (p *Schedule) turnedAwayAfter() time.Duration {
	if p.patience > 0 {
		return p.patience
	}
	return patience
}

// Succeeded notes that a call was answered.
func (p *Schedule) Succeeded() { p.wide, p.moved = 0, false }

// ServiceChanged notes that another service is asked from now on, of which nothing is known.
func (p *Schedule) ServiceChanged() { p.wide, p.patience, p.moved = 0, 0, true }

// within cuts a span to what is left of the time in which changes bind, where the service can hear the whole fleet in half
// of that: who was heard asks no more, so the others get through. Where it cannot, calls that come all the same would fail
// each other, and nobody would be heard: then they are spread as far as the fleet needs and is allowed.
func (p *Schedule) within(span, inTime, allowed time.Duration) time.Duration {
	switch {
	case p.span(1) <= NotifiedAfter/2:
		return min(span, inTime)
	case p.ListMaxAge > 0:
		return min(span, max(inTime, allowed))
	}
	return span
}

// span is so many turns of the whole fleet.
func (p *Schedule) span(times int) time.Duration { return time.Duration(times*p.FleetSize) * turn }

// queue is how much of the service's time may be asked for at once.
func (p *Schedule) queue() time.Duration {
	return scale(p.turnedAwayAfter(), queue)
}

// draw is a moment in a span.
func (p *Schedule) draw(span time.Duration) time.Duration {
	return scale(max(0, span), p.Rand.Float64())
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }
