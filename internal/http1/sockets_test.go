package http1

import (
	"net"
	"testing"
	"time"
)

// request is a request that has no body.
const request = "GET /x HTTP/1.1\r\n\r\n"

// answerOK is a Handler.
func answerOK(*Message, <-chan struct{}) *Message { return &Message{Status: 200} }

// serveOnLoopback runs a server on a loopback socket, and returns its listener.
func serveOnLoopback(t *testing.T, s *Server) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	return l
}

// connect opens a connection to a listener.
func connect(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// pausedConn is the server's end of a real connection. Each read that has brought bytes pauses before it returns them:
// so bytes that were read, and that the server does not know of yet, can be had at will.
type pausedConn struct {
	*net.TCPConn
	paused  chan struct{} // gets a token for each read that has brought something
	proceed chan struct{} // a token lets one such read return
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.paused <- struct{}{}
		<-c.proceed
	}
	return n, err
}

// pausingListener accepts connections as pausedConn.
type pausingListener struct {
	net.Listener
	accepted chan *pausedConn
}

func (l pausingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	paused := &pausedConn{c.(*net.TCPConn), make(chan struct{}, 100), make(chan struct{}, 100)}
	l.accepted <- paused
	return paused, nil
}

// dialer connects a client, and returns both ends of the connection.
type dialer func() (net.Conn, *pausedConn)

// serveWithPauses runs a server on loopback, and returns a dialer for it.
func serveWithPauses(t *testing.T, s *Server) (dialer, net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	pausing := pausingListener{l, make(chan *pausedConn, 100)}
	go s.Serve(pausing)
	t.Cleanup(func() { l.Close() })
	return func() (net.Conn, *pausedConn) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c, <-pausing.accepted
	}, l
}

// sendFirstRequest sends one request and reads its answer. The connection is idle after that.
func sendFirstRequest(t *testing.T, c net.Conn, h *pausedConn) {
	h.proceed <- struct{}{}
	c.Write([]byte(request))
	if m, err := NewAnswerReader(small).Read(c); err != nil || m.Status != 200 || m.Close {
		t.Fatalf("first answer %+v, %v", m, err)
	}
	<-h.paused
}

// waitForIdle waits until the server has n idle connections.
func waitForIdle(s *Server, n int) {
	for {
		s.mu.Lock()
		idle := s.idle != nil && s.idle.Len() == n
		s.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// waitForEviction waits until the server has evicted a connection.
func waitForEviction(s *Server) {
	for n := 0; n == 0; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n = len(s.evicted)
		s.mu.Unlock()
	}
}

// waitForShutdown waits until the server's shutdown has begun.
func waitForShutdown(s *Server) {
	for down := false; !down; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		down = s.shuttingDown
		s.mu.Unlock()
	}
}

// acceptedPair connects a client to a listener, and returns both ends of the connection.
func acceptedPair(t *testing.T, l net.Listener) (client net.Conn, accepted *net.TCPConn) {
	t.Helper()
	client = connect(t, l)
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, server.(*net.TCPConn)
}

// slowConn is the server's end of a connection whose writes return only when they are let.
type slowConn struct {
	*net.TCPConn
	written chan struct{} // gets a token for each write
	proceed chan struct{}
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written <- struct{}{}
	<-c.proceed
	return n, err
}
