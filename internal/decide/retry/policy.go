// Package retry decides whether and until when a part of a query may be sent again, and which idempotency key its
// attempts carry. How many retries there may be is decided in package scatter (retry_budget.go).
//
// # Contract
//
// A Policy is a value without state, and its methods may be called from any goroutine. Nothing of one query counts for
// another: a client's retry is a query of its own, with a deduplication window of its own, whatever its key is.
package retry

import (
	"math"
	"time"
)

// Idempotency is how a class of query bears that one of its parts runs more than once.
type Idempotency int

const (
	// Idempotent parts may run any number of times.
	Idempotent Idempotency = iota
	// Keyed parts carry an idempotency key, by which replicas drop repeats for the class's deduplication window.
	Keyed
	// NonIdempotent parts are never sent again once they may have run.
	NonIdempotent
)

// Policy is what the settings say of retries in one class. The zero value is that of an idempotent class.
type Policy struct {
	Idempotency Idempotency
	DedupWindow time.Duration // how long replicas drop repeats, in a Keyed class; without meaning in others
}

const (
	// AlwaysRetryable is the result of RetryableUntil for an idempotent class: an instant that never comes.
	AlwaysRetryable = time.Duration(math.MaxInt64)
	// NeverRetryable is the result of RetryableUntil for a non-idempotent class: an instant that has always passed.
	NeverRetryable = time.Duration(math.MinInt64)
)

// RetryableUntil returns the last instant at which another attempt of a part may begin if an earlier one may have run.
// firstSent is the instant at which the first of those that may have run was sent, and the result is on the same clock.
// A part of which no attempt may have run is not bound by it.
func (p Policy) RetryableUntil(firstSent time.Duration) time.Duration {
	switch p.Idempotency {
	case Idempotent:
		return AlwaysRetryable
	case Keyed:
		return firstSent + p.DedupWindow
	default:
		return NeverRetryable
	}
}
