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

// dial connects a client to the server that listens as s in memory.
func dial(t *testing.T, memory *fake.Network) net.Conn {
	t.Helper()
	c, err := memory.Dial(context.Background(), "s")
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// A server has as many connections as it may, and another client connects. The idle connection is evicted, and the
// busy one stays; nothing is evicted before.
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
		ends := func(i int) bool {
			conns[i].SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := conns[i].Read(make([]byte, 1))
			return err == io.EOF
		}
		for i := range 3 {
			c := dial(t, &memory)
			conns = append(conns, c)
			time.Sleep(time.Second)
			if i == 0 { // the first is busy, so the second goes, but not before there is a third
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				synctest.Wait()
			}
			if i == 1 && (ends(0) || ends(1)) {
				t.Error("a connection was evicted with no need")
			}
		}
		if ends(0) || !ends(1) || ends(2) {
			t.Error("the second connection should have made way, and no other")
		}
		for _, c := range conns {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// Clients connect in a flood and send nothing, or half a request. They are evicted themselves: not a connection that
// has brought a request before, nor one whose request is being handled, nor a request that has only just begun.
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
			return err != nil // else its end
		}
		idle, slow := join("GET / HTTP/1.1\r\n\r\n"), join("GET /slow HTTP/1.1\r\n\r\n")
		alive(idle) // reads its answer
		half := join("GET / HT")
		var flood []net.Conn
		for i := range 30 {
			time.Sleep(stalledAfter / 10)
			flood = append(flood, join([]string{"", "POST / "}[i%2]))
			if i == 1 && !alive(half) {
				t.Error("a request that has just begun was evicted")
			}
		}
		if !alive(idle) || !alive(slow) || alive(half) || alive(flood[0]) {
			t.Error("the flood did not displace itself")
		}
		for _, c := range append(flood, idle, slow, half) {
			c.Close()
		}
		l.Close()
		s.Shutdown()
	})
}

// The first request of a new connection may be on the way: the connection is not evicted for the next one. An idle
// connection goes before it, though that has brought a request.
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
				time.Sleep(newConnGrace / 2) // its first byte is on the way
				c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
				if m, err := NewAnswerReader(small).Read(c); err == nil && m.Status == 200 {
					answered.Add(1)
				}
				c.Read(make([]byte, 1)) // it stays
				c.Close()
			})
		}
		for range 5 { // each round fills the server anew
			for range 3 {
				connect()
			}
			time.Sleep(newConnGrace)
			synctest.Wait()
		}
		if n := answered.Load(); n != 15 {
			t.Errorf("%d of 15 were answered", n)
		}
		l.Close()
		time.Sleep(2 * keepAliveTimeout)
		wg.Wait()
		s.Shutdown()
	})
}

// Clients that send one request and stay do not pile up. The connection that has been idle for longest is evicted, no
// busy one and none that is new.
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

// 60 clients connect to a server for 8, and none closes. However many are evicted at once, those that are still being
// closed count as connections, so that the bound on descriptors holds.
func TestEvictedConnectionsCount(t *testing.T) {
	s := &Server{Limits: small, MaxConns: 8, Handler: answerOK}
	l := serveOnLoopback(t, s)
	most := 0
	for i := range 60 {
		c := connect(t, l)
		defer c.Close()
		fmt.Fprint(c, request)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if m, err := NewAnswerReader(small).Read(c); err != nil || m.Status != 200 {
			t.Errorf("connection %d: %+v, %v", i, m, err)
		}
		s.mu.Lock()
		most = max(most, len(s.conns)+len(s.evicted))
		s.mu.Unlock()
	}
	if most > s.MaxConns+1 {
		t.Errorf("there are %d connections, %d may be", most, s.MaxConns)
	}
	l.Close()
	s.Shutdown()
}
