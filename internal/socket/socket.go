// Package socket queries the state of a socket from the kernel, without blocking and without reading from the socket.
//
// An expired read deadline does not prove that no data arrived in time, because this process itself may be late. When a
// suspended process resumes, it finds both the expired timer and data that arrived in time. These functions tell
// whether such data is there. They may be called from any goroutine, even while another one reads the socket. They
// return false if the kernel cannot be queried, because a connection is not a socket or is closed.
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

// HasUnread reports whether data, the peer's end of stream or an error can be read from a connection.
func HasUnread(c net.Conn) bool { return poll(c, pollIn) != 0 }

// PeerClosed reports whether the peer has closed at least its sending side, or the connection was reset. It does so
// even while data that the peer sent before is still unread.
func PeerClosed(c net.Conn) bool { return poll(c, pollRdHup)&(pollRdHup|pollHangUp|pollErr) != 0 }

// HasPendingConn reports whether a connection waits in a listener's backlog to be accepted.
func HasPendingConn(l net.Listener) bool { return poll(l, pollIn)&pollIn != 0 }

// poll returns which of the given events, or of the error events that the kernel always reports, have occurred on a
// connection or listener. It returns 0 if the kernel cannot be queried.
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

// pollDescriptor is poll for a file descriptor. The system call does not block, so it is made without notifying the Go
// scheduler.
func pollDescriptor(fd uintptr, events int16) int16 {
	p := pollFd{fd: int32(fd), events: events}
	var timeout syscall.Timespec // 0: return immediately
	const descriptors = 1
	n, _, errno := syscall.RawSyscall6(syscall.SYS_PPOLL,
		uintptr(unsafe.Pointer(&p)), descriptors, uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	if errno != 0 || n == 0 {
		return 0
	}
	return p.revents
}
