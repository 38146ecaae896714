package backoff

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// call is a coordinator's next call to the simulated service.
type call struct {
	at          time.Duration
	coordinator int
}

// calls is a heap of calls, earliest first.
type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any          { old := *c; x := old[len(old)-1]; *c = old[:len(old)-1]; return x }

// service is a simulated discovery service that answers calls one at a time. A call that has waited for serviceTimeout
// fails, but still occupies the service.
type service struct {
	callCost time.Duration // time for which a call occupies the service
	upAt     time.Duration // instant until which each call fails at once
	freeAt   time.Duration // instant at which all calls so far are worked off
}

const serviceTimeout = 2 * time.Second

// call returns the instant at which the call is answered, or the time after which it fails.
func (s *service) call(at time.Duration) (answeredAt, failedAfter time.Duration, ok bool) {
	if at < s.upAt {
		return 0, 0, false
	}
	begins := max(s.freeAt, at)
	s.freeAt = begins + s.callCost
	if begins-at <= serviceTimeout {
		return s.freeAt, 0, true
	}
	return 0, serviceTimeout, false
}

// fleetRun simulates a fleet of coordinators that all need their endpoint list from one service at one instant.
type fleetRun struct {
	size         int
	service      service
	firstDelay   func(*Schedule) time.Duration
	failureDelay func(*Schedule, time.Duration) time.Duration
}

// run simulates one minute. It returns the number of calls made, the number answered, and the instant of the last
// answer.
func (f fleetRun) run() (made, answered int, last time.Duration) {
	f.service.freeAt = f.service.upAt
	var schedules []*Schedule
	var due calls
	for i := range f.size {
		schedules = append(schedules, &Schedule{FleetSize: f.size, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		heap.Push(&due, call{f.firstDelay(schedules[i]), i})
	}
	for len(due) > 0 && due[0].at < time.Minute {
		c := heap.Pop(&due).(call)
		made++
		answeredAt, failedAfter, ok := f.service.call(c.at)
		if ok {
			answered, last = answered+1, max(last, answeredAt)
			schedules[c.coordinator].Succeeded()
			continue
		}
		heap.Push(&due, call{c.at + failedAfter + f.failureDelay(schedules[c.coordinator], failedAfter), c.coordinator})
	}
	return made, answered, last
}

// A whole fleet starts, or loses discovery, at one instant. All coordinators get their list soon after, and few calls
// fail. If calls are not spread, those that wait too long keep the service busy although they fail, and few
// coordinators get an answer. The last case shows this, and thereby that the simulated service can be overloaded.
func TestFleetHasListSoonAfterCommonFailure(t *testing.T) {
	for _, c := range []struct {
		fleet              int
		cost, upAt, lastAt time.Duration
		callsEach          float64
		answered           int
	}{
		{80, 66 * time.Millisecond, 0, 8 * time.Second, 1.1, 80},
		{80, 100 * time.Millisecond, 0, 12 * time.Second, 1.2, 80},
		{80, 190 * time.Millisecond, 0, time.Minute, 4, 40}, // calls take about two call slots: slow, but not stuck
		{80, 66 * time.Millisecond, 8 * time.Second, 18 * time.Second, 4, 80},
		{300, 20 * time.Millisecond, 0, 31 * time.Second, 1.1, 300},
		{3, 66 * time.Millisecond, 0, time.Second, 1, 3},
	} {
		run := fleetRun{c.fleet, service{callCost: c.cost, upAt: c.upAt}, (*Schedule).FirstDelay, (*Schedule).Failed}
		made, answered, last := run.run()
		if answered < c.answered || last > c.lastAt+2*time.Second || float64(made) > c.callsEach*float64(c.fleet) {
			t.Errorf("%d coordinators, %v per call: %d calls, %d answered, last answer after %v",
				c.fleet, c.cost, made, answered, last)
		}
	}
	atOnce := func(*Schedule) time.Duration { return 0 }
	short := func(s *Schedule, _ time.Duration) time.Duration {
		return time.Duration((0.25 + 0.5*s.Rand.Float64()) * float64(time.Second))
	}
	run := fleetRun{80, service{callCost: 66 * time.Millisecond}, atOnce, short}
	if made, answered, _ := run.run(); answered > 60 {
		t.Errorf("calls not spread: %d of %d were answered; the simulated service is not overloaded", answered, made)
	}
}

// A fleet of at most 30 coordinators loses discovery, which returns at once or after some seconds. Calls that wait for
// 2 s fail, but still occupy the service for 0.1 s. Every coordinator gets an answer within NotifiedAfter of
// discovery's return, so no coordinator lacks a change that counts as notified.
func TestSmallFleetIsAnsweredBeforeChangesCountAsNotified(t *testing.T) {
	for _, size := range []int{6, 20, 30} {
		for _, upAt := range []time.Duration{0, 3 * time.Second, 8 * time.Second} {
			run := fleetRun{size, service{callCost: 100 * time.Millisecond, upAt: upAt},
				(*Schedule).WatchLostDelay, (*Schedule).Failed}
			_, answered, last := run.run()
			if answered != size || last-upAt >= NotifiedAfter {
				t.Errorf("%d coordinators: %d answered, last answer %v after its return", size, answered, last-upAt)
			}
		}
	}
}

// A large fleet starts at one instant and calls a service that answers fast. Its first calls are spread over half of
// ListMaxAge, so the service answers nearly all of them and all coordinators have their list by then.
func TestLargeFleetHasListWithinHalfOfListMaxAge(t *testing.T) {
	const listMaxAge, size = 10 * time.Second, 300
	firstDelay := func(s *Schedule) time.Duration {
		s.ListMaxAge = listMaxAge
		return s.FirstDelay()
	}
	run := fleetRun{size, service{callCost: 10 * time.Millisecond}, firstDelay, (*Schedule).Failed}
	made, answered, last := run.run()
	if answered != size || made > 310 || last > listMaxAge/2+2*time.Second {
		t.Errorf("%d coordinators: %d calls, %d answered, last answer after %v", size, made, answered, last)
	}
}
