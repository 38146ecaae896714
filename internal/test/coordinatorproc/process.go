// Package coordinatorproc runs a coordinator in a process of its own and measures its loop, heap and CPU from inside.
package coordinatorproc

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/loadgen"
)

// Config is what a process is set up for. It does what the program does, before nodes on real sockets, and keeps figures of
// its loop and heap that the program has no place for.
type Config struct {
	Settings scatter.Settings
	Sections int
	Indices  map[string]*opensearch.Index
	Callers  map[string]string // tenants, by the user that a caller authenticates as
	Nodes    []core.Endpoint
	Cores    int
	MemoryMB int
	Target   time.Duration // of overload control; 0 has none: first come, first served
}

// Stats is what a process says of itself at its end.
type Stats struct {
	Wait99MS, WaitMaxMS float64 // of the loop, by message
	LiveMB              float64 // the most that was live
	CPU                 float64 // seconds
	Levels              []loadgen.LevelChange
	Waits               []loadgen.Point // the worst of each tenth of a second
	Admitted, Refused   int
}

// CollectorShare is the share of MemoryMB that the garbage collector may let the heap have, as in the program.
const CollectorShare = 0.6

// Process is a running one.
type Process struct {
	Address string // of its front

	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// ServeCommand is the laboratory's command that calls Serve.
const ServeCommand = "coordinator"

// Start starts a process: this very program, by its ServeCommand.
func (c Config) Start() (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self, ServeCommand)}
	p.cmd.Stderr = os.Stderr
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = bufio.NewReader(out)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(p.in).Encode(c); err != nil {
		return nil, err
	}
	address, err := p.out.ReadString('\n')
	if err != nil {
		p.cmd.Process.Kill()
		return nil, fmt.Errorf("the coordinator did not start: %w", err)
	}
	p.Address = address[:len(address)-1]
	return p, nil
}

// Stop ends the process and returns its stats.
func (p *Process) Stop() (*Stats, error) {
	p.in.Close()
	s := &Stats{}
	err := json.NewDecoder(p.out).Decode(s)
	if waited := p.cmd.Wait(); err == nil {
		err = waited
	}
	return s, err
}
