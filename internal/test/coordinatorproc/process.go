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

// ErrNotStarted means that a process ended before it wrote the address of its front. It shares this process's standard
// error, which shows the cause.
var ErrNotStarted = errors.New("coordinatorproc: process not started")

// ServeCommand is the command-line argument for which the executable must call Serve.
const ServeCommand = "coordinator"

// HeapLimitShare is the heap limit of the garbage collector, as a share of Config.MemoryMB. The program uses the same.
const HeapLimitShare = 0.6

// Config is the configuration of a process. Serve checks it as the program checks its settings.
type Config struct {
	Settings      scatter.Settings
	Shards        int                          // number of shards
	Indices       map[string]*opensearch.Index // by name
	TenantsByUser map[string]string            // tenant of each user that a client authenticates as
	Endpoints     []core.Endpoint              // the replicas; they stay the same while the process runs
	Cores         int                          // number of processors that the process uses concurrently
	MemoryMB      int                          // memory of the process; the share HeapLimitShare is for the heap
	WaitTarget    time.Duration                // of overload control; 0 turns it off, so every query is admitted
}

// Stats are the measurements of a process from its start until it has drained.
type Stats struct {
	WaitP99MS     float64               // 99th percentile over the loop's messages, each with the mean wait of its tick
	WaitMaxMS     float64               // longest wait of the loop
	LiveHeapMaxMB float64               // largest live heap
	CPUSeconds    float64               // user and system time
	Levels        []loadgen.LevelChange // changes of the overload level, oldest first
	MaxWaits      []loadgen.Point       // longest wait of the loop in each tenth of a second, in milliseconds
	Admitted      int                   // number of admitted queries
	Rejected      int                   // number of rejected queries
}

// Process is a coordinator process that Config.Start has started. It is for one goroutine.
type Process struct {
	Address string // address of its front

	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
}

// Start starts a process and returns once its front accepts clients. The error wraps ErrNotStarted if the process ended
// before that. The caller must call Process.Stop.
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

// Stop makes the process drain, waits until it exits, and returns its stats. It must be called only once.
func (p *Process) Stop() (*Stats, error) {
	p.stdin.Close()
	stats := &Stats{}
	err := json.NewDecoder(p.stdout).Decode(stats)
	if waitErr := p.cmd.Wait(); err == nil {
		err = waitErr
	}
	return stats, err
}
