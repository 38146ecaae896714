package coordinatorproc

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/loadshed"
	"harepass/internal/opensearch"
)

const (
	connectTimeout = 250 * time.Millisecond
	keepAlive      = 30 * time.Second
	maxRetry       = 30 * time.Second // that refused clients are told to wait, at most
	listSource     = "lab"
)

// Serve is the process: it reads its Config as a line of JSON, writes its address, and when its input ends it drains and writes
// its Stats.
func Serve(in io.Reader, out io.Writer) error {
	input := bufio.NewReader(in)
	line, err := input.ReadBytes('\n')
	if err != nil {
		return err
	}
	var c Config
	if err := json.Unmarshal(line, &c); err != nil {
		return err
	}
	runtime.GOMAXPROCS(c.Cores)
	debug.SetMemoryLimit(c.memoryLimit())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r, err := c.run(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, r.listener.Addr())
	input.ReadBytes('\n') // until whoever started it is done
	r.drain()
	cancel()
	return json.NewEncoder(out).Encode(r.meter.sumUp())
}

// memoryLimit is what the garbage collector keeps the heap below, in bytes.
func (c Config) memoryLimit() int64 { return int64(float64(c.MemoryMB) * CollectorShare * (1 << 20)) }

// running is a coordinator that serves.
type running struct {
	meter    *meter
	owner    *core.Coordinator
	nodes    *opensearch.Caller
	server   *http1.Server
	listener net.Listener
}

// run starts a coordinator; the meter and the guard end with ctx.
func (c Config) run(ctx context.Context) (*running, error) {
	clock := core.SystemClock()
	r := &running{meter: newMeter()}
	front := &opensearch.Config{Listen: "memory", SectionField: "section", Indices: c.Indices, ClientTenants: c.Callers}
	if err := front.Check(c.Settings, c.Sections); err != nil {
		return nil, err
	}
	r.nodes = &opensearch.Caller{Config: front, ConnectTimeout: connectTimeout, KeepAlive: keepAlive}
	if c.Target > 0 {
		r.meter.Shedder = c.guard(clock)
		r.meter.Shedder.Log = slog.New(levelLog{r.meter})
	}
	var err error
	if r.owner, err = core.New(core.Config{Seed: 1, Settings: c.Settings, Limits: core.Limits{Shards: c.Sections}, Clock: clock,
		Callers: map[string]core.Caller{opensearch.Scheme: r.nodes}, Subscribe: func() {}, PolledSource: listSource, Admitter: r.meter}); err != nil {
		return nil, err
	}
	r.nodes.Reporter = r.owner
	go r.owner.Run()
	if g := r.meter.Shedder; g != nil {
		g.RelieveMemory, g.TickElapsed = r.owner.RelieveMemory, r.owner.TickElapsed
		go g.Run(ctx)
	}
	go r.meter.watchHeap(ctx)
	r.owner.UpdateEndpoints(listSource, scatter.FullUpdate, c.Nodes)
	<-r.owner.Started()
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.server = &http1.Server{Handler: (&opensearch.Front{Config: front, Coordinator: r.owner, Clock: clock}).Handle, ErrorAnswer: opensearch.ErrorResponse, Limits: http1.DefaultLimits}
	go r.server.Serve(r.listener)
	return r, nil
}

// guard is overload control for the process's own limits.
func (c Config) guard(clock core.Clock) *loadshed.Shedder {
	limits := loadshed.ControllerConfig(c.Settings)
	limits.WaitTarget, limits.Cores, limits.MemoryBytes, limits.MaxRetryAfter = c.Target, float64(c.Cores), c.memoryLimit(), maxRetry
	return loadshed.New(limits, clock)
}

// drain answers what has been taken and ends the rest.
func (r *running) drain() {
	r.listener.Close()
	r.server.Shutdown()
	r.owner.Stop()
	r.nodes.Close()
}
