package coordinatorproc

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/loadgen"
)

// ErrNotStarted says that a process ended before it wrote the address of its front. Its standard error, which is this
// process's, says why.
var ErrNotStarted = errors.New("coordinatorproc: process not started")

// ServeCommand is the command of this program that has to call Serve.
const ServeCommand = "coordinator"

// HeapLimitShare is the share of Config.MemoryMB that the garbage collector keeps the heap below, as in the program.
const HeapLimitShare = 0.6

// Config is what a process is started with. Serve checks it as the program checks its settings.
type Config struct {
	Settings      scatter.Settings
	Shards        int                          // how many shards the ring has
	Indices       map[string]*opensearch.Index // by name
	TenantsByUser map[string]string            // tenants, by the user that a client authenticates as
	Endpoints     []core.Endpoint              // the replicas, for the whole life of the process
	Cores         int                          // how many processors the process uses at once
	MemoryMB      int                          // memory of the process, of which HeapLimitShare is for the heap
	WaitTarget    time.Duration                // of overload control; 0 has no overload control and admits every query
}

// Stats is what a process has measured of itself at its end.
type Stats struct {
	WaitP99MS     float64               // 99th percentile over the loop's messages, each with the mean wait of its tick
	WaitMaxMS     float64               // longest wait of the loop
	LiveHeapMaxMB float64               // largest live heap
	CPUSeconds    float64               // user and system time
	Levels        []loadgen.LevelChange // changes of the overload level, oldest first
	MaxWaits      []loadgen.Point       // longest wait of the loop in each tenth of a second, in milliseconds
	Admitted      int                   // queries
	Rejected      int                   // queries
}

// Process is a coordinator that Config.Start has started. One goroutine uses it.
type Process struct {
	Address string // of its front

	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
}

// Start starts a process and returns once its front accepts clients. The error wraps ErrNotStarted where the process
// ended before that. The caller has to call Process.Stop.
func (c Config) Start() (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &Process{cmd: exec.Command(self, ServeCommand)}
	p.cmd.Stderr = os.Stderr
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.stdout = bufio.NewReader(stdout)
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(p.stdin).Encode(c); err != nil {
		return nil, err
	}
	line, err := p.stdout.ReadString('\n')
	if err != nil {
		p.cmd.Process.Kill()
		return nil, fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	p.Address = strings.TrimSuffix(line, "\n")
	return p, nil
}

// Stop has the process drain, waits until it has exited and returns its stats. It is to be called once.
func (p *Process) Stop() (*Stats, error) {
	p.stdin.Close()
	stats := &Stats{}
	err := json.NewDecoder(p.stdout).Decode(stats)
	if waitErr := p.cmd.Wait(); err == nil {
		err = waitErr
	}
	return stats, err
}
