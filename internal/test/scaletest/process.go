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
const endWithin = 10 * time.Second

// process is one that the run has started. What it writes to standard error is kept in a file.
type process struct {
	name string
	role role
	cmd  *exec.Cmd
	in   io.WriteCloser // nil unless it is fed
	over chan struct{}  // closed when it has ended
	err  error          // how it ended; read after over
	done sync.WaitGroup // readers of its output

	log   string      // the file of what it writes to standard error
	began int64       // its size when the process was started
	ended atomic.Bool // by the run, which meant to
}

// command says how a process is started.
type command struct {
	name string
	role role
	args []string // the program with its arguments
	env  []string // beside the run's own
	dir  string   // for the log
	out  func(io.Reader)
	errs func(io.Reader) // nil for the log alone
	feed bool
}

// startProcess starts one that does not outlive the run.
func startProcess(c command) (*process, error) {
	p := &process{name: c.name, role: c.role, cmd: exec.Command(c.args[0], c.args[1:]...), over: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), c.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(c.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.cmd.Stderr = log
	p.log = log.Name()
	p.began = p.logged()
	if c.feed {
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			return nil, err
		}
	}
	if err := p.follow(c, log); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", c.name, errors.Join(err, log.Close()))
	}
	go func() {
		p.done.Wait() // before Wait closes the pipes
		log.Close()
		p.err = p.cmd.Wait()
		close(p.over)
	}()
	return p, nil
}

// follow reads what the process writes.
func (p *process) follow(c command, log io.Writer) error {
	if c.out != nil {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		p.done.Go(func() { c.out(out) })
	}
	if c.errs == nil {
		return nil
	}
	p.cmd.Stderr = nil
	errs, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	p.done.Go(func() { c.errs(io.TeeReader(errs, log)) })
	return nil
}

// logged is how many bytes the process has written to its log.
func (p *process) logged() int64 {
	info, err := os.Stat(p.log)
	if err != nil {
		return 0
	}
	return info.Size() - p.began
}

func (p *process) pid() int { return p.cmd.Process.Pid }

// runs tells whether the process has not ended.
func (p *process) runs() bool {
	select {
	case <-p.over:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.runs() {
		return os.ErrProcessDone
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.ended.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.over
}

// stop ends the process as planned, or kills it where that takes too long.
func (p *process) stop() error {
	if p.ended.Swap(true) && !p.runs() {
		return nil
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	if p.in != nil {
		p.in.Close()
	}
	select {
	case <-p.over:
	case <-time.After(endWithin):
		p.kill()
		return fmt.Errorf("scale: %s does not end", p.name)
	}
	var exit *exec.ExitError
	if errors.As(p.err, &exit) && exit.ExitCode() < 0 { // ended by the signal itself
		return nil
	}
	if p.err != nil {
		return fmt.Errorf("scale: %s ended with %w", p.name, p.err)
	}
	return nil
}
