// Package retry decides whether and until when the coordinator may send a part of a query again, and which idempotency
// key the attempts of the part carry. Package scatter decides how many retries are allowed, by the maximum number of
// attempts of a part and by the retry budget (attempts.go, retry_budget.go).
//
// # Contract
//
// A Policy is a value without state, and its methods may be called from any goroutine. Queries do not affect each
// other: a retry by the client is a separate query, even if it has the same key, and its deduplication window begins
// with its own attempts. Whether replicas drop it as a repeat is not decided here.
package retry

import (
	"math"
	"time"
)

// Idempotency states whether a part of a query may run more than once on replicas. It is a property of the query's
// class.
type Idempotency int

const (
	// Idempotent parts may run any number of times.
	Idempotent Idempotency = iota
	// Keyed parts carry an idempotency key. Replicas use it to drop repeats during the class's deduplication window.
	Keyed
	// NonIdempotent parts are never sent again after an attempt that may have run.
	NonIdempotent
)

// Policy is the retry settings of one class. The zero value is the policy of an idempotent class.
type Policy struct {
	Idempotency Idempotency
	DedupWindow time.Duration // how long replicas drop repeats in a Keyed class; not used in other classes
}

const (
	// AlwaysRetryable is the result of RetryableUntil for an idempotent class: an instant later than any other.
	AlwaysRetryable = time.Duration(math.MaxInt64)
	// NeverRetryable is the result of RetryableUntil for a non-idempotent class: an instant earlier than any other.
	NeverRetryable = time.Duration(math.MinInt64)
)

// RetryableUntil returns the last instant at which another attempt of a part may begin, that is, write its first byte,
// if an earlier attempt may have run. firstSent is the instant at which the first attempt that may have run was sent;
// the result is on the same clock. Callers apply the limit only to a part that has such an attempt.
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
