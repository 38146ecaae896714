package scaletest

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// role is the function of a process in the fleet.
type role string

// Roles, under the names that reports print.
const (
	roleAuthority   role = "authority"
	roleRelay       role = "relay"
	roleCoordinator role = "coordinator" // a real one
	roleHost        role = "host of hollow coordinators"
)

// roles lists all roles in the order of reports.
var roles = []role{roleAuthority, roleRelay, roleCoordinator, roleHost}

// stopTimeout is how long after SIGTERM a process that is still running is killed.
const stopTimeout = 10 * time.Second

// process is a process that the run has started. Its standard error goes to a log file.
type process struct {
	name          string
	role          role
	cmd           *exec.Cmd
	stdin         io.WriteCloser // nil unless command.needsStdin is set
	exited        chan struct{}  // closed once the process has exited and its output has been read
	exitErr       error          // from exec.Cmd.Wait; read it only after exited is closed
	outputReaders sync.WaitGroup

	logPath        string
	logSizeAtStart int64       // bytes; a restarted process appends to the same log
	endExpected    atomic.Bool // set when the run begins to end the process
}

// command describes how to start a process.
type command struct {
	name       string
	role       role
	args       []string        // the program and its arguments
	env        []string        // KEY=VALUE, added to this process's environment
	dir        string          // folder of the log
	readStdout func(io.Reader) // must read standard output to its end; nil discards it
	readStderr func(io.Reader) // must read standard error, also logged, to its end; nil only logs it
	needsStdin bool
}

// startProcess starts a process. The kernel kills it if this process exits without stopping it.
func startProcess(c command) (*process, error) {
	p := &process{
		name: c.name, role: c.role,
		cmd: exec.Command(c.args[0], c.args[1:]...), exited: make(chan struct{}),
	}
	p.cmd.Env = append(os.Environ(), c.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(c.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	p.logPath = log.Name()
	p.logSizeAtStart = p.loggedBytes()
	if c.needsStdin {
		if p.stdin, err = p.cmd.StdinPipe(); err != nil {
			return nil, errors.Join(err, log.Close())
		}
	}
	if err := p.openOutput(c, log); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scaletest: %s: %w", c.name, errors.Join(err, log.Close()))
	}
	go p.awaitExit(log)
	return p, nil
}

// awaitExit waits until the process has exited. It first waits until all output has been read, because exec.Cmd.Wait
// closes the pipes.
func (p *process) awaitExit(log io.Closer) {
	p.outputReaders.Wait()
	log.Close()
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

// openOutput starts the readers of the process's standard output and standard error.
func (p *process) openOutput(c command, log io.Writer) error {
	if c.readStdout != nil {
		stdout, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		p.outputReaders.Go(func() { c.readStdout(stdout) })
	}
	if c.readStderr == nil {
		return nil
	}
	p.cmd.Stderr = nil
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.outputReaders.Go(func() { c.readStderr(io.TeeReader(stderr, log)) })
	return nil
}

// loggedBytes returns how many bytes the process has written to its log since its start.
func (p *process) loggedBytes() int64 {
	info, err := os.Stat(p.logPath)
	if err != nil {
		return 0
	}
	return info.Size() - p.logSizeAtStart
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// isRunning reports whether the process has not exited yet.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. The error is os.ErrProcessDone if the process has exited.
func (p *process) signal(s syscall.Signal) error {
	if !p.isRunning() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.endExpected.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM, waits until the process has exited, and kills it after stopTimeout. The error wraps
// ErrProcessFailed if the process had to be killed or exited with an error. stop returns nil for a process that the run
// has already ended.
func (p *process) stop() error {
	if p.endExpected.Swap(true) && !p.isRunning() {
		return nil
	}
	p.signal(syscall.SIGCONT) // a paused process does not handle SIGTERM
	p.signal(syscall.SIGTERM)
	if p.stdin != nil {
		p.stdin.Close()
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("%w: %s did not exit within %v of SIGTERM", ErrProcessFailed, p.name, stopTimeout)
	}
	var exit *exec.ExitError
	if errors.As(p.exitErr, &exit) && exit.ExitCode() < 0 { // ended by the signal itself
		return nil
	}
	if p.exitErr != nil {
		return fmt.Errorf("%w: %s: %w", ErrProcessFailed, p.name, p.exitErr)
	}
	return nil
}
