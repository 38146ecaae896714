package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// coordinator is a process of the program under test, started by the line "run" of the deploy file.
type coordinator struct {
	rec    *record
	name   string
	cmd    *exec.Cmd
	listen string
	ended  chan struct{} // closed when the process has ended
	log    string        // path of its standard output and error
	config string        // path of its configuration
}

// runLine returns the command of the deploy file that starts one coordinator.
func runLine(root string) (string, error) {
	f, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "run = \""); ok {
			return strings.TrimSuffix(rest, "\""), nil
		}
	}
	return "", errors.New("the deploy file has no line run")
}

// startOptions are what differs between coordinators.
type startOptions struct {
	name    string
	folder  string // temporary folder of the case
	tmp     string // TMPDIR; a new one if empty
	config  map[string]any
	env     []string
	args    string // appended to the run line
	listenF *os.File
}

// startCoordinator writes the configuration, if there is one, and starts the program.
func startCoordinator(rec *record, root string, o startOptions) (*coordinator, error) {
	line, err := runLine(root)
	if err != nil {
		return nil, err
	}
	c := &coordinator{rec: rec, name: o.name, ended: make(chan struct{})}
	if o.tmp == "" {
		if o.tmp, err = os.MkdirTemp(o.folder, "tmp-"); err != nil {
			return nil, err
		}
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + o.tmp, "TMPDIR=" + o.tmp}
	if o.config != nil {
		c.config = filepath.Join(o.folder, o.name+"-config.json")
		if err := writeJSON(c.config, o.config); err != nil {
			return nil, err
		}
		c.listen, _ = o.config["listen"].(string)
		env = append(env, "PROXY_CONFIG="+c.config)
	}
	c.log = filepath.Join(o.folder, o.name+".log")
	log, err := os.Create(c.log)
	if err != nil {
		return nil, err
	}
	c.cmd = exec.Command("/bin/sh", "-c", line+o.args)
	c.cmd.Dir, c.cmd.Env, c.cmd.Stdout, c.cmd.Stderr = root, append(env, o.env...), log, log
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if o.listenF != nil { // descriptors 3 and 4
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		c.cmd.ExtraFiles = []*os.File{null, o.listenF}
	}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	rec.add("%s started, process %d: %s%s", c.name, c.cmd.Process.Pid, line, o.args)
	go func() {
		err := c.cmd.Wait()
		rec.add("%s ended: %v", c.name, err)
		close(c.ended)
	}()
	return c, nil
}

// signal sends a signal to the program.
func (c *coordinator) signal(s syscall.Signal) {
	c.rec.add("%v to %s", s, c.name)
	c.cmd.Process.Signal(s)
}

// kill ends the program if it still runs.
func (c *coordinator) kill() {
	select {
	case <-c.ended:
	default:
		syscall.Kill(-c.cmd.Process.Pid, syscall.SIGKILL)
		<-c.ended
	}
}

// hasEnded reports whether the program has ended.
func (c *coordinator) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// waitReady waits until GET path at an address is answered with 200.
func waitReady(address, path string, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answer, err := client.Get("http://" + address + path)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, answer.Body)
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s%s was not ready within %v", address, path, limit)
}

// writeJSON replaces a file by a JSON value in one step.
func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// freeAddress returns a loopback address whose port is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
