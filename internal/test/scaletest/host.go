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

// HollowCommand is the command of the program in Config.Lab that has to call RunHost.
const HollowCommand = "hollow"

// HostSpec is what a host process reads from its standard input. The process ends when its input does.
type HostSpec struct {
	Settings json.RawMessage // as encodeSettings made them
	Members  []MemberSpec
}

// MemberSpec describes one hollow coordinator.
type MemberSpec struct {
	Name      string
	Ordinal   int // from 0, over the whole fleet
	FleetSize int // coordinators in all
	Zone      string
	Region    string
	Module    bool // run the decision module as well
	Sources   []SourceSpec
	Heartbeat time.Duration // how long a watch waits at most

	DiscoveryAddress string // set for a member without distribution, which has no Sources and follows no settings
	KnownIndex       int64  // the index of the endpoint list that a member without distribution has at its start
}

// SourceSpec is a relay as a member reaches it.
type SourceSpec struct {
	Address string
	Zone    string
	Region  string
}

const (
	flushInterval     = 50 * time.Millisecond // between two writes of buffered records
	trafficInterval   = time.Second           // between two lines of bytes read and written
	trafficLinePrefix = "#bytes"              // begins a line of bytes read and written; no record begins with it
	recordBufferBytes = 64 << 10
)

// host runs hollow coordinators in one process, and writes their records and traffic.
type host struct {
	mu            sync.Mutex
	out           *bufio.Writer // under mu
	read, written atomic.Int64  // bytes of all connections
}

// RunHost reads a HostSpec from in, runs its coordinators and writes their records to out, until in or ctx ends. It
// is to be called once in a process, which has to exit afterwards: decision modules run until then.
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
			return fmt.Errorf("scaletest: %s: %w", memberSpec.Name, err)
		}
		go member.run(ctx)
	}
	h.report(ctx)
	return h.flush()
}

// report writes records and traffic at their intervals until ctx ends or nothing can be written any more.
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

// flush writes what is buffered.
func (h *host) flush() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out.Flush()
}

// record buffers a member's record. Any goroutine may call it.
func (h *host) record(r VersionRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.write(h.out)
}

// dial connects to an address and counts what the connection reads and writes.
func (h *host) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := http1.Dialer(nil).Connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, h}, nil
}

// countingConn adds the bytes of a connection to its host's.
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
