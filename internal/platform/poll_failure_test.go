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

// What a failed call says of discovery: only where it cannot be had does the list go on holding.
func TestUnreachable(t *testing.T) {
	const soon, late = 10 * time.Millisecond, 930 * time.Millisecond
	broken := &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	unconnected := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	unreadable := errors.New("platform: unreadable list")
	dial := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for name, c := range map[string]struct {
		failure pollFailure
		want    bool
	}{
		"nobody listens":                       {pollFailure{took: soon, err: dial(syscall.ECONNREFUSED)}, true},
		"the connection never came up":         {pollFailure{took: late, err: unconnected}, true},
		"the network is away":                  {pollFailure{took: soon, err: dial(syscall.ENETUNREACH)}, true},
		"no descriptor of our own is left":     {pollFailure{took: soon, err: dial(syscall.EMFILE)}, false},
		"no port of our own is left":           {pollFailure{took: soon, err: dial(syscall.EADDRNOTAVAIL)}, false},
		"unavailable at once":                  {pollFailure{took: soon, err: errUnavailable}, true},
		"unavailable after a wait":             {pollFailure{took: late, err: errUnavailable}, true},
		"reset at once":                        {pollFailure{took: soon, err: broken}, true},
		"ended at once":                        {pollFailure{took: soon, err: io.EOF}, true},
		"reset after a wait (2026-12-02)":      {pollFailure{took: late, err: broken}, false},
		"ended after a wait":                   {pollFailure{took: late, err: io.EOF}, false},
		"cut off in the middle of an answer":   {pollFailure{took: soon, err: io.ErrUnexpectedEOF}, false},
		"no answer":                            {pollFailure{took: late, err: os.ErrDeadlineExceeded}, false},
		"an unreadable list":                   {pollFailure{took: soon, err: unreadable}, false},
		"a watch that was reset":               {pollFailure{watch: true, took: soon, err: broken}, false},
		"a watch that ended as unavailable":    {pollFailure{watch: true, took: late, err: errUnavailable}, false},
		"a watch whose connection was refused": {pollFailure{watch: true, took: soon, err: dial(syscall.ECONNREFUSED)}, true},
	} {
		if got := c.failure.unreachable(); got != c.want {
			t.Errorf("%s: unreachable %t, want %t", name, got, c.want)
		}
	}
}
