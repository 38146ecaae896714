// Package retry decides whether and until when a part of a query may be sent again, and which idempotency key its
// attempts carry. It holds no state: nothing of one query counts for another, a client's retry included.
package retry

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// Idempotency tells how a class of query bears that one of its parts runs more than once.
type Idempotency int

// The kinds of class.
const (
	Idempotent    Idempotency = iota // a part may run any number of times
	Keyed                            // data nodes drop a repeat that carries the same key, for the class's window
	NonIdempotent                    // a part that may have run is never sent again
)

// IdempotencyKeyHeader names the header in which clients hand over their idempotency key, on either front.
const IdempotencyKeyHeader = "Idempotency-Key"

// MaxKeyLength is the length of the longest key that is taken, in bytes.
const MaxKeyLength = 128

// keyCharacters are those that a key may hold besides letters and digits. A comma, an equals sign or a space would end the
// key in the list that a frame carries, and a quotation mark would be read differently by different HTTP servers.
const keyCharacters = "-._~+/:"

// Errors of Policy.Key. Their texts name the header, for they are told to the client.
var (
	ErrMissingKey   = errors.New(IdempotencyKeyHeader + " is missing: this class requires one")
	ErrRepeatedKey  = errors.New(IdempotencyKeyHeader + " stands more than once")
	ErrEmptyKey     = errors.New(IdempotencyKeyHeader + " is empty")
	ErrLongKey      = fmt.Errorf("%s is longer than %d characters", IdempotencyKeyHeader, MaxKeyLength)
	ErrMalformedKey = errors.New(IdempotencyKeyHeader + " may hold letters, digits and " + keyCharacters + " only")
)

// Policy is what the settings say of repeats in a class.
type Policy struct {
	Idempotency Idempotency
	DedupWindow time.Duration // Guarded: how long data nodes drop repeats
}

// RequiresKey tells whether queries of the class have an idempotency key, which every attempt of their parts carries.
func (p Policy) RequiresKey() bool { return p.Idempotency == Keyed }

// Key returns the key that the attempts of a query carry, given the values of its Header field, one for each line. It is
// empty, whatever the client sent, in a class that is not keyed.
func (p Policy) Key(values []string) (string, error) {
	if !p.RequiresKey() {
		return "", nil
	}
	switch {
	case len(values) == 0:
		return "", ErrMissingKey
	case len(values) > 1:
		return "", ErrRepeatedKey
	}
	key := values[0]
	switch {
	case key == "":
		return "", ErrEmptyKey
	case len(key) > MaxKeyLength:
		return "", ErrLongKey
	case strings.ContainsFunc(key, notInKey):
		return "", ErrMalformedKey
	}
	return key, nil
}

// notInKey tells whether a character may not stand in a key.
func notInKey(c rune) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	digit := c >= '0' && c <= '9'
	return !letter && !digit && !strings.ContainsRune(keyCharacters, c)
}

// The bounds of Until where time decides nothing.
const (
	Unlimited = time.Duration(math.MaxInt64)
	Never     = time.Duration(math.MinInt64)
)

// RetryableUntil returns the last moment at which another attempt of a part may begin, where an earlier one may have run. firstRun
// is when the first of those was sent, on the clock of the result. A part of which no attempt may have run is not bound.
//
// The window counts from the first attempt of this query's part. A client's retry is a query of its own, with a window of
// its own, whatever its key: that its key is still remembered by the data nodes is for the client to know.
func (p Policy) RetryableUntil(firstRun time.Duration) time.Duration {
	switch p.Idempotency {
	case Idempotent:
		return Unlimited
	case Keyed:
		return firstRun + p.DedupWindow
	default:
		return Never
	}
}
