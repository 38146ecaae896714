package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// Only a connection that was not accepted proves that discovery cannot be reached. An overloaded discovery, which
// answers other calls, rejects calls in the same way as one that is down, at once or late.
func TestEvidenceOfFailedCall(t *testing.T) {
	const soon, late = 10 * time.Millisecond, 930 * time.Millisecond
	broken := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	unconnected := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	unreadable := errors.New("platform: discovery's answer is not an endpoint list")
	dial := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for name, c := range map[string]struct {
		failure pollFailure
		want    evidence
	}{
		"no process listens":                   {pollFailure{took: soon, err: dial(syscall.ECONNREFUSED)}, provesUnreachable},
		"the connection timed out":             {pollFailure{took: late, err: unconnected}, provesUnreachable},
		"the network is unreachable":           {pollFailure{took: soon, err: dial(syscall.ENETUNREACH)}, provesUnreachable},
		"no descriptor left in this process":   {pollFailure{took: soon, err: dial(syscall.EMFILE)}, provesNothing},
		"no port left on this machine":         {pollFailure{took: soon, err: dial(syscall.EADDRNOTAVAIL)}, provesNothing},
		"unavailable at once":                  {pollFailure{took: soon, err: errUnavailable}, mayBeOverloaded},
		"unavailable after a wait":             {pollFailure{took: late, err: errUnavailable}, mayBeOverloaded},
		"reset at once":                        {pollFailure{took: soon, err: broken}, mayBeOverloaded},
		"ended at once":                        {pollFailure{took: soon, err: io.EOF}, mayBeOverloaded},
		"reset after a wait (2026-12-02)":      {pollFailure{took: late, err: broken}, provesNothing},
		"ended after a wait":                   {pollFailure{took: late, err: io.EOF}, provesNothing},
		"cut off in the middle of an answer":   {pollFailure{took: soon, err: io.ErrUnexpectedEOF}, provesNothing},
		"no answer":                            {pollFailure{took: late, err: os.ErrDeadlineExceeded}, provesNothing},
		"an unreadable list":                   {pollFailure{took: soon, err: unreadable}, provesNothing},
		"a watch that was reset":               {pollFailure{watch: true, took: soon, err: broken}, provesNothing},
		"a watch that ended as unavailable":    {pollFailure{watch: true, took: late, err: errUnavailable}, provesNothing},
		"a watch whose connection was refused": {pollFailure{watch: true, err: dial(syscall.ECONNREFUSED)}, provesUnreachable},
	} {
		if got := c.failure.evidence(); got != c.want {
			t.Errorf("%s: evidence %d, want %d", name, got, c.want)
		}
	}
}
