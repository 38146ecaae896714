package http1

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/test/fake"
)

// dial connects a client to the server that listens under the address s in the in-memory network.
func dial(t *testing.T, memory *fake.Network) net.Conn {
	t.Helper()
	c, err := memory.Dial(context.Background(), "s")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// When another client connects to a server with MaxConns connections, the idle connection is evicted and the busy one
// stays open. No connection is evicted before that.
func TestFullServerEvictsTheIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 2, Handler: func(_ *Message, clientLeft <-chan struct{}) *Message {
			<-clientLeft
			return &Message{Status: 200}
		}}
		go s.Serve(l)
		var conns []net.Conn
		hasEnded := func(i int) bool {
			conns[i].SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := conns[i].Read(make([]byte, 1))
			return err == io.EOF
		}
		for i := range 3 {
			c := dial(t, &memory)
			conns = append(conns, c)
			time.Sleep(time.Second)
			if i == 0 { // makes the first connection busy, so that the second is evicted once a third arrives
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				synctest.Wait()
			}
			if i == 1 && (hasEnded(0) || hasEnded(1)) {
				t.Error("connection evicted although MaxConns was not exceeded")
			}
		}
		if hasEnded(0) || !hasEnded(1) || hasEnded(2) {
			t.Error("wrong connection evicted, or none; want only the second one evicted")
		}
		for _, c := range conns {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// Many clients connect at a high rate and send nothing or half a request. The server evicts their connections. It does
// not evict a connection that has brought a request before, one whose request is being handled, or one whose request
// has only just begun.
func TestFloodOfConnectionsDisplacesItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 12, Handler: func(req *Message, _ <-chan struct{}) *Message {
			if req.Target == "/slow" {
				time.Sleep(1900 * time.Millisecond)
			}
			return &Message{Status: 200}
		}}
		go s.Serve(l)
		join := func(text string) net.Conn {
			c := dial(t, &memory)
			c.Write([]byte(text))
			synctest.Wait()
			return c
		}
		alive := func(c net.Conn) bool {
			c.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := io.Copy(io.Discard, c)
			return err != nil // io.Copy returns nil if the connection has ended
		}
		idle, slow := join("GET / HTTP/1.1\r\n\r\n"), join("GET /slow HTTP/1.1\r\n\r\n")
		alive(idle) // reads the answer, so that the connection is idle
		half := join("GET / HT")
		var flood []net.Conn
		for i := range 30 {
			time.Sleep(stalledAfter / 10)
			flood = append(flood, join([]string{"", "POST / "}[i%2]))
			if i == 1 && !alive(half) {
				t.Error("connection evicted although its request had just begun")
			}
		}
		if !alive(idle) || !alive(slow) || alive(half) || alive(flood[0]) {
			t.Error("wrong connections evicted: want the stalled ones evicted, and the idle and the busy one open")
		}
		for _, c := range append(flood, idle, slow, half) {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// A new connection is not evicted for the next one, because its first request may be on the way. An idle connection is
// evicted before it, although the idle one has brought a request.
func TestNewConnectionIsNotEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("s")
		s := &Server{Limits: small, MaxConns: 3, Handler: answerOK}
		go s.Serve(l)
		var answered atomic.Int32
		var wg sync.WaitGroup
		connect := func() {
			c := dial(t, &memory)
			wg.Go(func() {
				time.Sleep(newConnGrace / 2) // the first byte arrives after a delay below newConnGrace
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				if m, err := NewAnswerReader(small).Read(c); err == nil && m.Status == 200 {
					answered.Add(1)
				}
				c.Read(make([]byte, 1)) // the client stays connected
				c.Close()
			})
		}
		for range 5 { // each round fills the server again
			for range 3 {
				connect()
			}
			time.Sleep(newConnGrace)
			synctest.Wait()
		}
		if n := answered.Load(); n != 15 {
			t.Errorf("%d requests answered, want 15", n)
		}
		l.Close()
		time.Sleep(2 * keepAliveTimeout)
		wg.Wait()
		s.Shutdown()
	})
}

// Connections of clients that send one request and stay connected do not accumulate. The connection that has been idle
// for the longest time is evicted; busy and new connections are not.
func TestIdleConnectionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var memory fake.Network
		l := memory.Listen("s")
		handler := func(req *Message, clientLeft <-chan struct{}) *Message {
			if req.Target == "/slow" {
				<-clientLeft
			}
			return &Message{Status: 200}
		}
		s := &Server{Limits: small, MaxConns: 100, MaxIdle: 3, Handler: handler}
		go s.Serve(l)
		var conns []net.Conn
		open := make([]atomic.Bool, 7)
		for i, text := range []string{"GET /slow HTTP/1.1\r\n\r\n", "", request, request, request, request, request} {
			c := dial(t, &memory)
			conns = append(conns, c)
			open[i].Store(true)
			go func() {
				io.Copy(io.Discard, c)
				open[i].Store(false)
			}()
			c.Write([]byte(text))
			time.Sleep(10 * time.Millisecond)
		}
		for i, want := range []bool{true, true, false, false, true, true, true} {
			if open[i].Load() != want {
				t.Errorf("connection %d: open %t, want %t", i, !want, want)
			}
		}
		for _, c := range conns {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// 60 clients connect to a server with MaxConns 8, and none closes its connection. Evicted connections that are still
// being closed count as connections, however many there are, so that the bound on descriptors holds.
func TestEvictedConnectionsCount(t *testing.T) {
	s := &Server{Limits: small, MaxConns: 8, Handler: answerOK}
	l := serveOnLoopback(t, s)
	maxOpen := 0
	for i := range 60 {
		c := connect(t, l)
		defer c.Close()
		fmt.Fprint(c, request)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if m, err := NewAnswerReader(small).Read(c); err != nil || m.Status != 200 {
			t.Errorf("connection %d: answer %+v, error %v; want status 200", i, m, err)
		}
		s.mu.Lock()
		maxOpen = max(maxOpen, len(s.conns)+len(s.evicted))
		s.mu.Unlock()
	}
	if maxOpen > s.MaxConns+1 {
		t.Errorf("%d connections at once, want at most one more than MaxConns = %d", maxOpen, s.MaxConns)
	}
	l.Close()
	s.Shutdown()
}
