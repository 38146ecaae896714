package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Net is a network in memory, for tests on a clock of their own.
type Net struct {
	// HalfClose makes both directions of a connection end by themselves, as on TCP: a server can then end its answers and
	// still read out what its client sends. Without it connections are net.Pipe's, which end in both directions at once.
	HalfClose bool

	mu        sync.Mutex
	listeners map[string]*memListener
}

// memConn is one end of a connection in memory that closes its own direction with CloseWrite and goes on reading the
// peer's. Nothing is buffered: a write waits for the peer's reads.
type memConn struct {
	net.Conn          // the direction from the peer
	out      net.Conn // the direction to the peer
}

// pipe returns both ends of a connection.
func (n *Net) pipe() (here, there net.Conn) {
	if !n.HalfClose {
		return net.Pipe()
	}
	toHere, fromThere := net.Pipe()
	toThere, fromHere := net.Pipe()
	return &memConn{Conn: toHere, out: fromHere}, &memConn{Conn: toThere, out: fromThere}
}

// Write implements net.Conn.
func (c *memConn) Write(data []byte) (int, error) { return c.out.Write(data) }

// CloseWrite ends the direction to the peer, which then reads io.EOF.
func (c *memConn) CloseWrite() error { return c.out.Close() }

// Close implements net.Conn.
func (c *memConn) Close() error { return errors.Join(c.out.Close(), c.Conn.Close()) }

// SetWriteDeadline implements net.Conn.
func (c *memConn) SetWriteDeadline(at time.Time) error { return c.out.SetWriteDeadline(at) }

// SetDeadline implements net.Conn.
func (c *memConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

type memListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

// Listen opens an address.
func (n *Net) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memListener{}
	}
	l := &memListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address that was opened; others refuse.
func (n *Net) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("connection to %s refused", address)
	}
	here, there := n.pipe()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, fmt.Errorf("connection to %s refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address, Net: "memory"} }
