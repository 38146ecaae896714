package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The parts into which the time until a change counts as notified is divided fit into it: after a watch that fell
// silent, after calls that nobody answered, and after a reload that names another service.
func TestPartsFitBeforeChangesCountAsNotified(t *testing.T) {
	if sum := WatchHold + WatchSilence + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("after a silent watch the answer comes after %v", sum)
	}
	if sum := CallTimeout + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("after an unanswered call the answer comes after %v", sum)
	}
	if sum := reloadCallTimeout + reloadMaxSpread + reloadCallTimeout; sum >= NotifiedAfterReload {
		t.Errorf("after a reload the new service's answer comes after %v", sum)
	}
	for _, fleet := range []int{1, 6, 20, 30} { // whose calls discovery can answer within half of NotifiedAfter
		s := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 5))}
		for i := range 200 {
			if d := s.Failed(time.Duration(i%3) * time.Second); d < minFailureDelay || d >= MaxSpread {
				t.Fatalf("one of %d calls again after %v", fleet, d)
			}
			s.ServiceChanged()
			d := s.Failed(s.AnswerTimeout())
			if s.AnswerTimeout() != reloadCallTimeout || d >= reloadMaxSpread {
				t.Fatalf("one of %d waits %v for a newly named service and calls again after %v", fleet, s.AnswerTimeout(), d)
			}
			s.Succeeded()
		}
	}
}

// A process that has not called counts as notified after ListMaxAge. Whatever the size of the fleet, its first call
// comes within half of that, and a call after a failure before all of it is over; nor do the calls of the fleet come
// together for that.
func TestCallsBeforeListMaxAgeIsOver(t *testing.T) {
	const listMaxAge = 10 * time.Second
	for _, fleet := range []int{80, 300, 2000} {
		inTwentieth := [10]int{} // first calls in each twentieth of listMaxAge
		for i := range fleet {
			s := &Schedule{FleetSize: fleet, ListMaxAge: listMaxAge, Rand: rand.New(rand.NewPCG(uint64(i), 2))}
			first := s.FirstDelay()
			if first >= listMaxAge/2 {
				t.Fatalf("one of %d calls first after %v", fleet, first)
			}
			inTwentieth[first*20/listMaxAge]++
			for range 8 {
				if d := s.Failed(2 * time.Second); d >= listMaxAge {
					t.Fatalf("one of %d calls again after %v", fleet, d)
				}
			}
		}
		for i, n := range inTwentieth {
			if n > fleet/5 {
				t.Errorf("%d of %d call first in twentieth %d of the time: %v", n, fleet, i, inTwentieth)
			}
		}
	}
}

// The incident of 2026-12-02: one of 35 coordinators has a list that was confirmed 3.6 s ago when a call fails after
// 0.93 s. The next call is answered before the list expires. In a fleet that cannot all be answered by then no
// coordinator hurries, for its call would only make others fail.
func TestCallsAgainBeforeListExpires(t *testing.T) {
	const took, expiresIn = 930 * time.Millisecond, 2400 * time.Millisecond
	for _, c := range []struct {
		fleet int
		most  time.Duration
	}{{3, expiresIn - took}, {35, expiresIn - took}, {60, expiresIn - took}, {300, time.Minute}} {
		latest, later := time.Duration(0), time.Duration(0)
		for seed := range uint64(200) {
			s := &Schedule{FleetSize: c.fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 7))}
			latest = max(latest, s.FailedBeforeExpiry(took, expiresIn))
			s.FailedBeforeExpiry(took, expiresIn)
			later = max(later, s.FailedBeforeExpiry(took, expiresIn))
		}
		if latest > c.most || c.fleet == 300 && later < 2*expiresIn {
			t.Errorf("one of %d calls again up to %v later, and up to %v after two more failures", c.fleet, latest, later)
		}
	}
}
