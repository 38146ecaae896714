// Package ratelimit decides which readers may begin a long transfer now and when the others come back, such that a fleet
// that asks in one instant is served as fast as the budget allows and nobody waits in vain. It reads no clock.
package ratelimit

import "time"

// MaxWait is the longest time that a reader is told to wait.
const MaxWait = 10 * time.Second

// burstTime is for how long unused bytes are saved.
const burstTime = 500 * time.Millisecond

// overbooking is how many readers are given the same place: some of them have been served elsewhere by then, and one that
// finds the bucket empty again loses a short call, while a place that nobody takes is lost for all.
const overbooking = 2

// TokenBucket is a token bucket of bytes. A transfer is admitted while the bucket is not empty and may take it below zero.
// Readers that are refused are given consecutive places in the time after that.
type TokenBucket struct {
	rate   float64       // bytes a second
	tokens float64       // bytes that may be sent now
	filled time.Duration // when tokens was right
	booked time.Duration // up to here readers have been given places
}

// NewTokenBucket returns a full budget of so many bytes a second at an instant.
func NewTokenBucket(bytesPerSecond int, now time.Duration) *TokenBucket {
	rate := float64(bytesPerSecond)
	return &TokenBucket{rate: rate, tokens: rate * burstTime.Seconds(), filled: now, booked: now}
}

// Admit takes a transfer of so many bytes, or returns how long its reader is to wait before it asks again. draw is
// a random number in [0, 1).
func (b *TokenBucket) Admit(now time.Duration, bytes int, draw float64) (wait time.Duration, admitted bool) {
	b.fill(now)
	if b.tokens > 0 {
		b.tokens -= float64(bytes)
		return 0, true
	}
	b.booked = max(b.booked, now+b.timeFor(-b.tokens))
	wait = b.booked - now + time.Millisecond
	if wait > MaxWait {
		return MaxWait/2 + time.Duration(draw*float64(MaxWait/2)), false
	}
	b.booked += b.timeFor(float64(bytes)) / overbooking
	return wait, false
}

// Charge takes bytes that are sent whatever the budget says.
func (b *TokenBucket) Charge(now time.Duration, bytes int) {
	b.fill(now)
	b.tokens -= float64(bytes)
}

func (b *TokenBucket) fill(now time.Duration) {
	if now <= b.filled {
		return
	}
	b.tokens = min(b.tokens+b.rate*(now-b.filled).Seconds(), b.rate*burstTime.Seconds())
	b.filled = now
}

func (b *TokenBucket) timeFor(bytes float64) time.Duration {
	return time.Duration(bytes / b.rate * float64(time.Second))
}
