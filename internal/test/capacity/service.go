package capacity

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/backoff"
)

// The discovery service that serves lists without relays. It serves calls one after the other. A call that has waited
// too long fails but still takes its service time. These figures are assumed, and decide/backoff assumes the same ones.
const (
	serviceCallTime  = 100 * time.Millisecond // time that the service spends on a call
	serviceWaitLimit = 2 * time.Second        // longest wait of a call that still succeeds
	maxSimulatedTime = 6 * time.Hour          // the simulation fails if it takes longer
)

// serviceCall is the next call of one coordinator.
type serviceCall struct {
	at  time.Duration
	who int
}

// serviceCalls is a heap of calls, ordered by time.
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

// fleetStart simulates, in virtual time, a fleet whose coordinators all start at once, until each has received one
// answer. It returns the time of the last answer and the number of calls.
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
		if c.at > maxSimulatedTime {
			return 0, calls, fmt.Errorf("capacity: %v after the start, some of %d coordinators have no list", maxSimulatedTime, coordinators)
		}
		calls++
		begun := max(free, c.at)
		free = begun + serviceCallTime
		if begun-c.at <= serviceWaitLimit {
			schedules[c.who].Succeeded()
			last = max(last, free)
			continue
		}
		heap.Push(&due, serviceCall{c.at + serviceWaitLimit + schedules[c.who].Failed(serviceWaitLimit), c.who})
	}
	return last, calls, nil
}

// lastListTime measures when the last coordinator of a fleet that starts at once has its list.
func lastListTime(coordinators int) (*subject, error) {
	seed := uint64(0)
	return &subject{figure: func() (float64, error) {
		seed++
		last, _, err := fleetStart(coordinators, seed)
		return last.Seconds(), err
	}}, nil
}
