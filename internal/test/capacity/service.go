package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/backoff"
)

// The service that gives out lists, as it is without relays: it takes calls in turn, fails what has waited for too long, and
// has spent the turn on it all the same. Its figures are assumed; decide/backoff goes by the same ones.
const (
	serviceTurn     = 100 * time.Millisecond
	servicePatience = 2 * time.Second
	serviceEnd      = 6 * time.Hour // nobody is waited for any longer
)

// serviceCall is the next call of one coordinator.
type serviceCall struct {
	at  time.Duration
	who int
}

// serviceCalls are in order of time.
type serviceCalls []serviceCall

func (c serviceCalls) Len() int           { return len(c) }
func (c serviceCalls) Less(i, j int) bool { return c[i].at < c[j].at }
func (c serviceCalls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *serviceCalls) Push(x any)        { *c = append(*c, x.(serviceCall)) }
func (c *serviceCalls) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// fleetStart plays, in virtual time, a fleet that starts in one instant until each coordinator has been answered once; it
// returns when the last was, and how many calls that took.
func fleetStart(coordinators int, seed uint64) (last time.Duration, calls int, err error) {
	var schedules []*backoff.Schedule
	var due serviceCalls
	for i := range coordinators {
		schedules = append(schedules, &backoff.Schedule{FleetSize: coordinators, Rand: rand.New(rand.NewPCG(uint64(i), seed))})
		heap.Push(&due, serviceCall{schedules[i].FirstDelay(), i})
	}
	free := time.Duration(0)
	for len(due) > 0 {
		c := heap.Pop(&due).(serviceCall)
		if c.at > serviceEnd {
			return 0, calls, fmt.Errorf("capacity: after %v not all of %d coordinators have their list", serviceEnd, coordinators)
		}
		calls++
		begun := max(free, c.at)
		free = begun + serviceTurn
		if begun-c.at <= servicePatience {
			schedules[c.who].Succeeded()
			last = max(last, free)
			continue
		}
		heap.Push(&due, serviceCall{c.at + servicePatience + schedules[c.who].Failed(servicePatience), c.who})
	}
	return last, calls, nil
}

// lastHeard is when the last coordinator of a fleet that starts at once has its list.
func lastHeard(coordinators int) (*subject, error) {
	seed := uint64(0)
	return &subject{figure: func() (float64, error) {
		seed++
		last, _, err := fleetStart(coordinators, seed)
		return last.Seconds(), err
	}}, nil
}
