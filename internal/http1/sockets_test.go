package http1

import (
	"net"
	"testing"
	"time"
)

// request is a request without a body.
const request = "GET /x HTTP/1.1\r\n\r\n"

// answerOK is a Handler that answers every request with status 200.
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

// pausedConn is the server's end of a TCP connection. Each read that has received bytes pauses before it returns them,
// so that a test can run code while bytes have left the socket but the server has not seen them.
type pausedConn struct {
	*net.TCPConn
	paused  chan struct{} // gets a token from each read that has received bytes
	proceed chan struct{} // each token lets one such read return
}

func (c *pausedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.paused <- struct{}{}
		<-c.proceed
	}
	return n, err
}

// pausingListener accepts each connection as a pausedConn, and sends that to accepted.
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

// serveWithPauses runs a server on a loopback socket whose connections are pausedConns. It returns a dialer for the
// server, and the listener.
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

// sendFirstRequest sends one request and reads its answer. The connection becomes idle after that.
func sendFirstRequest(t *testing.T, c net.Conn, pc *pausedConn) {
	pc.proceed <- struct{}{}
	c.Write([]byte(request))
	if m, err := NewAnswerReader(small).Read(c); err != nil || m.Status != 200 || m.Close {
		t.Fatalf("first answer %+v, error %v; want status 200 without Close", m, err)
	}
	<-pc.paused
}

// waitTimeout bounds the wait for a state of the server. It is long, so that no test fails because the machine is busy.
const waitTimeout = 20 * time.Second

// waitUntil waits until a condition on the server's state holds, and fails the test if that takes longer than
// waitTimeout. It calls holds under the server's lock.
func waitUntil(t *testing.T, s *Server, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		s.mu.Lock()
		done := holds()
		s.mu.Unlock()
		if done {
			return
		}
	}
	t.Fatalf("%s: condition does not hold within %v", what, waitTimeout)
}

// waitForIdle waits until the server has n idle connections.
func waitForIdle(t *testing.T, s *Server, n int) {
	t.Helper()
	waitUntil(t, s, "idle connections", func() bool { return s.idle != nil && s.idle.Len() == n })
}

// waitForEviction waits until the server has evicted a connection.
func waitForEviction(t *testing.T, s *Server) {
	t.Helper()
	waitUntil(t, s, "an eviction", func() bool { return len(s.evicted) > 0 })
}

// waitForShutdown waits until the server's shutdown has begun.
func waitForShutdown(t *testing.T, s *Server) {
	t.Helper()
	waitUntil(t, s, "the start of the shutdown", func() bool { return s.shuttingDown })
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

// slowConn is the server's end of a TCP connection. Each write sends its bytes at once, and returns only when proceed
// has a token or is closed.
type slowConn struct {
	*net.TCPConn
	written chan struct{} // gets a token from each write that has sent its bytes
	proceed chan struct{}
}

func (c *slowConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.written <- struct{}{}
	<-c.proceed
	return n, err
}
