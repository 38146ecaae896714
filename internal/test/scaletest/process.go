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

// The roles.
const (
	roleAuthority   role = "authority"
	roleRelay       role = "relay"
	roleCoordinator role = "coordinator"
	roleHost        role = "host of hollow coordinators"
)

// endWithin is how long a process has from SIGTERM until it is killed.
const stopTimeout = 10 * time.Second

// process is one that the run has started. What it writes to standard error is kept in a file.
type process struct {
	name          string
	role          role
	cmd           *exec.Cmd
	stdin         io.WriteCloser // nil unless it is fed
	exited        chan struct{}  // closed when it has ended
	exitErr       error          // how it ended; read after over
	outputReaders sync.WaitGroup // readers of its output

	logPath        string      // the file of what it writes to standard error
	logSizeAtStart int64       // its size when the process was started
	endExpected    atomic.Bool // by the run, which meant to
}

// command says how a process is started.
type command struct {
	name       string
	role       role
	args       []string // the program with its arguments
	env        []string // beside the run's own
	dir        string   // for the log
	readStdout func(io.Reader)
	readStderr func(io.Reader) // nil for the log alone
	needsStdin bool
}

// startProcess starts one that does not outlive the run.
func startProcess(c command) (*process, error) {
	p := &process{name: c.name, role: c.role, cmd: exec.Command(c.args[0], c.args[1:]...), exited: make(chan struct{})}
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
			return nil, err
		}
	}
	if err := p.openOutput(c, log); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", c.name, errors.Join(err, log.Close()))
	}
	go func() {
		p.outputReaders.Wait() // before Wait closes the pipes
		log.Close()
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// follow reads what the process writes.
func (p *process) openOutput(c command, log io.Writer) error {
	if c.readStdout != nil {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		p.outputReaders.Go(func() { c.readStdout(out) })
	}
	if c.readStderr == nil {
		return nil
	}
	p.cmd.Stderr = nil
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.outputReaders.Go(func() { c.readStderr(io.TeeReader(errs, log)) })
	return nil
}

// logged is how many bytes the process has written to its log.
func (p *process) loggedBytes() int64 {
	info, err := os.Stat(p.logPath)
	if err != nil {
		return 0
	}
	return info.Size() - p.logSizeAtStart
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// runs tells whether the process has not ended.
func (p *process) isRunning() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.isRunning() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.endExpected.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop ends the process as planned, or kills it where that takes too long.
func (p *process) stop() error {
	if p.endExpected.Swap(true) && !p.isRunning() {
		return nil
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if p.stdin != nil {
		p.stdin.Close()
	}
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("scale: %s does not end", p.name)
	}
	var exit *exec.ExitError
	if errors.As(p.exitErr, &exit) && exit.ExitCode() < 0 { // ended by the signal itself
		return nil
	}
	if p.exitErr != nil {
		return fmt.Errorf("scale: %s ended with %w", p.name, p.exitErr)
	}
	return nil
}
