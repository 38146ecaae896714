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
	connectTimeout = 250 * time.Millisecond // bound for connecting to a replica
	keepAlive      = 30 * time.Second       // how long an idle connection to a replica stays open
	maxRetryAfter  = 30 * time.Second       // longest Retry-After that a rejected client gets
	listSource     = "lab"                  // source name under which the coordinator gets the endpoint list
	seed           = 1                      // of the decision module's random draws
)

// Serve runs the coordinator in the process that Config.Start starts. It reads a Config as one line of JSON and writes
// the address of its front as a line. When its input is closed, it drains and writes its Stats as JSON. It must be
// called only once in a process, and the process must exit afterwards, because Serve sets the runtime's limits, and
// overload control and the meter may still run for a moment when it returns.
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
	s, err := c.start(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, s.listener.Addr())
	input.ReadBytes('\n') // returns when Process.Stop closes the input
	s.drain()
	cancel()
	return json.NewEncoder(out).Encode(s.meter.summarize())
}

// memoryLimit is the heap limit of the garbage collector, in bytes.
func (c Config) memoryLimit() int64 { return int64(float64(c.MemoryMB) * HeapLimitShare * bytesPerMB) }

// server is a coordinator that accepts clients.
type server struct {
	meter       *meter
	coordinator *core.Coordinator
	caller      *opensearch.Caller
	http        *http1.Server
	listener    net.Listener
}

// start starts a coordinator and its front. Overload control and the meter stop when ctx ends; drain stops everything
// else.
func (c Config) start(ctx context.Context) (*server, error) {
	clock := core.SystemClock()
	s := &server{meter: newMeter()}
	front := &opensearch.Config{
		Listen: "memory", SectionField: "section", Indices: c.Indices, ClientTenants: c.TenantsByUser,
	}
	if err := front.Check(c.Settings, c.Shards); err != nil {
		return nil, err
	}
	s.caller = &opensearch.Caller{Config: front, ConnectTimeout: connectTimeout, KeepAlive: keepAlive}
	if c.WaitTarget > 0 {
		s.meter.Shedder = c.newShedder(clock)
		s.meter.Shedder.Log = slog.New(levelLog{s.meter})
	}
	var err error
	s.coordinator, err = core.New(core.Config{
		Seed: seed, Settings: c.Settings, Limits: core.Limits{Shards: c.Shards}, Clock: clock,
		Callers:   map[string]core.Caller{opensearch.Scheme: s.caller},
		Subscribe: func() {}, PolledSource: listSource, Admitter: s.meter,
	})
	if err != nil {
		return nil, err
	}
	s.caller.Reporter = s.coordinator
	go s.coordinator.Run()
	if shedder := s.meter.Shedder; shedder != nil {
		shedder.RelieveMemory, shedder.TickElapsed = s.coordinator.RelieveMemory, s.coordinator.TickElapsed
		go shedder.Run(ctx)
	}
	go s.meter.watchHeap(ctx)
	s.coordinator.UpdateEndpoints(listSource, scatter.FullUpdate, c.Endpoints)
	<-s.coordinator.Started()
	return s, s.listen(&opensearch.Front{Config: front, Coordinator: s.coordinator, Clock: clock})
}

// listen starts the front, which accepts clients on loopback until drain.
func (s *server) listen(front *opensearch.Front) (err error) {
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.http = &http1.Server{Handler: front.Handle, ErrorAnswer: opensearch.ErrorResponse, Limits: http1.DefaultLimits}
	go s.http.Serve(s.listener)
	return nil
}

// newShedder returns the overload control for the process's cores and memory limit.
func (c Config) newShedder(clock core.Clock) *loadshed.Shedder {
	limits := loadshed.ControllerConfig(c.Settings)
	limits.WaitTarget, limits.MaxRetryAfter = c.WaitTarget, maxRetryAfter
	limits.Cores, limits.MemoryBytes = float64(c.Cores), c.memoryLimit()
	return loadshed.New(limits, clock)
}

// drain stops accepting clients, answers the admitted queries, and stops the coordinator and its calls to replicas.
func (s *server) drain() {
	s.listener.Close()
	s.http.Shutdown()
	s.coordinator.Stop()
	s.caller.Close()
}
