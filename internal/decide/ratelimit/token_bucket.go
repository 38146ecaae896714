// Package ratelimit decides which readers may begin a large transfer now, and when the others are to call again. A
// fleet that calls at one instant is served as fast as the rate allows, and few calls are in vain.
//
// # Contract
//
// A TokenBucket is for one goroutine at a time. It has no clock: now is a reading of the caller's monotonic clock, and
// it draws no random numbers of its own.
//
// A reservation is a time at which rejected readers are to call again. It promises no tokens: a reader that calls
// sooner, or on time but before another one, takes what there is.
package ratelimit

import "time"

// MaxWait is the longest time that a reader is told to wait before it calls again.
const MaxWait = 10 * time.Second

const (
	// burstTime bounds the unused tokens that are saved, as the time in which the rate brings them.
	burstTime = 500 * time.Millisecond
	// readersPerReservation is how many readers are given the same time to call again. Some of them are served by other
	// sources until then. A reader that finds the bucket empty again loses one short call; a time at which no reader
	// calls is lost for all.
	readersPerReservation = 2
	// reservationMargin is added to each wait, so that a reader on time finds tokens although a bucket that has just
	// been filled up to 0 admits nobody.
	reservationMargin = time.Millisecond
)

// TokenBucket limits transfers to a rate in bytes a second. A transfer is admitted while tokens are left, and may take
// them below 0. Rejected readers are given successive times to call again. Use NewTokenBucket.
type TokenBucket struct {
	rate          float64       // tokens a second; a token is one byte
	tokens        float64       // bytes that may be sent now; below 0 while earlier transfers have used up more
	updatedAt     time.Duration // instant at which tokens was right
	reservedUntil time.Duration // instant up to which the rate is reserved for rejected readers
}

// NewTokenBucket returns a full bucket at now.
func NewTokenBucket(bytesPerSecond int, now time.Duration) *TokenBucket {
	rate := float64(bytesPerSecond)
	return &TokenBucket{rate: rate, tokens: rate * burstTime.Seconds(), updatedAt: now, reservedUntil: now}
}

// Admit takes the tokens of a transfer of so many bytes, or returns how long its reader is to wait before it calls
// again. Where the reservations go beyond MaxWait, the wait is drawn from the second half of MaxWait. draw is a random
// number in [0, 1).
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

// Charge takes the tokens of bytes that are sent whatever the rate is.
func (b *TokenBucket) Charge(now time.Duration, bytes int) {
	b.refill(now)
	b.tokens -= float64(bytes)
}

// refill adds the tokens of the time since the last refill, up to those of burstTime.
func (b *TokenBucket) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.tokens = min(b.tokens+b.rate*(now-b.updatedAt).Seconds(), b.rate*burstTime.Seconds())
	b.updatedAt = now
}

// timeFor returns the time in which the rate brings so many bytes.
func (b *TokenBucket) timeFor(bytes float64) time.Duration {
	return time.Duration(bytes / b.rate * float64(time.Second))
}
