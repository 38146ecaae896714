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
	dial := func(errno syscall.Errno) error {
		return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
	}
	for name, c := range map[string]struct {
		failure listFailure
		want    bool
	}{
		"nobody listens":                       {listFailure{took: soon, err: dial(syscall.ECONNREFUSED)}, true},
		"the connection never came up":         {listFailure{took: late, err: &net.OpError{Op: "dial", Err: context.DeadlineExceeded}}, true},
		"the network is away":                  {listFailure{took: soon, err: dial(syscall.ENETUNREACH)}, true},
		"no descriptor of our own is left":     {listFailure{took: soon, err: dial(syscall.EMFILE)}, false},
		"no port of our own is left":           {listFailure{took: soon, err: dial(syscall.EADDRNOTAVAIL)}, false},
		"unavailable at once":                  {listFailure{took: soon, err: errUnavailable}, true},
		"unavailable after a wait":             {listFailure{took: late, err: errUnavailable}, true},
		"reset at once":                        {listFailure{took: soon, err: broken}, true},
		"ended at once":                        {listFailure{took: soon, err: io.EOF}, true},
		"reset after a wait (2026-12-02)":      {listFailure{took: late, err: broken}, false},
		"ended after a wait":                   {listFailure{took: late, err: io.EOF}, false},
		"cut off in the middle of an answer":   {listFailure{took: soon, err: io.ErrUnexpectedEOF}, false},
		"no answer":                            {listFailure{took: late, err: os.ErrDeadlineExceeded}, false},
		"an unreadable list":                   {listFailure{took: soon, err: errors.New("platform: unreadable list")}, false},
		"a watch that was reset":               {listFailure{watch: true, took: soon, err: broken}, false},
		"a watch that ended as unavailable":    {listFailure{watch: true, took: late, err: errUnavailable}, false},
		"a watch whose connection was refused": {listFailure{watch: true, took: soon, err: dial(syscall.ECONNREFUSED)}, true},
	} {
		if got := c.failure.unreachable(); got != c.want {
			t.Errorf("%s: unreachable %t, want %t", name, got, c.want)
		}
	}
}
