package retry

import (
	"errors"
	"fmt"
	"strings"
)

// IdempotencyKeyHeader is the name of the header in which clients of the platform front and of the OpenSearch front
// send the idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// MaxKeyLength is the length of the longest valid key, in bytes. All valid characters take one byte.
const MaxKeyLength = 128

// keyPunctuation lists the characters that a key may contain besides letters and digits. A comma, an equals sign or a
// space would end the key in a frame, package platform's message to a replica, which carries the key in a list such as
// "d=20,k=key". HTTP servers differ in how they read quotation marks, so a replica might read another key than the one
// sent.
const keyPunctuation = "-._~+/:"

// Errors of Policy.Key. Their texts are sent to the client, so each names the header.
var (
	// ErrMissingKey is the error for a request without the header.
	ErrMissingKey = errors.New(IdempotencyKeyHeader + " is missing: this class requires one")
	// ErrRepeatedKey is the error for a request with several lines of the header.
	ErrRepeatedKey = errors.New(IdempotencyKeyHeader + " stands more than once")
	// ErrEmptyKey is the error for an empty key.
	ErrEmptyKey = errors.New(IdempotencyKeyHeader + " is empty")
	// ErrLongKey is the error for a key of more than MaxKeyLength bytes, even if it also has characters that are not
	// allowed.
	ErrLongKey = fmt.Errorf("%s is longer than %d characters", IdempotencyKeyHeader, MaxKeyLength)
	// ErrMalformedKey is the error for a key with a character that is not allowed in keys.
	ErrMalformedKey = errors.New(IdempotencyKeyHeader + " may hold letters, digits and " + keyPunctuation + " only")
)

// RequiresKey reports whether queries of the class must have an idempotency key. Every attempt of their parts carries
// that key.
func (p Policy) RequiresKey() bool { return p.Idempotency == Keyed }

// Key returns the idempotency key that the attempts of a query carry. values holds the value of each
// IdempotencyKeyHeader line in the request. In a class that is not Keyed, Key ignores values and returns an empty key.
// The error is one of the Err...Key variables.
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
	case strings.ContainsFunc(key, isInvalidInKey):
		return "", ErrMalformedKey
	}
	return key, nil
}

// isInvalidInKey reports whether a character is not allowed in keys.
func isInvalidInKey(c rune) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	digit := c >= '0' && c <= '9'
	return !letter && !digit && !strings.ContainsRune(keyPunctuation, c)
}
