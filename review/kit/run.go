// Package kit holds what the cases of the review share: processes of the program under review, a record, and small
// stand-ins for map nodes, discovery and clients.
package kit

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its temporary folder and its processes.
type Case struct {
	Root    string // root of the repository
	Tmp     string // temporary folder, removed at the end
	Trouble bool   // false with TROUBLE=0

	mu      sync.Mutex
	record  *os.File
	started time.Time
	procs   []*Proc
}

// Start begins a case. It is run from the root of the repository, and folder is the case's folder.
func Start(folder string) *Case {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Root: root, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Tmp, err = os.MkdirTemp("", "review-"); err != nil {
		c.Fail("no temporary folder: %v", err)
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() { c.Fail("ended by a signal: %v", <-ends) }()
	c.Note("start, trouble=%v", c.Trouble)
	return c
}

// Note writes a line to the record, with the seconds since the start.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
}

// At returns the seconds from the case's start to an instant.
func (c *Case) At(t time.Time) float64 { return t.Sub(c.started).Seconds() }

// Say writes a line to the record and to standard output.
func (c *Case) Say(format string, args ...any) {
	c.Note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail ends a case that could not run.
func (c *Case) Fail(format string, args ...any) {
	c.Say("could not run: "+format, args...)
	c.End(NotRun)
}

// End ends all processes of the case and exits.
func (c *Case) End(code int) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	c.Note("exit %d", code)
	c.record.Close()
	os.RemoveAll(c.Tmp)
	os.Exit(code)
}

// Proc is a process of the program under review, with whatever it starts.
type Proc struct {
	Name  string
	c     *Case
	cmd   *exec.Cmd
	ended chan struct{}
	err   error
}

// Run starts a command by /bin/sh -c in a folder; its output goes to NAME.log in the temporary folder.
func (c *Case) Run(name, dir, command string, env ...string) *Proc {
	return c.RunWith(nil, name, dir, command, env...)
}

// RunWith is like Run, and hands files to the process as descriptors 3, 4 and so on.
func (c *Case) RunWith(files []*os.File, name, dir, command string, env ...string) *Proc {
	out, err := os.Create(filepath.Join(c.Tmp, name+".log"))
	if err != nil {
		c.Fail("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = dir, out, out
	cmd.Env, cmd.ExtraFiles = append(os.Environ(), env...), files
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.Fail("%s: %v", name, err)
	}
	out.Close()
	p := &Proc{Name: name, c: c, cmd: cmd, ended: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.ended)
	}()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Note("started %s as process %d: %s", name, cmd.Process.Pid, command)
	return p
}

// Kill ends the process and its children, if it has not ended.
func (p *Proc) Kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
	<-p.ended
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) {
	p.c.Note("signal %v to %s", s, p.Name)
	syscall.Kill(p.cmd.Process.Pid, s)
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// Log returns what the process has written.
func (p *Proc) Log() string {
	data, _ := os.ReadFile(filepath.Join(p.c.Tmp, p.Name+".log"))
	return string(data)
}

// CopyLog adds the end of a process's log to the record.
func (c *Case) CopyLog(p *Proc, last int) {
	text := p.Log()
	if len(text) > last {
		text = "..." + text[len(text)-last:]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "---- log of %s\n%s----\n", p.Name, text)
}

// Write writes a file in the temporary folder and returns its path.
func (c *Case) Write(name, text string) string {
	path := filepath.Join(c.Tmp, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		c.Fail("%v", err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		c.Fail("%v", err)
	}
	return path
}

// Site makes a folder with the program in bin and an operator's file under deploy, as an installation has them, so
// that the deploy file's run line works there.
func (c *Case) Site(name string, files map[string]string) string {
	dir := filepath.Join(c.Tmp, name)
	for file, text := range files {
		c.Write(filepath.Join(name, "deploy", file), text)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		c.Fail("%v", err)
	}
	if err := os.Symlink(filepath.Join(c.Root, "bin"), filepath.Join(dir, "bin")); err != nil {
		c.Fail("%v", err)
	}
	return dir
}

// Listen opens a listener on a free loopback port.
func (c *Case) Listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fail("%v", err)
	}
	return l
}

// FreeAddress returns a loopback address whose port is free now.
func (c *Case) FreeAddress() string {
	l := c.Listen()
	defer l.Close()
	return l.Addr().String()
}

// Await waits until ready returns true, for at most a time, and ends the case if it does not.
func (c *Case) Await(what string, within time.Duration, ready func() bool) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ready() {
			return
		}
	}
	c.Fail("%s not within %v", what, within)
}
