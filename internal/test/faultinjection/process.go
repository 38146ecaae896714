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
	// adminConnectTimeout bounds how long it may take to connect to an admin endpoint.
	adminConnectTimeout = time.Second
	// adminReplyTimeout bounds how long an admin endpoint may take to reply.
	adminReplyTimeout = 5 * time.Second
	// waitTimeout bounds how long WaitFor waits for a condition, and how long a process may take to exit after SIGTERM.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition, and between two attempts to connect.
	pollInterval = 10 * time.Millisecond
)

// Process is a started process of the program.
type Process struct {
	*exec.Cmd
	AdminAddress string     // address of its admin endpoint
	Exited       chan error // receives the result of its exit once, and is then closed
	log          Log        // its standard error
}

// Log returns the process's standard error so far.
func (p *Process) Log() string { return p.log.String() }

// reservedAddresses counts the addresses that this process has reserved.
var reservedAddresses atomic.Int32

// The division of the loopback addresses 127.NETWORK.BLOCK.HOST among the processes that reserve addresses.
const (
	hostsPerBlock     = 250 // number of values of the last byte
	blocksPerProcess  = 8   // a process reuses IP addresses after blocksPerProcess*hostsPerBlock reservations
	blocksPerNetwork  = 250 // number of values of the third byte
	firstNetwork      = 64  // lowest value of the second byte
	reservingNetworks = 128 // number of values of the second byte
)

// Reserve returns a free address for a process that binds it later. Its IP address is used for nothing else. On the
// usual loopback address, an outgoing connection of any process could take the port before it is bound, and the port
// could be one that another test process has reserved and closed. The error comes from listening.
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

// start starts a command with its own admin endpoint, with environment variables in addition to this process's own, and
// with files as its descriptors from 3 on. Unless onLine is nil, it is called for each line of the command's standard
// error.
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

// CallAdmin sends a line to the admin endpoint and returns the reply, which is empty if none arrives in time.
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

// Serves reports whether the process serves queries according to its status at the admin endpoint.
func (p *Process) Serves() bool { return strings.HasPrefix(p.CallAdmin("status"), "200") }

// WaitFor polls until ok returns true. After 30 s it returns an error that wraps ErrWaitTimeout and contains what, the
// description of the condition.
func WaitFor(what string, ok func() bool) error {
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s", ErrWaitTimeout, what)
		}
	}
	return nil
}
