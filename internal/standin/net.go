package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
)

// Net is a network in memory, for tests on a clock of their own.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*memListener
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
	here, there := net.Pipe()
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
