package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// After a silent watch, after an unanswered call, and after a reload that names another service, the longest waits for
// an answer add up to less than the time until changes count as notified. Fleets that discovery can answer in time
// keep to these waits.
func TestPartsFitBeforeChangesCountAsNotified(t *testing.T) {
	if sum := WatchHold + WatchSilence + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("silent watch: the coordinator has its answer only after %v", sum)
	}
	if sum := CallTimeout + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("unanswered call: the coordinator has its answer only after %v", sum)
	}
	if sum := reloadCallTimeout + reloadMaxSpread + reloadCallTimeout; sum >= NotifiedAfterReload {
		t.Errorf("reload: the coordinator has the new service's answer only after %v", sum)
	}
	for _, fleet := range []int{1, 6, 20, 30} { // fleets that discovery can answer within half of NotifiedAfter
		s := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 5))}
		for i := range 200 {
			if d := s.Failed(time.Duration(i%3) * time.Second); d < minFailureDelay || d >= MaxSpread {
				t.Fatalf("fleet of %d: delay of %v after a failed call", fleet, d)
			}
			s.ServiceChanged()
			d := s.Failed(s.AnswerTimeout())
			if s.AnswerTimeout() != reloadCallTimeout || d >= reloadMaxSpread {
				t.Fatalf("fleet of %d: time-out of %v at a new service, then delay of %v", fleet, s.AnswerTimeout(), d)
			}
			s.Succeeded()
		}
	}
}

// Changes count as notified to a process that has not called after ListMaxAge. In a fleet of any size, the first call
// comes within half of ListMaxAge and the delay after a failed call is shorter than ListMaxAge. The first calls of the
// fleet are still spread over the time.
func TestCallsBeforeListMaxAgeIsOver(t *testing.T) {
	const listMaxAge = 10 * time.Second
	for _, fleet := range []int{80, 300, 2000} {
		inTwentieth := [10]int{} // first calls in each twentieth of listMaxAge
		for i := range fleet {
			s := &Schedule{FleetSize: fleet, ListMaxAge: listMaxAge, Rand: rand.New(rand.NewPCG(uint64(i), 2))}
			first := s.FirstDelay()
			if first >= listMaxAge/2 {
				t.Fatalf("fleet of %d: first call after %v", fleet, first)
			}
			inTwentieth[first*20/listMaxAge]++
			for range 8 {
				if d := s.Failed(2 * time.Second); d >= listMaxAge {
					t.Fatalf("fleet of %d: delay of %v after a failed call", fleet, d)
				}
			}
		}
		for i, n := range inTwentieth {
			if n > fleet/5 {
				t.Errorf("%d first calls of %d in twentieth %d of listMaxAge: %v", n, fleet, i, inTwentieth)
			}
		}
	}
}

// The incident of 2026-12-02: a coordinator in a fleet of 35 has a list that was confirmed 3.6 s ago when a call fails
// after 0.93 s. The next call must be early enough for an answer before the list expires. In a fleet that discovery
// cannot answer by then, no coordinator shortens its delay, because its call would only make other calls fail.
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
			t.Errorf("fleet of %d: delay of up to %v, and up to %v after two more failures", c.fleet, latest, later)
		}
	}
}
