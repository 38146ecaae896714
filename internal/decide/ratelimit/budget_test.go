package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// play lets readers ask for a transfer at given instants and come back when they are told to, each a little late; it
// returns when each was admitted, how often the most patient one has asked, and how often all of them.
func play(rate, bytes int, arrivals []time.Duration, random *rand.Rand) (admitted []time.Duration, mostCalls, allCalls int) {
	type reader struct {
		at    time.Duration
		calls int
	}
	var due []reader
	for _, at := range arrivals {
		due = append(due, reader{at: at})
	}
	budget := NewTokenBucket(rate, 0)
	for len(due) > 0 {
		slices.SortStableFunc(due, func(a, b reader) int { return int(a.at - b.at) })
		next := due[0]
		due = due[1:]
		next.calls++
		allCalls++
		mostCalls = max(mostCalls, next.calls)
		wait, ok := budget.Admit(next.at, bytes, random.Float64())
		if ok {
			admitted = append(admitted, next.at)
			continue
		}
		next.at += wait + time.Duration(random.Float64()*float64(5*time.Millisecond))
		due = append(due, next)
	}
	return admitted, mostCalls, allCalls
}

// The readers of one relay, all started in one instant, have their lists in about the time that the bytes take, with
// few calls.
func TestFleetStartsAtOnce(t *testing.T) {
	const rate, bytes, fleet = 18_000_000, 940_000, 150
	admitted, calls, all := play(rate, bytes, make([]time.Duration, fleet), rand.New(rand.NewPCG(1, 1)))
	least := fleet * bytes * time.Second / rate
	if last := admitted[fleet-1]; last > least+500*time.Millisecond || last < least-time.Second || calls > 12 || all > 3*fleet {
		t.Errorf("the last of %d was admitted after %v, at least %v are needed; one asked %d times, all %d", fleet, last, least, calls, all)
	}
}

// Readers that ask two relays in turn, and have places at both, leave neither idle.
func TestPlacesAtTwoRelays(t *testing.T) {
	const rate, bytes, fleet = 18_000_000, 940_000, 300
	random := rand.New(rand.NewPCG(2, 2))
	budgets := []*TokenBucket{NewTokenBucket(rate, 0), NewTokenBucket(rate, 0)}
	type reader struct {
		first int              // the relay that it prefers
		retry [2]time.Duration // when it may ask each
	}
	waiting := make([]reader, fleet)
	for i := range waiting {
		waiting[i].first = i % 2
	}
	last := time.Duration(0)
	ask := func(r *reader, relay int, now time.Duration) (admitted bool) {
		if r.retry[relay] > now {
			return false
		}
		wait, admitted := budgets[relay].Admit(now, bytes, random.Float64())
		r.retry[relay] = now + wait
		return admitted
	}
	for now := time.Duration(0); len(waiting) > 0 && now < time.Minute; now += time.Millisecond {
		var refused []reader
		for _, r := range waiting {
			if ask(&r, r.first, now) || ask(&r, 1-r.first, now) {
				last = now
				continue
			}
			refused = append(refused, r)
		}
		waiting = refused
	}
	if least := fleet * bytes * time.Second / (2 * rate); last > least+time.Second {
		t.Errorf("the last of %d was admitted after %v, at least %v are needed", fleet, last, least)
	}
}

// Whatever comes when: in no span of time more is admitted than the rate allows, with the saved bytes and one transfer;
// everybody is admitted in the end, and no wait is over the longest.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1_000, 1_000_000).Draw(t, "rate")
		bytes := rapid.IntRange(1, rate).Draw(t, "bytes")
		var arrivals []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "readers") {
			arrivals = append(arrivals, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
		}
		admitted, _, _ := play(rate, bytes, arrivals, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		for i, from := range admitted {
			for j, to := range admitted[i:] {
				sent := float64((j + 1) * bytes)
				if allowed := float64(rate)*((to-from)+burstTime).Seconds() + float64(bytes) + 1; sent > allowed {
					t.Fatalf("%v bytes from %v to %v, %v allowed", sent, from, to, allowed)
				}
			}
		}
	})
}

func TestWaitIsBounded(t *testing.T) {
	budget := NewTokenBucket(1000, 0)
	budget.Charge(0, 100_000)
	for range 1000 {
		if wait, ok := budget.Admit(0, 1000, 0.999); ok || wait <= 0 || wait > MaxWait {
			t.Fatalf("wait %v, admitted %t", wait, ok)
		}
	}
}
