// Package ratelimit decides which readers may begin a large transfer now, and when the others should call again. It
// serves a fleet that calls at one instant as fast as the rate allows, and rejects few of the fleet's calls.
//
// # Contract
//
// A TokenBucket is for one goroutine at a time. It has neither a clock nor a random source: now is a reading of the
// caller's monotonic clock, and the caller draws the random numbers.
//
// A reservation is a time at which rejected readers should call again. It does not guarantee tokens: tokens go to the
// readers in the order of their calls, even to a reader that calls before its reservation.
package ratelimit

import "time"

// MaxWait is the longest time that a TokenBucket asks a reader to wait before it calls again.
const MaxWait = 10 * time.Second

const (
	// burstTime limits the unused tokens that a bucket saves to those that the rate adds in this time.
	burstTime = 500 * time.Millisecond
	// readersPerReservation is how many readers share one reservation. Other sources serve some of these readers before
	// their reservation. A reader that finds the bucket empty again loses one short call, whereas a reservation at
	// which no reader calls is capacity lost to all readers.
	readersPerReservation = 2
	// reservationMargin is added to each wait, because a bucket that has just been refilled to 0 tokens admits no
	// transfer. With the margin, a reader that calls on time finds tokens.
	reservationMargin = time.Millisecond
)

// TokenBucket limits transfers to a rate in bytes per second. It admits a transfer while it has tokens left, and the
// transfer may take the tokens below 0. It gives rejected readers successive times to call again. NewTokenBucket
// creates one.
type TokenBucket struct {
	rate          float64       // tokens per second; a token is one byte
	tokens        float64       // bytes that may be sent now; below 0 while earlier transfers have used more
	updatedAt     time.Duration // instant at which tokens was last refilled
	reservedUntil time.Duration // instant up to which the rate is reserved for rejected readers
}

// NewTokenBucket returns a bucket that is full at now.
func NewTokenBucket(bytesPerSecond int, now time.Duration) *TokenBucket {
	rate := float64(bytesPerSecond)
	return &TokenBucket{rate: rate, tokens: rate * burstTime.Seconds(), updatedAt: now, reservedUntil: now}
}

// Admit takes the tokens for a transfer of the given number of bytes, or returns how long the reader should wait before
// it calls again. If the next reservation is more than MaxWait away, Admit reserves no time and returns a random wait
// in the second half of MaxWait, which draw selects: a random number in [0, 1).
func (b *TokenBucket) Admit(now time.Duration, bytes int, draw float64) (wait time.Duration, admitted bool) {
	b.refill(now)
	if b.tokens > 0 {
		b.tokens -= float64(bytes)
		return 0, true
	}
	b.reservedUntil = max(b.reservedUntil, now+b.timeFor(-b.tokens))
	wait = b.reservedUntil - now + reservationMargin
	if wait > MaxWait {
		return MaxWait/2 + time.Duration(draw*float64(MaxWait/2)), false
	}
	b.reservedUntil += b.timeFor(float64(bytes)) / readersPerReservation
	return wait, false
}

// Charge takes the tokens for bytes that are sent regardless of the rate.
func (b *TokenBucket) Charge(now time.Duration, bytes int) {
	b.refill(now)
	b.tokens -= float64(bytes)
}

// refill adds the tokens for the time since the last refill, up to those for burstTime.
func (b *TokenBucket) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.rate*burstTime.Seconds())
	b.updatedAt = now
}

// timeFor returns the time in which the rate adds the tokens for the given number of bytes.
func (b *TokenBucket) timeFor(bytes float64) time.Duration {
	return time.Duration(bytes / b.rate * float64(time.Second))
}
