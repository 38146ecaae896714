package backoff

import (
	"math/rand/v2"
	"testing"
	"time"
)

// One coordinator, or a few, wait for nobody; after a failure they pause just long enough not to call without end.
func TestFewCoordinatorsDoNotWait(t *testing.T) {
	for fleet := range 5 {
		s := &Schedule{FleetSize: fleet, Rand: rand.New(rand.NewPCG(7, 7))}
		if d := s.FirstDelay(); d != 0 {
			t.Errorf("%d coordinators: the first call waits %v", fleet, d)
		}
		if d := s.Failed(0); d != minFailureDelay {
			t.Errorf("%d coordinators: after a failure %v", fleet, d)
		}
	}
}

// A coordinator loses its watch, perhaps together with the whole fleet. That says nothing of what discovery can answer:
// whatever the size of the fleet, the coordinator calls within MaxSpread, and not all call together.
func TestCallsWithinMaxSpreadOfLostWatch(t *testing.T) {
	for _, fleet := range []int{1, 80, 300} {
		s := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 3))}
		sum := time.Duration(0)
		for range 100 {
			d := s.WatchLostDelay()
			if sum += d; d >= MaxSpread {
				t.Fatalf("one of %d calls %v after its watch was lost", fleet, d)
			}
		}
		if fleet >= 80 && sum < 30*MaxSpread {
			t.Errorf("one of %d waits %v in the mean: all call together", fleet, sum/100)
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

// Discovery fails calls after 0.4 s, sooner than assumed. That is its service time-out, so fewer calls may queue there
// and the fleet is spread over more time. Neither a call that fails later nor one that fails at once changes that.
func TestLearnsShortestServiceTimeout(t *testing.T) {
	s := &Schedule{FleetSize: 20, Rand: rand.New(rand.NewPCG(1, 6))}
	assumed := longestFirstDelay(s)
	s.Failed(400 * time.Millisecond)
	learned := longestFirstDelay(s)
	if learned <= assumed || learned-assumed > 500*time.Millisecond {
		t.Errorf("service time-out of 0.4 s: 20 wait for up to %v, %v before", learned, assumed)
	}
	s.Failed(2 * time.Second) // it waited longer, whatever the cause
	s.Failed(0)               // it was not queued at all
	if d := longestFirstDelay(s); d < learned*9/10 || d > learned*11/10 {
		t.Errorf("the shorter time-out is forgotten: %v, then %v", learned, d)
	}
}

// A coordinator with an agent shares it with nobody, so it neither spreads its calls nor waits long for answers.
func TestAgentIsCalledWithoutSpreading(t *testing.T) {
	s := &Schedule{FleetSize: 300, UsesAgent: true, Rand: rand.New(rand.NewPCG(1, 6))}
	first, lost, failed, timeout := s.FirstDelay(), s.WatchLostDelay(), s.Failed(time.Second), s.AnswerTimeout()
	const longest = 100 * time.Millisecond
	if first > 0 || lost > longest || failed > longest || timeout > 300*time.Millisecond {
		t.Errorf("first call after %v, after a lost watch %v, after a failure %v, answer awaited for %v",
			first, lost, failed, timeout)
	}
}
