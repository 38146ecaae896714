package platform

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"harepass/internal/decide/backoff"
)

var (
	// errUnavailable is returned where discovery answers 503: it is down, or the call has waited too long.
	errUnavailable = errors.New("platform: discovery answered 503")
	// errUnreadableList is returned for an answer that is not an endpoint list.
	errUnreadableList = errors.New("platform: discovery's answer is not an endpoint list")
	// errOutdatedList is returned for changes up to a version that is older than the known one.
	errOutdatedList = errors.New("platform: discovery's changes are older than the known list")
)

// statusError is an answer of discovery with an unexpected status.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("platform: discovery answered %d", e.status) }

// pollFailure is a call to discovery that returned no usable list.
type pollFailure struct {
	watch bool          // a watch got no answer; false for a first call, and for an answer that could not be used
	began time.Duration // when the call began, on the coordinator's clock
	took  time.Duration // how long the call took; 0 for an answer that could not be used
	err   error
}

func (f *pollFailure) Error() string {
	if f.watch {
		return fmt.Sprintf("platform: watch of discovery lost after %v: %v", f.took.Round(time.Millisecond), f.err)
	}
	return f.err.Error()
}

func (f *pollFailure) Unwrap() error { return f.err }

// evidence is what a failed call proves about discovery. A change of the list counts as notified some time after
// discovery had it and could be reached. So a call extends the time for which the list may be used only if it proves
// that discovery could not be reached. lease.Rejected has the exceptions, for mayBeOverloaded.
//
//	how the call ended                          what it can mean                            evidence
//	connection refused, timed out, or no route  nothing accepts connections there           provesUnreachable
//	no local socket or port available           a fault of this machine                     provesNothing
//	503, at once or late                        down, or a full queue, or a long wait       mayBeOverloaded
//	ended without an answer at once             down, or a full queue                       mayBeOverloaded
//	ended without an answer after a wait        discovery accepted the call, and it waited  provesNothing
//	no answer, or a broken or unreadable one    discovery accepted the call                 provesNothing
//	a watch that ended or was not answered      nothing about other calls                   provesNothing
//	a watch that was answered 503               down: a watch waits for no turn             provesNothing (WatchRejected)
//
// A coordinator cannot distinguish an overloaded discovery from one that is down: watches end when discovery goes down,
// but also for other reasons, and a coordinator does not know whether discovery answers others.
type evidence int

const (
	provesNothing     evidence = iota // discovery may have been reachable
	mayBeOverloaded                   // discovery is down, or it rejects some calls and answers others
	provesUnreachable                 // no coordinator could have reached discovery
)

// evidence returns what the failed call proves.
func (f *pollFailure) evidence() evidence {
	var op *net.OpError
	switch {
	case errors.As(f.err, &op) && op.Op == "dial" && isLocalFault(f.err):
		return provesNothing
	case errors.As(f.err, &op) && op.Op == "dial":
		return provesUnreachable
	case f.watch:
		return provesNothing
	case errors.Is(f.err, errUnavailable), f.took < backoff.ImmediateFailure && endedWithoutAnswer(f.err):
		return mayBeOverloaded
	}
	return provesNothing
}

// endedWithoutAnswer reports whether a call ended without any byte of an answer.
func endedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// localFaults are the errors of a connect for which this machine lacks a resource.
var localFaults = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
}

// isLocalFault reports whether a connect failed because this machine lacks a resource, which proves nothing about the
// peer.
func isLocalFault(err error) bool {
	for _, fault := range localFaults {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}
