package lab

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/guard"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
)

// Process is a coordinator in a process of its own, with so many cores and so much memory, before nodes on real
// sockets. It does what the program does, and keeps figures of its loop and heap that the program has no place for.
type Process struct {
	Settings harepass.Settings
	Sections int
	Indices  map[string]*opensearch.Index
	Callers  map[string]string
	Nodes    []core.Node
	Cores    int
	MemoryMB int
	Target   time.Duration // of overload control; 0 has none: first come, first served
}

// Stats is what a Process tells of itself at its end.
type Stats struct {
	Wait99MS, WaitMaxMS float64 // of the loop, by message
	LiveMB              float64 // the most that was live
	CPU                 float64 // seconds
	Levels              []LevelAt
	Waits               []Point // the worst of each tenth of a second
	Admitted, Refused   int
}

const memoryShare = 0.6 // of MemoryMB, for the collector, as in the program

// meter is the gate of a Process: a guard's, or one that admits all, with figures.
type meter struct {
	*guard.Guard // nil admits all
	began        time.Time

	mu    sync.Mutex
	hist  *hdrhistogram.Histogram // microseconds
	stats Stats
}

// Admit implements core.Gate.
func (m *meter) Admit(a overload.Arrival) (ok bool, retryIn time.Duration) {
	if ok = true; m.Guard != nil {
		ok, retryIn = m.Guard.Admit(a)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.stats.Admitted++
	} else {
		m.stats.Refused++
	}
	return ok, retryIn
}

// Done implements core.Gate.
func (m *meter) Done(parts int) {
	if m.Guard != nil {
		m.Guard.Done(parts)
	}
}

// Turn implements core.Gate.
func (m *meter) Turn(t core.Turn) {
	if m.Guard != nil {
		m.Guard.Turn(t)
	}
	if t.Count == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := (t.Wait / time.Duration(t.Count)).Microseconds()
	m.hist.RecordValues(min(mean, m.hist.HighestTrackableValue()), int64(t.Count))
	worst := float64(t.Worst) / float64(time.Millisecond)
	m.stats.WaitMaxMS = max(m.stats.WaitMaxMS, worst)
	at := float64(int(time.Since(m.began).Seconds()*10)) / 10
	if n := len(m.stats.Waits); n == 0 || m.stats.Waits[n-1].At != at {
		m.stats.Waits = append(m.stats.Waits, Point{at, worst})
	} else {
		m.stats.Waits[n-1].Value = max(m.stats.Waits[n-1].Value, worst)
	}
}

// levels is a log handler that keeps the changes of level.
type levels struct{ m *meter }

// Enabled implements slog.Handler.
func (levels) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l levels) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == "level" {
			l.m.mu.Lock()
			l.m.stats.Levels = append(l.m.stats.Levels, LevelAt{time.Since(l.m.began).Seconds(), a.Value.String()})
			l.m.mu.Unlock()
		}
		return a.Key != "level"
	})
	return nil
}

// WithAttrs implements slog.Handler.
func (l levels) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l levels) WithGroup(string) slog.Handler { return l }

// Serve is the process: its configuration comes in on in, its address goes out, and when in ends it drains and
// writes its stats.
func Serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReader(in)
	line, err := input.ReadBytes('\n')
	if err != nil {
		return err
	}
	var p Process
	if err := json.Unmarshal(line, &p); err != nil {
		return err
	}
	runtime.GOMAXPROCS(p.Cores)
	limit := int64(float64(p.MemoryMB) * memoryShare * (1 << 20))
	debug.SetMemoryLimit(limit)
	clock := core.SystemClock()
	m := &meter{began: time.Now(), hist: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	front, err := opensearchConfig(p)
	if err != nil {
		return err
	}
	api := &opensearch.Nodes{Config: front, ConnectTimeout: connectTime, KeepAlive: keepTime}
	cfg := core.Config{Seed: 1, Settings: p.Settings, Limits: core.Limits{Shards: p.Sections}, Clock: clock,
		Callers: map[string]core.Caller{opensearch.Scheme: api}, Subscribe: func() {}, Asked: "lab", Gate: m}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if p.Target > 0 {
		c := guard.Config(p.Settings)
		c.Target, c.Cores, c.Memory, c.MaxRetry = p.Target, float64(p.Cores), limit, 30*time.Second
		m.Guard = guard.New(c, clock)
		m.Guard.Log = slog.New(levels{m})
	}
	owner, err := core.New(cfg)
	if err != nil {
		return err
	}
	api.Owner = owner
	go owner.Run()
	if m.Guard != nil {
		m.Guard.Squeeze, m.Guard.Turning = owner.Squeeze, owner.Turning
		go m.Guard.Run(ctx)
	}
	go m.watchHeap(ctx)
	owner.Listed("lab", harepass.ListFull, p.Nodes)
	<-owner.Started()
	s := &http1.Server{Handler: (&opensearch.Front{Config: front, Owner: owner, Clock: clock}).Handle, Fault: opensearch.Fault, Limits: http1.DefaultLimits}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go s.Serve(l)
	fmt.Fprintln(out, l.Addr())
	input.ReadBytes('\n') // until whoever started it is done
	l.Close()
	s.Shutdown()
	owner.Stop()
	api.Close()
	cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Wait99MS = float64(m.hist.ValueAtPercentile(99)) / 1000
	m.stats.CPU = guard.Self().CPU.Seconds()
	return json.NewEncoder(out).Encode(m.stats)
}

func opensearchConfig(p Process) (*opensearch.Config, error) {
	c := &opensearch.Config{Listen: "memory", SectionField: "section", Indices: p.Indices, Callers: p.Callers}
	return c, c.Check(p.Settings, p.Sections)
}

// watchHeap keeps the most that was live.
func (m *meter) watchHeap(ctx context.Context) {
	for ctx.Err() == nil {
		live := float64(guard.Self().Live) / (1 << 20)
		m.mu.Lock()
		m.stats.LiveMB = max(m.stats.LiveMB, live)
		m.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// Running is a started Process.
type Running struct {
	Address string

	cmd *exec.Cmd
	in  io.WriteCloser
	out *bufio.Reader
}

// ServeCommand is the laboratory's command that calls Serve.
const ServeCommand = "coordinator"

// Start starts the process: this very program, by its ServeCommand.
func (p Process) Start() (*Running, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r := &Running{cmd: exec.Command(self, ServeCommand)}
	r.cmd.Stderr = os.Stderr
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.out = bufio.NewReader(out)
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	if err := json.NewEncoder(r.in).Encode(p); err != nil {
		return nil, err
	}
	address, err := r.out.ReadString('\n')
	if err != nil {
		r.cmd.Process.Kill()
		return nil, fmt.Errorf("the coordinator did not start: %w", err)
	}
	r.Address = address[:len(address)-1]
	return r, nil
}

// Stop ends the process and returns its stats.
func (r *Running) Stop() (*Stats, error) {
	r.in.Close()
	s := &Stats{}
	err := json.NewDecoder(r.out).Decode(s)
	if waited := r.cmd.Wait(); err == nil {
		err = waited
	}
	return s, err
}
