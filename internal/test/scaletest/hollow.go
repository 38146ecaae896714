package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
	"harepass/internal/platform"
	"harepass/internal/wire"
)

// HollowCommand is the laboratory's command that runs a host of hollow coordinators, which the run starts.
const HollowCommand = "hollow"

// HostSpec is what a host is told on its standard input. It ends when the input does.
type HostSpec struct {
	Settings json.RawMessage
	Members  []MemberSpec
}

// MemberSpec is one hollow coordinator.
type MemberSpec struct {
	Name             string
	Ordinal          int
	FleetSize        int // coordinators in all
	Zone             string
	Region           string
	Module           bool // with the decision module
	Sources          []SourceSpec
	Heartbeat        time.Duration // the heartbeat
	DiscoveryAddress string        // discovery's address; then there are no sources, and nothing follows the settings
	KnownIndex       int64         // then: the version of the list that the member knows at its start
}

// SourceSpec is a relay as a member reaches it.
type SourceSpec struct {
	Address string
	Zone    string
	Region  string
}

const (
	flushInterval     = 50 * time.Millisecond
	trafficInterval   = time.Second
	trafficLinePrefix = "#bytes"
)

// host runs hollow coordinators in one process.
type host struct {
	mu            sync.Mutex
	out           *bufio.Writer
	read, written atomic.Int64
}

// RunHost reads a HostSpec, runs its coordinators and writes their records, until the input or ctx ends.
func RunHost(ctx context.Context, in io.Reader, out io.Writer) error {
	var spec HostSpec
	if err := json.NewDecoder(in).Decode(&spec); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		io.Copy(io.Discard, in)
		cancel()
	}()
	h := &host{out: bufio.NewWriterSize(out, 64<<10)}
	for _, m := range spec.Members {
		hollow, err := newHollow(h, m, spec.Settings)
		if err != nil {
			return fmt.Errorf("scale: %s: %w", m.Name, err)
		}
		go hollow.run(ctx)
	}
	h.report(ctx)
	return h.flush()
}

// report hands the records out, and now and then the bytes, until ctx ends.
func (h *host) report(ctx context.Context) {
	flush, count := time.NewTicker(flushInterval), time.NewTicker(trafficInterval)
	defer flush.Stop()
	defer count.Stop()
	for {
		select {
		case <-flush.C:
			if h.flush() != nil {
				return
			}
		case <-count.C:
			h.mu.Lock()
			fmt.Fprintln(h.out, trafficLinePrefix, h.read.Load(), h.written.Load())
			h.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

func (h *host) flush() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out.Flush()
}

func (h *host) record(t VersionRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.write(h.out)
}

// dial connects, and counts what goes through the connection.
func (h *host) dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := http1.Dialer(nil).Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{c, h}, nil
}

type countingConn struct {
	net.Conn
	host *host
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.host.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.host.written.Add(int64(n))
	return n, err
}

// hollow is a coordinator that follows list and settings, has no clients and sends nothing.
type hollow struct {
	MemberSpec
	host        *host
	coordinator *core.Coordinator // nil without the module
	settings    json.RawMessage
}

func newHollow(h *host, spec MemberSpec, settings json.RawMessage) (*hollow, error) {
	m := &hollow{MemberSpec: spec, host: h, settings: settings}
	if !spec.Module {
		return m, nil
	}
	parsed, caps, err := wire.JSONSettings(settings)
	if err != nil {
		return nil, err
	}
	parsed.Coordinators, parsed.Ordinal, parsed.Subscribe = spec.FleetSize, spec.Ordinal+1, true
	frames := &platform.Caller{CallsPerConn: caps.CallsPerConn, MaxConns: 1, ConnectTimeout: caps.ConnectTimeout, KeepAlive: caps.KeepAlive}
	m.coordinator, err = core.New(core.Config{Seed: uint64(spec.Ordinal), Settings: parsed, Clock: core.SystemClock(),
		Callers: map[string]core.Caller{platform.Scheme: frames}, Subscribe: func() {}, PolledSource: platform.Source})
	if err == nil {
		frames.Reporter = m.coordinator
	}
	return m, err
}

// run follows until ctx ends.
func (m *hollow) run(ctx context.Context) {
	if m.coordinator != nil {
		go m.coordinator.Run()
	}
	if m.DiscoveryAddress != "" {
		m.followDiscovery(ctx)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { m.followList(ctx) })
	both.Go(func() { m.followSettings(ctx) })
	both.Wait()
}
