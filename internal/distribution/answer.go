package distribution

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

// AgeMillisecondsHeader is the header that states an answer's staleness in whole milliseconds. The standard Age header
// states it in seconds. The name is in canonical form.
const AgeMillisecondsHeader = "Age-Ms"

// Standard headers of an answer that a reader uses.
const (
	ageHeader        = "Age"         // staleness, in whole seconds
	retryAfterHeader = "Retry-After" // when a busy source should be called again, in seconds
)

const (
	// maxNameBytes is the size limit of an entry's name.
	maxNameBytes = 256
	// defaultRetryAfter is the wait before the next call to a busy source whose answer has no valid Retry-After header.
	defaultRetryAfter = 500 * time.Millisecond
	// maxRetryAfter bounds the wait that a Retry-After header asks for.
	maxRetryAfter = 10 * time.Second
)

// ErrInvalid is wrapped by the error for an answer that cannot be parsed or that Config.Check rejects.
var ErrInvalid = errors.New("distribution: invalid answer")

// busyError reports an answer with status 503: the source cannot serve the call now.
type busyError struct{ retryAfter time.Duration }

func (e busyError) Error() string {
	return fmt.Sprintf("distribution: the source is busy, retry after %v", e.retryAfter)
}

// statusError reports an answer with a status code other than 200, 409 and 503. The protocol has no other status code
// for a Follower's calls.
type statusError struct{ status int }

func (e statusError) Error() string {
	return fmt.Sprintf("distribution: the source answered with status %d", e.status)
}

// parseAnswer returns the slice that an answer carries. The error is a busyError or a statusError, or wraps ErrInvalid
// or follower.ErrBehind.
func parseAnswer(m *http1.Message) (versionlog.Slice, error) {
	switch m.Status {
	case http1.StatusOK:
		return decode(m.Body)
	case http1.StatusServiceUnavailable: // the source has no version yet, or no capacity for this call
		return versionlog.Slice{}, busyError{retryAfter(m)}
	case http1.StatusConflict: // the reader has a newer version than the source
		return versionlog.Slice{}, fmt.Errorf("%w: the source answered with status %d", follower.ErrBehind, m.Status)
	}
	return versionlog.Slice{}, statusError{m.Status}
}

// decode parses an answer's body. The error wraps ErrInvalid. A discovery service without epochs does not number its
// entries, so decode gives each of them the answer's index.
func decode(body []byte) (versionlog.Slice, error) {
	slice, err := versionlog.ParseSlice(body)
	if err != nil {
		return slice, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if slice.Version.Epoch == 0 {
		slice.NewestIndex, slice.Base = slice.Version.Index, 0
		for i := range slice.Entries {
			slice.Entries[i].Index = slice.Version.Index
		}
	}
	for _, e := range slice.Entries {
		if e.Name == "" || len(e.Name) > maxNameBytes {
			return slice, fmt.Errorf("%w: an entry's name has %d bytes", ErrInvalid, len(e.Name))
		}
	}
	return slice, nil
}

// answerFields are the header fields of an answer that a reader uses.
var answerFields = []string{AgeMillisecondsHeader, ageHeader, retryAfterHeader}

// stalenessOf returns the staleness that an answer states: how long ago the source last knew that it had the
// authority's newest version. It returns 0 if the answer states none. Older relays send the Age header only, in whole
// seconds.
func stalenessOf(m *http1.Message) time.Duration {
	if milliseconds, err := strconv.ParseUint(m.Header.Get(AgeMillisecondsHeader), 10, 41); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}
	seconds, err := strconv.ParseUint(m.Header.Get(ageHeader), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retryAfter returns how long to wait before the next call to a busy source.
func retryAfter(m *http1.Message) time.Duration {
	seconds, err := strconv.ParseFloat(m.Header.Get(retryAfterHeader), 64)
	if err != nil || !(seconds >= 0) {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
