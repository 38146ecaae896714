package fake

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ErrConnectionRefused reports that an address of a Network has no listener.
var ErrConnectionRefused = errors.New("connection refused")

// Network provides in-memory connections, for tests on a virtual clock. The zero value has no listeners.
type Network struct {
	// HalfClose lets each direction of a connection end separately, as on TCP: a server can then end its answers and
	// still read the rest of what its client sends. Without it, connections are those of net.Pipe, which end in both
	// directions at once.
	HalfClose bool

	mu        sync.Mutex
	listeners map[string]*memoryListener // by address
}

// Listen opens a listener at an address. An earlier listener at the address gets no further connections.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memoryListener{}
	}
	l := &memoryListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects to an address and waits until the connection is accepted. The error wraps ErrConnectionRefused if the
// address has no listener, and is the context's error if the context ends first.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := fmt.Errorf("%s: %w", address, ErrConnectionRefused)
	if l == nil {
		return nil, refused
	}
	client, server := n.pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipe returns both ends of a new connection.
func (n *Network) pipe() (client, server net.Conn) {
	if !n.HalfClose {
		return net.Pipe()
	}
	toClient, fromServer := net.Pipe()
	toServer, fromClient := net.Pipe()
	return &memoryConn{Conn: toClient, out: fromClient}, &memoryConn{Conn: toServer, out: fromServer}
}

// memoryConn is one end of a connection. CloseWrite ends its direction to the peer, while the direction from the peer
// stays open. Writes are not buffered: each one blocks until the peer has read it.
type memoryConn struct {
	net.Conn          // the direction from the peer
	out      net.Conn // the direction to the peer
}

// Write implements net.Conn.
func (c *memoryConn) Write(data []byte) (int, error) { return c.out.Write(data) }

// CloseWrite ends the direction to the peer. The peer then reads io.EOF.
func (c *memoryConn) CloseWrite() error { return c.out.Close() }

// Close implements net.Conn.
func (c *memoryConn) Close() error { return errors.Join(c.out.Close(), c.Conn.Close()) }

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(at time.Time) error { return c.out.SetWriteDeadline(at) }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(at time.Time) error {
	return errors.Join(c.SetReadDeadline(at), c.SetWriteDeadline(at))
}

// memoryListener is an open address of a Network.
type memoryListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{} // closed by Close
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address, Net: "memory"} }
