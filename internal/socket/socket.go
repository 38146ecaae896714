// Package socket asks the system what a socket holds, at once and without reading it. A timer that has run out tells how late
// it is, not that nothing has come: a process that is held up finds both when it goes on, and bytes that came in time count.
package socket

import (
	"net"
	"syscall"
	"unsafe"
)

// pollFd is the system's struct pollfd.
type pollFd struct {
	fd      int32
	events  int16
	revents int16
}

const (
	pollIn        = 0x1
	pollErr       = 0x8
	pollHangUp    = 0x10
	pollPeerEnded = 0x2000 // POLLRDHUP
)

// poll asks which of some events a connection or listener has; none where that cannot be told.
func poll(c any, events int16) (has int16) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { has = pollDescriptor(fd, events) })
	return has
}

func pollDescriptor(fd uintptr, events int16) int16 {
	p := pollFd{fd: int32(fd), events: events}
	var wait syscall.Timespec
	n, _, errno := syscall.RawSyscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&wait)), 0, 0, 0)
	if errno != 0 || n == 0 {
		return 0
	}
	return p.revents
}

// Unread tells whether bytes, or the peer's end, are there to be read.
func Unread(c net.Conn) bool { return poll(c, pollIn) != 0 }

// PeerEnded tells whether the peer has shut its side or is gone, whatever it sent before that.
func PeerEnded(c net.Conn) bool {
	return poll(c, pollPeerEnded)&(pollPeerEnded|pollHangUp|pollErr) != 0
}

// Waiting tells whether a connection waits to be accepted.
func Waiting(l net.Listener) bool { return poll(l, pollIn)&pollIn != 0 }
