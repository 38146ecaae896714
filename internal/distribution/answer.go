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

// AgeMillisecondsHeader is the header with an answer's staleness in whole milliseconds, beside the standard Age in
// seconds. Its name is in the canonical form.
const AgeMillisecondsHeader = "Age-Ms"

const (
	// maxNameBytes is the size limit of an entry's name.
	maxNameBytes = 256
	// defaultRetryAfter is the wait for a busy source that does not say how long; maxRetryAfter bounds what it says.
	defaultRetryAfter = 500 * time.Millisecond
	maxRetryAfter     = 10 * time.Second
)

// ErrInvalid is wrapped by the errors of answers that cannot be read, or that the consumer's check rejects.
var ErrInvalid = errors.New("distribution: invalid answer")

// busyError is the error of an answer that says that the source has no capacity now.
type busyError struct{ retryAfter time.Duration }

func (e busyError) Error() string {
	return fmt.Sprintf("distribution: the source is busy for %v", e.retryAfter)
}

// statusError is the error of an answer with a status code that no source gives by the protocol.
type statusError struct{ status int }

func (e statusError) Error() string {
	return fmt.Sprintf("distribution: the source answered with status %d", e.status)
}

// parseAnswer returns the slice in an answer. The error is a busyError or a statusError, or wraps ErrInvalid or
// follower.ErrBehind.
func parseAnswer(m *http1.Message) (versionlog.Slice, error) {
	switch m.Status {
	case http1.StatusOK:
		return decode(m.Body)
	case http1.StatusServiceUnavailable: // it has nothing yet, or no capacity for this call
		return versionlog.Slice{}, busyError{retryAfter(m)}
	case http1.StatusConflict: // the reader has a newer version than the source
		return versionlog.Slice{}, fmt.Errorf("%w: it answered with status %d", follower.ErrBehind, m.Status)
	}
	return versionlog.Slice{}, statusError{m.Status}
}

// decode reads an answer's body; the error wraps ErrInvalid. Discovery services without epochs number no entries:
// theirs get the answer's index.
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

// stalenessOf returns how long ago the source last knew that it had the authority's newest version; 0 where its answer
// does not say so. Older relays give whole seconds alone.
func stalenessOf(m *http1.Message) time.Duration {
	if milliseconds, err := strconv.ParseUint(m.Header.Get(AgeMillisecondsHeader), 10, 41); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}
	seconds, err := strconv.ParseUint(m.Header.Get("Age"), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// retryAfter returns for how long a busy source asks to be left alone.
func retryAfter(m *http1.Message) time.Duration {
	seconds, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64)
	if err != nil || !(seconds >= 0) {
		return defaultRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
