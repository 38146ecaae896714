package faultinjection

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Process is a running one.
type Process struct {
	*exec.Cmd
	AdminAddress string
	Exited       chan error // closed after its end is told
	log          Log
}

// Log is what a process writes, read meanwhile.
type Log struct {
	mu             sync.Mutex
	text           bytes.Buffer
	onLine         func(string) // told of each whole line; nil for nobody
	incompleteLine []byte
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onLine != nil {
		l.incompleteLine = append(l.incompleteLine, p...)
		for {
			line, rest, whole := bytes.Cut(l.incompleteLine, []byte("\n"))
			if !whole {
				break
			}
			l.onLine(string(line))
			l.incompleteLine = rest
		}
	}
	return l.text.Write(p)
}

// String is what has been written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Log is what the process has written so far.
func (p *Process) Log() string { return p.log.String() }

var reservedAddresses atomic.Int32

// reserve finds an address for a process that binds it later. It is on a loopback address of its own: on that of everybody
// else's connections one of these may take the port meanwhile.
func reserve() (string, error) {
	n := int(reservedAddresses.Add(1))
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", 2+n/250%250, 1+n%250))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// start starts a command with a door of its own, with further variables and files from descriptor 3 on.
func start(command, env []string, files []*os.File, line func(string)) (*Process, error) {
	door, err := reserve()
	if err != nil {
		return nil, err
	}
	p := &Process{Cmd: exec.Command(command[0], command[1:]...), AdminAddress: door, Exited: make(chan error, 1), log: Log{onLine: line}}
	p.Env = append(append(os.Environ(), "PROXY_OPERATOR="+p.AdminAddress), env...)
	p.ExtraFiles = files
	p.Stderr = &p.log
	if err := p.Cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.Exited <- p.Wait()
		close(p.Exited)
	}()
	return p, nil
}

// Call says a line at the door; the answer is empty where none comes.
func (p *Process) CallAdmin(line string) string {
	c, err := net.DialTimeout("tcp", p.AdminAddress, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(c, line)
	answer, _ := io.ReadAll(c)
	return string(answer)
}

// Serves tells whether the process says so.
func (p *Process) Serves() bool { return strings.HasPrefix(p.CallAdmin("status"), "200") }

// Wait waits for something that is only a matter of time.
func WaitFor(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("rig: never: %s", what)
		}
	}
	return nil
}
