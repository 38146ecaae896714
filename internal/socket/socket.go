// Package socket asks the kernel what a socket holds, at once and without reading it.
//
// A deadline that has passed says that this process is late, not that nothing came. A process that was suspended finds
// both when it goes on: the timer that has run out, and bytes that arrived in time. These functions tell the two apart.
// They may be called from any goroutine, also while another one reads the socket. They report nothing (false) where the
// kernel cannot be asked: for a connection that is no socket, or that is closed.
package socket

import (
	"net"
	"syscall"
	"unsafe"
)

// Events of poll(2) on Linux.
const (
	pollIn     = 0x1    // POLLIN
	pollErr    = 0x8    // POLLERR
	pollHangUp = 0x10   // POLLHUP
	pollRdHup  = 0x2000 // POLLRDHUP
)

// HasUnread reports whether bytes, the peer's end of stream or an error can be read from a connection.
func HasUnread(c net.Conn) bool { return poll(c, pollIn) != 0 }

// PeerClosed reports whether the peer has closed at least its sending side, or the connection is reset, whatever the
// peer sent before that and nobody has read yet.
func PeerClosed(c net.Conn) bool { return poll(c, pollRdHup)&(pollRdHup|pollHangUp|pollErr) != 0 }

// HasPendingConn reports whether a connection waits to be accepted.
func HasPendingConn(l net.Listener) bool { return poll(l, pollIn)&pollIn != 0 }

// poll returns which of some events, or of the errors that the kernel adds, a connection or listener has.
func poll(c any, events int16) (occurred int16) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { occurred = pollDescriptor(fd, events) })
	return occurred
}

// pollFd is the kernel's struct pollfd.
type pollFd struct {
	fd      int32
	events  int16
	revents int16
}

// pollDescriptor is poll for a descriptor. It does not block, so the scheduler need not know of the call.
func pollDescriptor(fd uintptr, events int16) int16 {
	p := pollFd{fd: int32(fd), events: events}
	var timeout syscall.Timespec // 0: at once
	const descriptors = 1
	n, _, errno := syscall.RawSyscall6(syscall.SYS_PPOLL,
		uintptr(unsafe.Pointer(&p)), descriptors, uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	if errno != 0 || n == 0 {
		return 0
	}
	return p.revents
}
