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

// role is what a process is in the fleet.
type role string

// The roles, as reports name them.
const (
	roleAuthority   role = "authority"
	roleRelay       role = "relay"
	roleCoordinator role = "coordinator" // a real one
	roleHost        role = "host of hollow coordinators"
)

// roles are all roles, in the order of reports.
var roles = []role{roleAuthority, roleRelay, roleCoordinator, roleHost}

// stopTimeout is how long after SIGTERM a process that still runs is killed.
const stopTimeout = 10 * time.Second

// process is a process that the run has started. What it writes to standard error is in a file.
type process struct {
	name          string
	role          role
	cmd           *exec.Cmd
	stdin         io.WriteCloser // nil unless its command needs it
	exited        chan struct{}  // closed when the process has exited and its output has been read
	exitErr       error          // of exec.Cmd.Wait; to be read once exited is closed
	outputReaders sync.WaitGroup

	logPath        string
	logSizeAtStart int64       // bytes; a process that is started again appends to its log
	endExpected    atomic.Bool // the run has begun to end the process
}

// command says how a process is started.
type command struct {
	name       string
	role       role
	args       []string        // the program and its arguments
	env        []string        // KEY=VALUE, besides this process's own environment
	dir        string          // folder of the log
	readStdout func(io.Reader) // reads standard output to its end; nil discards it
	readStderr func(io.Reader) // reads standard error to its end, besides the log; nil for the log alone
	needsStdin bool
}

// startProcess starts a process. The kernel kills it if this process exits without having stopped it.
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

// awaitExit waits until the process has exited. exec.Cmd.Wait closes the pipes, so the output is read to its end
// before.
func (p *process) awaitExit(log io.Closer) {
	p.outputReaders.Wait()
	log.Close()
	p.exitErr = p.cmd.Wait()
	close(p.exited)
}

// openOutput starts the readers of what the process will write.
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

// loggedBytes is how many bytes the process has written to its log.
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

// signal sends a signal; the error is os.ErrProcessDone where the process has exited.
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

// stop sends SIGTERM and waits until the process has exited; after stopTimeout it kills the process. The error wraps
// ErrProcessFailed where that was needed, or where the process exited with an error. A process that was killed before
// is no error.
func (p *process) stop() error {
	if p.endExpected.Swap(true) && !p.isRunning() {
		return nil
	}
	p.signal(syscall.SIGCONT) // a paused process would not see SIGTERM
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
