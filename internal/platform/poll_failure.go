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

// evidence is what a failed call shows of discovery. Changes of the list count as notified some time after discovery
// had them and could be reached, so only a call that shows that it could not be reached lets the list hold longer.
//
//	how the call ended                          what it can mean                       evidence
//	connection refused, no route, not taken     nobody is there                        provesUnreachable
//	no socket or port of our own to be had      a fault of this machine                provesNothing
//	503, at once or late                        down; or a full queue; or a long wait  mayBeCrowded
//	ended without an answer at once             down; or a full queue                  mayBeCrowded
//	ended without an answer after a wait        it was accepted, and waited            provesNothing
//	no answer, a broken or unreadable one       it was accepted                        provesNothing
//	a watch that ended or stayed silent         says nothing of other calls            provesNothing
//
// What would tell a crowded discovery from one that is down is not to be had here: watches end when it goes down, but
// also by themselves, and nothing tells one coordinator that others are answered.
type evidence int

const (
	provesNothing     evidence = iota // discovery may have been reached
	mayBeCrowded                      // discovery is down, or it rejects some calls and answers others
	provesUnreachable                 // nobody could have reached discovery
)

// evidence returns what the call shows.
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
		return mayBeCrowded
	}
	return provesNothing
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
