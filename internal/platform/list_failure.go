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

// errUnavailable is discovery's answer that it is down, or that a call has waited too long.
var errUnavailable = errors.New("platform: discovery answered 503")

// listFailure is a call to discovery that brought no list.
type listFailure struct {
	watch bool
	began time.Duration // on the owner's clock
	took  time.Duration
	err   error
}

func (f *listFailure) Error() string {
	if f.watch {
		return fmt.Sprintf("platform: the watch was lost after %v: %v", f.took.Round(time.Millisecond), f.err)
	}
	return f.err.Error()
}

func (f *listFailure) Unwrap() error { return f.err }

// unreachable tells whether the call has found that discovery cannot be had: nobody took the connection, discovery itself said
// that it is unavailable, or the call was turned away at once. One that was taken, waited, and then broke or brought nothing
// says no such thing, and a watch that ends says nothing of other calls.
func (f *listFailure) unreachable() bool {
	var op *net.OpError
	if errors.As(f.err, &op) && op.Op == "dial" {
		return !localFault(f.err)
	}
	if f.watch {
		return false
	}
	return errors.Is(f.err, errUnavailable) || f.took < backoff.ImmediateFailure && turnedAway(f.err)
}

// turnedAway tells whether a call ended without any byte of a list.
func turnedAway(err error) bool {
	for _, end := range []error{io.EOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// localFault tells whether a connection could not be had for want of something on this machine.
func localFault(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}
