package faultinjection

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// adminConnectTimeout bounds how long a connection to an admin endpoint may take to come up.
	adminConnectTimeout = time.Second
	// adminReplyTimeout bounds how long an admin endpoint may take to reply.
	adminReplyTimeout = 5 * time.Second
	// waitTimeout bounds how long a condition that is only a matter of time may take.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two looks at a condition, and between two attempts to connect.
	pollInterval = 10 * time.Millisecond
)

// Process is a process of the program that was started.
type Process struct {
	*exec.Cmd
	AdminAddress string     // of its admin endpoint
	Exited       chan error // gives the result of the process's end once, and is closed then
	log          Log        // what it writes to its standard error
}

// Log returns what the process has written to its standard error so far.
func (p *Process) Log() string { return p.log.String() }

// reservedAddresses counts the addresses that were reserved.
var reservedAddresses atomic.Int32

// How the loopback addresses are divided among the processes that reserve some.
const (
	hostsPerBlock     = 250 // values of an address's last byte that are used
	blocksPerProcess  = 8   // so many times hostsPerBlock addresses each process may reserve before it repeats any
	blocksPerNetwork  = 250 // values of the byte before the last
	firstNetwork      = 64  // least value of the second byte
	reservingNetworks = 128 // values of the second byte
)

// Reserve finds an address for a process that binds it later. Nobody else uses its IP address: a port that is free on
// the usual one may be taken meanwhile by somebody's outgoing connection, and one that another process of tests has
// reserved and closed may be given to this one. The error is that of listening.
func Reserve() (string, error) {
	n := int(reservedAddresses.Add(1))
	block := (os.Getpid()*blocksPerProcess + n/hostsPerBlock%blocksPerProcess) % (blocksPerNetwork * reservingNetworks)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0",
		firstNetwork+block/blocksPerNetwork, block%blocksPerNetwork, 1+n%hostsPerBlock))
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// start starts a command with an admin endpoint of its own, with variables besides those of this process, with files
// from descriptor 3 on, and with onLine (unless it is nil) called for each line that it writes to its standard error.
func start(command, env []string, files []*os.File, onLine func(string)) (*Process, error) {
	address, err := Reserve()
	if err != nil {
		return nil, err
	}
	p := &Process{
		Cmd:          exec.Command(command[0], command[1:]...),
		AdminAddress: address,
		Exited:       make(chan error, 1),
		log:          Log{onLine: onLine},
	}
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

// CallAdmin sends a line to the admin endpoint and returns the reply. It is empty where none comes in time.
func (p *Process) CallAdmin(line string) string {
	conn, err := net.DialTimeout("tcp", p.AdminAddress, adminConnectTimeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(adminReplyTimeout))
	fmt.Fprintln(conn, line)
	reply, _ := io.ReadAll(conn)
	return string(reply)
}

// Serves reports whether the process's status says that it serves queries.
func (p *Process) Serves() bool { return strings.HasPrefix(p.CallAdmin("status"), "200") }

// WaitFor polls until ok reports true. After 30 s the error wraps ErrWaitTimeout and names what was waited for.
func WaitFor(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s", ErrWaitTimeout, what)
		}
	}
	return nil
}
