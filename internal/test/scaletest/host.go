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

	"harepass/internal/http1"
)

// HollowCommand is the sub-command for which the program in Config.Lab must call RunHost.
const HollowCommand = "hollow"

// HostSpec configures a host process, which reads it from standard input. The process ends when its input is closed.
type HostSpec struct {
	Settings json.RawMessage // as encodeSettings returns them
	Members  []MemberSpec
}

// MemberSpec describes one hollow coordinator.
type MemberSpec struct {
	Name      string
	Ordinal   int // from 0, over the whole fleet
	FleetSize int // coordinators in all
	Zone      string
	Region    string
	Module    bool // also run the decision module
	Sources   []SourceSpec
	Heartbeat time.Duration // longest wait of a watch

	DiscoveryAddress string // set only for a member without distribution, which uses no Sources or settings
	KnownIndex       int64  // index of the endpoint list with which a member without distribution starts
}

// SourceSpec describes a relay, with the address by which a member reaches it.
type SourceSpec struct {
	Address string
	Zone    string
	Region  string
}

const (
	flushInterval     = 50 * time.Millisecond // between two writes of buffered records
	trafficInterval   = time.Second           // between two lines of bytes read and written
	trafficLinePrefix = "#bytes"              // begins a line of bytes read and written; records never begin with it
	recordBufferBytes = 64 << 10
)

// host runs hollow coordinators in one process and writes their version records and traffic.
type host struct {
	mu            sync.Mutex
	out           *bufio.Writer // under mu
	read, written atomic.Int64  // bytes on all connections
}

// RunHost reads a HostSpec from in, runs its coordinators and writes their records to out, until in or ctx ends. Call
// it once per process and exit afterwards, because decision modules run until the process exits.
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
	h := &host{out: bufio.NewWriterSize(out, recordBufferBytes)}
	for _, memberSpec := range spec.Members {
		member, err := newHollow(h, memberSpec, spec.Settings)
		if err != nil {
			return fmt.Errorf("scaletest: hollow coordinator %s: %w", memberSpec.Name, err)
		}
		go member.run(ctx)
	}
	h.report(ctx)
	return h.flush()
}

// report writes records and traffic at their intervals until ctx ends or a flush fails.
func (h *host) report(ctx context.Context) {
	flush, traffic := time.NewTicker(flushInterval), time.NewTicker(trafficInterval)
	defer flush.Stop()
	defer traffic.Stop()
	for {
		select {
		case <-flush.C:
			if h.flush() != nil {
				return
			}
		case <-traffic.C:
			h.mu.Lock()
			fmt.Fprintln(h.out, trafficLinePrefix, h.read.Load(), h.written.Load())
			h.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// flush writes all buffered lines.
func (h *host) flush() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out.Flush()
}

// record buffers a member's version record. It is safe for concurrent use.
func (h *host) record(r VersionRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.write(h.out)
}

// dial connects to an address and counts the bytes that the connection reads and writes.
func (h *host) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := http1.Dialer(nil).Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, h}, nil
}

// countingConn adds the bytes of a connection to its host's counters.
type countingConn struct {
	net.Conn
	host *host
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.host.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.host.written.Add(int64(n))
	return n, err
}
