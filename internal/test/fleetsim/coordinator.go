package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"harepass/internal/decide/scatter"
)

// coordinator is one simulated coordinator of a fleet. The product's decision module makes its decisions.
type coordinator struct {
	number            int // index in Fleet.coordinators
	module            *scatter.Machine
	attempts          map[string]int           // attempts started, by part ID
	cumulativeTraffic float64                  // relative traffic of this coordinator and all lower-numbered ones
	knownStarts       map[string]time.Duration // start of each replica in the latest endpoint list, by replica ID
}

// start adds a new coordinator at index number of Fleet.coordinators and drops all coordinators that were at that index
// or later. The settings of the new coordinator state fleetSize as the fleet size. It gets the endpoint list and has no
// learned state.
func (f *Fleet) start(number, fleetSize int) error {
	module, err := scatter.New(f.config.Seed<<16|uint64(number), f.config.settings(number, fleetSize))
	if err != nil {
		return fmt.Errorf("fleetsim: start coordinator %d: %w", number, err)
	}
	c := &coordinator{
		number: number, module: module, attempts: map[string]int{}, knownStarts: map[string]time.Duration{},
	}
	traffic := math.Exp(f.config.TrafficSkew * f.rng.NormFloat64())
	if number > 0 {
		c.cumulativeTraffic = f.coordinators[number-1].cumulativeTraffic
	}
	c.cumulativeTraffic += traffic
	f.coordinators = append(f.coordinators[:number], c)
	f.step(c, f.endpointList())
	return nil
}

// restart replaces a coordinator by a new one that gets the same traffic.
func (f *Fleet) restart(number int) error {
	following := slices.Clone(f.coordinators[number+1:])
	traffic := f.coordinators[number].cumulativeTraffic
	err := f.start(number, len(f.coordinators))
	f.coordinators[number].cumulativeTraffic = traffic
	f.coordinators = append(f.coordinators, following...)
	return err
}

// resize changes the number of coordinators to fleetSize. Coordinators beyond the new size end at once.
// notified is the number of remaining coordinators, counted from the first, that get settings with the new size now;
// the others keep the old size. Added coordinators start with the new size.
func (f *Fleet) resize(fleetSize, notified int) error {
	f.coordinators = f.coordinators[:min(len(f.coordinators), fleetSize)]
	for i, c := range f.coordinators[:min(len(f.coordinators), notified)] {
		if err := c.module.Configure(f.config.settings(i, fleetSize)); err != nil {
			return fmt.Errorf("fleetsim: configure coordinator %d: %w", i, err)
		}
	}
	for i := len(f.coordinators); i < fleetSize; i++ {
		if err := f.start(i, fleetSize); err != nil {
			return err
		}
	}
	return nil
}

// step passes events to a coordinator's module and carries out the actions that the module returns.
func (f *Fleet) step(c *coordinator, events ...scatter.Event) {
	for _, e := range events {
		if list, ok := e.(scatter.EndpointUpdate); ok {
			for _, r := range list.Replicas {
				c.knownStarts[r.ID] = r.StartedAt
			}
		}
	}
	for _, action := range c.module.Step(f.now, events) {
		switch a := action.(type) {
		case scatter.SetTimer:
			f.schedule(c, f.now+a.After, scatter.TimerFired{})
		case scatter.CancelAttempt: // The replica still does the work of a cancelled attempt.
			f.schedule(c, f.now, scatter.AttemptEnded{
				Part: a.Part, Attempt: a.Attempt, Outcome: scatter.Cancelled, Latency: latencyObjective,
			})
		case scatter.Send:
			f.send(c, a)
		case scatter.Answer:
			f.finishQuery(a)
		case scatter.Reject:
			delete(f.openQueries, a.Query)
		case scatter.Fail:
			delete(f.openQueries, a.Query)
		}
	}
}

// send starts an attempt and schedules the event that ends it.
func (f *Fleet) send(c *coordinator, a scatter.Send) {
	attempt := c.attempts[a.Part]
	c.attempts[a.Part]++
	r := f.replicaByID[a.Replica]
	f.countAttempt(r)
	outcome, latency := r.attempt(c, f.now, a.Timeout)
	f.schedule(c, f.now+latency, scatter.AttemptEnded{
		Part: a.Part, Attempt: attempt, Replica: a.Replica, Outcome: outcome, Latency: latency,
	})
}
