package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"time"

	"harepass/internal/decide/scatter"
)

// coordinator is one coordinator of a fleet.
type coordinator struct {
	number            int // index in Fleet.coordinators
	module            *scatter.Machine
	attempts          map[string]int           // attempts begun, by part ID
	cumulativeTraffic float64                  // sum of the relative traffic of this coordinator and those before it
	knownStarts       map[string]time.Duration // start of each replica by the latest endpoint list, by replica ID
}

// start starts the coordinator with a number from 0, which takes the fleet to have fleetSize coordinators, and drops
// those behind it. It has the endpoint list, and has learned nothing.
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

// restart replaces a coordinator by a new one with its traffic.
func (f *Fleet) restart(number int) error {
	behind := slices.Clone(f.coordinators[number+1:])
	traffic := f.coordinators[number].cumulativeTraffic
	err := f.start(number, len(f.coordinators))
	f.coordinators[number].cumulativeTraffic = traffic
	f.coordinators = append(f.coordinators, behind...)
	return err
}

// resize changes the number of coordinators. Of those that stay, the first ones, as many as notified, get settings
// with the new size now; the others go on with the old size. Coordinators beyond the new size end at once.
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

// step gives a coordinator's module events and takes the actions that it decides on.
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
		case scatter.CancelAttempt: // The replica does its work in spite of the cancellation.
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

// send begins an attempt and schedules its end.
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
