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
	// errUnavailable is discovery's answer that it is down, or that a call has waited too long.
	errUnavailable = errors.New("platform: discovery answered 503")
	// errUnreadableList is returned for an answer that is no endpoint list.
	errUnreadableList = errors.New("platform: unreadable list")
	// errListWentBack is returned for changes up to a version that is older than the one that is known.
	errListWentBack = errors.New("platform: the list went back")
)

// statusError is an answer of discovery with a status that no call is to have.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("platform: discovery answered %d", e.status) }

// pollFailure is a call to discovery that brought no list.
type pollFailure struct {
	watch bool          // a watch brought no answer; false for a first call, and for an answer that could not be used
	began time.Duration // when the call began, on the coordinator's clock
	took  time.Duration // how long discovery kept it; 0 for an answer that could not be used
	err   error
}

func (f *pollFailure) Error() string {
	if f.watch {
		return fmt.Sprintf("platform: the watch was lost after %v: %v", f.took.Round(time.Millisecond), f.err)
	}
	return f.err.Error()
}

func (f *pollFailure) Unwrap() error { return f.err }

// unreachable reports whether the call has shown that discovery cannot be reached: nobody accepted the connection,
// discovery itself said that it is unavailable, or the call was ended at once. One that was accepted, waited, and
// then broke or brought nothing shows no such thing, and a watch that ends says nothing of other calls.
func (f *pollFailure) unreachable() bool {
	var op *net.OpError
	if errors.As(f.err, &op) && op.Op == "dial" {
		return !isLocalFault(f.err)
	}
	if f.watch {
		return false
	}
	return errors.Is(f.err, errUnavailable) || f.took < backoff.ImmediateFailure && endedWithoutAnswer(f.err)
}

// endedWithoutAnswer reports whether a call ended without any byte of an answer.
func endedWithoutAnswer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// localFaults are errors of a connect for want of something on this machine.
var localFaults = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
}

// isLocalFault reports whether a connection could not be had for want of something on this machine, which says
// nothing of the other side.
func isLocalFault(err error) bool {
	for _, fault := range localFaults {
		if errors.Is(err, fault) {
			return true
		}
	}
	return false
}
