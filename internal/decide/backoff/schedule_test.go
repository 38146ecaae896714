package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A fleet of one or a few coordinators does not spread its calls. After a failure each coordinator waits for
// minFailureDelay, so that it does not call without a pause.
func TestFewCoordinatorsDoNotWait(t *testing.T) {
	for fleet := range 5 {
		s := &Schedule{FleetSize: fleet, Rand: rand.New(rand.NewPCG(7, 7))}
		if d := s.FirstDelay(); d != 0 {
			t.Errorf("%d coordinators: delay of %v before the first call", fleet, d)
		}
		if d := s.Failed(0); d != minFailureDelay {
			t.Errorf("%d coordinators: delay of %v after a failed call", fleet, d)
		}
	}
}

// A coordinator loses its watch, perhaps together with the whole fleet. A lost watch does not show discovery's load, so
// the coordinator calls within MaxSpread in a fleet of any size. The calls of a large fleet are still spread.
func TestCallsWithinMaxSpreadOfLostWatch(t *testing.T) {
	for _, fleet := range []int{1, 80, 300} {
		s := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 3))}
		sum := time.Duration(0)
		for range 100 {
			d := s.WatchLostDelay()
			if sum += d; d >= MaxSpread {
				t.Fatalf("fleet of %d: delay of %v after a lost watch", fleet, d)
			}
		}
		if fleet >= 80 && sum < 30*MaxSpread {
			t.Errorf("fleet of %d: mean delay of %v after a lost watch; calls are not spread", fleet, sum/100)
		}
	}
}

// longestFirstDelay is the longest of many first delays.
func longestFirstDelay(s *Schedule) (longest time.Duration) {
	for range 200 {
		longest = max(longest, s.FirstDelay())
	}
	return longest
}

// Discovery fails calls after 0.4 s, sooner than assumed. This becomes the service time-out, so fewer calls may wait in
// discovery's queue and the fleet is spread over more time. A call that fails later or at once does not change it.
func TestLearnsShortestServiceTimeout(t *testing.T) {
	s := &Schedule{FleetSize: 20, Rand: rand.New(rand.NewPCG(1, 6))}
	assumed := longestFirstDelay(s)
	s.Failed(400 * time.Millisecond)
	learned := longestFirstDelay(s)
	if learned <= assumed || learned-assumed > 500*time.Millisecond {
		t.Errorf("service time-out of 0.4 s: longest first delay %v, was %v", learned, assumed)
	}
	s.Failed(2 * time.Second) // the call waited longer, for any reason
	s.Failed(0)               // the call was not queued
	if d := longestFirstDelay(s); d < learned*9/10 || d > learned*11/10 {
		t.Errorf("shortest service time-out not kept: longest first delay was %v, is now %v", learned, d)
	}
}

// An agent serves only one coordinator, so the coordinator neither spreads its calls nor waits long for answers.
func TestAgentIsCalledWithoutSpreading(t *testing.T) {
	s := &Schedule{FleetSize: 300, UsesAgent: true, Rand: rand.New(rand.NewPCG(1, 6))}
	first, lost, failed, timeout := s.FirstDelay(), s.WatchLostDelay(), s.Failed(time.Second), s.AnswerTimeout()
	const longest = 100 * time.Millisecond
	if first > 0 || lost > longest || failed > longest || timeout > 300*time.Millisecond {
		t.Errorf("delay of %v before the first call, %v after a lost watch, %v after a failure; answer time-out %v",
			first, lost, failed, timeout)
	}
}
