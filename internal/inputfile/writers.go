package inputfile

import (
	"os"
	"syscall"
)

// fcntl command and lease types of Linux, see fcntl(2).
const (
	setLease    = 1024 // F_SETLEASE
	readLease   = 0    // F_RDLCK
	removeLease = 2    // F_UNLCK
)

// openForWriting reports whether any process of this machine has a file open for writing. It returns false if the
// system does not tell, as for files of other users and of file systems without leases.
//
// The system grants a read lease only while nobody has the file open for writing. The lease is given back at once. A
// process that opens the file for writing in between waits for that, unless it asked not to wait (O_NONBLOCK).
func openForWriting(f *os.File) (writing bool) {
	conn, err := f.SyscallConn()
	if err != nil {
		return false
	}
	controlErr := conn.Control(func(fd uintptr) {
		_, _, errno := syscall.Syscall(syscall.SYS_FCNTL, fd, setLease, readLease)
		writing = errno == syscall.EAGAIN
		if errno == 0 {
			syscall.Syscall(syscall.SYS_FCNTL, fd, setLease, removeLease)
		}
	})
	return writing && controlErr == nil
}
