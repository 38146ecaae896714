package ratelimit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// reader calls for a transfer until the bucket admits it.
type reader struct {
	callsAt time.Duration
	calls   int
}

// admissions records when readers were admitted, in order, and how often they called.
type admissions struct {
	at       []time.Duration
	maxCalls int // most calls of one reader
	calls    int // calls of all readers
}

// simulate has readers call for a transfer at the given instants, and again after each wait, each up to 5 ms late.
func simulate(rate, bytes int, arrivals []time.Duration, random *rand.Rand) (result admissions) {
	var due []reader
	for _, at := range arrivals {
		due = append(due, reader{callsAt: at})
	}
	bucket := NewTokenBucket(rate, 0)
	for len(due) > 0 {
		slices.SortStableFunc(due, func(a, b reader) int { return int(a.callsAt - b.callsAt) })
		next := due[0]
		due = due[1:]
		next.calls++
		result.calls++
		result.maxCalls = max(result.maxCalls, next.calls)
		wait, ok := bucket.Admit(next.callsAt, bytes, random.Float64())
		if ok {
			result.at = append(result.at, next.callsAt)
			continue
		}
		next.callsAt += wait + time.Duration(random.Float64()*float64(5*time.Millisecond))
		due = append(due, next)
	}
	return result
}

// All readers of one relay start at one instant. They have their lists in about the time that the rate needs for the
// bytes, and make few calls.
func TestFleetThatStartsAtOnceIsServedAtTheRate(t *testing.T) {
	const rate, bytes, fleet = 18_000_000, 940_000, 150
	result := simulate(rate, bytes, make([]time.Duration, fleet), rand.New(rand.NewPCG(1, 1)))
	needed := fleet * bytes * time.Second / rate
	last := result.at[fleet-1]
	if last > needed+500*time.Millisecond || last < needed-time.Second {
		t.Errorf("last of %d readers admitted after %v; the rate needs %v", fleet, last, needed)
	}
	if result.maxCalls > 12 || result.calls > 3*fleet {
		t.Errorf("%d readers: up to %d calls of one reader, %d calls of all", fleet, result.maxCalls, result.calls)
	}
}

// relayReader is a reader that calls two relays in turn.
type relayReader struct {
	preferred int              // index of the relay that the reader calls first
	callsAt   [2]time.Duration // earliest instant at which the reader may call each relay
}

// admittedBy calls a relay if the reader may call it now, and reports whether the relay admits the reader.
func (r *relayReader) admittedBy(b *TokenBucket, relay int, now time.Duration, bytes int, random *rand.Rand) bool {
	if r.callsAt[relay] > now {
		return false
	}
	wait, admitted := b.Admit(now, bytes, random.Float64())
	r.callsAt[relay] = now + wait
	return admitted
}

// Readers call two relays in turn and have reservations at both. Neither relay becomes idle while readers wait.
func TestReservationsAtTwoRelaysLeaveNeitherIdle(t *testing.T) {
	const rate, bytes, fleet = 18_000_000, 940_000, 300
	random := rand.New(rand.NewPCG(2, 2))
	relays := []*TokenBucket{NewTokenBucket(rate, 0), NewTokenBucket(rate, 0)}
	waiting := make([]relayReader, fleet)
	for i := range waiting {
		waiting[i].preferred = i % 2
	}
	last := time.Duration(0)
	for now := time.Duration(0); len(waiting) > 0 && now < time.Minute; now += time.Millisecond {
		var rejected []relayReader
		for _, r := range waiting {
			first, second := r.preferred, 1-r.preferred
			if r.admittedBy(relays[first], first, now, bytes, random) ||
				r.admittedBy(relays[second], second, now, bytes, random) {
				last = now
				continue
			}
			rejected = append(rejected, r)
		}
		waiting = rejected
	}
	if needed := fleet * bytes * time.Second / (2 * rate); last > needed+time.Second {
		t.Errorf("last of %d readers admitted after %v; the rate needs %v", fleet, last, needed)
	}
}

// Readers arrive at random instants. In any span of time, the admitted bytes are at most those that the rate allows
// plus the saved tokens and one transfer. All readers are admitted in the end.
func TestRateHoldsInAnySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.IntRange(1_000, 1_000_000).Draw(t, "rate")
		bytes := rapid.IntRange(1, rate).Draw(t, "bytes")
		var arrivals []time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "readers") {
			arrivals = append(arrivals, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
		}
		admitted := simulate(rate, bytes, arrivals, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))).at
		for i, from := range admitted {
			for j, to := range admitted[i:] {
				sent := float64((j + 1) * bytes)
				if allowed := float64(rate)*((to-from)+burstTime).Seconds() + float64(bytes) + 1; sent > allowed {
					t.Fatalf("%v bytes admitted from %v to %v, %v allowed", sent, from, to, allowed)
				}
			}
		}
	})
}

// A bucket is overdrawn by more tokens than the rate adds within MaxWait. It rejects readers with a wait of at most
// MaxWait.
func TestWaitIsBoundedByMaxWait(t *testing.T) {
	bucket := NewTokenBucket(1000, 0)
	bucket.Charge(0, 100_000)
	for range 1000 {
		if wait, ok := bucket.Admit(0, 1000, 0.999); ok || wait <= 0 || wait > MaxWait {
			t.Fatalf("wait %v, admitted %t; want a rejection with a wait of at most MaxWait", wait, ok)
		}
	}
}
