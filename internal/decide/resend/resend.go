// Package resend decides whether and until when a part of a query may be sent again, and which idempotency key its
// attempts carry. It holds no state: nothing of one query counts for another, a client's retry included.
package resend

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"
)

// Kind tells how a class of query bears that one of its parts runs more than once.
type Kind int

// The kinds of class.
const (
	Free       Kind = iota // a part may run any number of times
	Guarded                // data nodes drop a repeat that carries the same key, for the class's window
	SingleShot             // a part that may have run is never sent again
)

// Header names the header in which clients hand over their idempotency key, on either front.
const Header = "Idempotency-Key"

// MaxKeyLength is the length of the longest key that is taken, in bytes.
const MaxKeyLength = 128

// keyCharacters are those that a key may hold besides letters and digits. A comma, an equals sign or a space would end the
// key in the list that a frame carries, and a quotation mark would be read differently by different HTTP servers.
const keyCharacters = "-._~+/:"

// Errors of Policy.Key. Their texts name the header, for they are told to the client.
var (
	ErrMissingKey   = errors.New(Header + " is missing: this class requires one")
	ErrRepeatedKey  = errors.New(Header + " stands more than once")
	ErrEmptyKey     = errors.New(Header + " is empty")
	ErrLongKey      = fmt.Errorf("%s is longer than %d characters", Header, MaxKeyLength)
	ErrMalformedKey = errors.New(Header + " may hold letters, digits and " + keyCharacters + " only")
)

// Policy is what the settings say of repeats in a class.
type Policy struct {
	Kind   Kind
	Window time.Duration // Guarded: how long data nodes drop repeats
}

// Keyed tells whether queries of the class have an idempotency key, which every attempt of their parts carries.
func (p Policy) Keyed() bool { return p.Kind == Guarded }

// Key returns the key that the attempts of a query carry, given the values of its Header field, one for each line. It is
// empty, whatever the client sent, in a class that is not keyed.
func (p Policy) Key(values []string) (string, error) {
	if !p.Keyed() {
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
	Always = time.Duration(math.MaxInt64)
	Never  = time.Duration(math.MinInt64)
)

// Until returns the last moment at which another attempt of a part may begin, where an earlier one may have run. firstRun
// is when the first of those was sent, on the clock of the result. A part of which no attempt may have run is not bound.
//
// The window counts from the first attempt of this query's part. A client's retry is a query of its own, with a window of
// its own, whatever its key: that its key is still remembered by the data nodes is for the client to know.
func (p Policy) Until(firstRun time.Duration) time.Duration {
	switch p.Kind {
	case Free:
		return Always
	case Guarded:
		return firstRun + p.Window
	default:
		return Never
	}
}
