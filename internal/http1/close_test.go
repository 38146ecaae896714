package http1

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// closeDecisions have a server decide to close its one idle connection, and return once it has.
var closeDecisions = map[string]func(t *testing.T, s *Server, dial dialer, l net.Listener){
	"shutdown": func(t *testing.T, s *Server, _ dialer, l net.Listener) {
		l.Close()
		go s.Shutdown()
		waitForShutdown(t, s)
	},
	"too many idle": func(t *testing.T, s *Server, dial dialer, _ net.Listener) {
		s.mu.Lock()
		s.MaxIdle = 1
		s.mu.Unlock()
		c, h := dial()
		sendFirstRequest(t, c, h)
		waitForEviction(t, s)
	},
	"evicted": func(t *testing.T, s *Server, dial dialer, _ net.Listener) {
		s.mu.Lock()
		s.MaxConns = 1
		s.mu.Unlock()
		dial()
		waitForEviction(t, s)
	},
}

// A request arrives on an idle connection in the moment in which the server decides to close it: its bytes are read,
// and the server does not know of them yet. A close now would lose a request that was read. It is answered; the
// connection ends with the answer at a shutdown, and stays open where it was to be evicted.
func TestRequestThatCrossesACloseIsAnswered(t *testing.T) {
	for name, decide := range closeDecisions {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int32
			s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
				handled.Add(1)
				return &Message{Status: 200}
			}}
			dial, l := serveWithPauses(t, s)
			c, h := dial()
			sendFirstRequest(t, c, h)
			waitForIdle(t, s, 1)
			before := handled.Load()
			c.Write([]byte(request))
			<-h.paused // it was read, and the server does not know of it
			decide(t, s, dial, l)
			others := handled.Load()
			h.proceed <- struct{}{}
			m, err := NewAnswerReader(small).Read(c)
			if err != nil || m.Status != 200 || m.Close != (name == "shutdown") {
				t.Errorf("the client got %+v, %v", m, err)
			}
			if n := handled.Load() - others; n != 1 || others-before > 1 {
				t.Errorf("%d requests were handled, want the one that was read", n)
			}
			l.Close()
			go s.Shutdown()
			waitForShutdown(t, s)
			if more, err := io.ReadAll(c); len(more) > 0 || err != nil {
				t.Errorf("after the answer came %q, %v; want a clean end", more, err)
			}
			s.Shutdown() // whatever was read has been handled after this
			if n := handled.Load() - others; n != 1 {
				t.Errorf("%d requests were handled in the end", n)
			}
		})
	}
}

// The server closes a connection while bytes of the client are unread in its socket. A close over unread bytes sends
// a reset, which would destroy the answer on its way. The client gets all of the answer and a clean end, on each path
// that ends a connection.
func TestCloseOverUnreadBytesResetsNoAnswer(t *testing.T) {
	for name, first := range map[string]string{
		"the client asked for it": "GET /x HTTP/1.1\r\nConnection: close\r\n\r\n",
		"a draining server":       request,
		"an invalid request":      "GET /x HTTP/9.9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			reached, answer := make(chan struct{}, 1), make(chan struct{})
			s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
				reached <- struct{}{}
				<-answer
				return &Message{Status: 200, Body: []byte(strings.Repeat("v", 200))}
			}, ErrorAnswer: func(e *Error) *Message {
				reached <- struct{}{}
				<-answer
				return &Message{Status: e.Status, Body: []byte(strings.Repeat("v", 200))}
			}}
			dial, l := serveWithPauses(t, s)
			c, h := dial()
			c.Write([]byte(first))
			<-h.paused
			h.proceed <- struct{}{}
			<-reached
			if name == "a draining server" {
				s.Drain()
			}
			c.Write([]byte("GET /half")) // the next read stops with this
			if name != "an invalid request" {
				<-h.paused
			}
			c.Write([]byte("and more that is not read for now"))
			time.Sleep(20 * time.Millisecond) // it is in the server's socket
			close(answer)
			time.AfterFunc(50*time.Millisecond, func() { h.proceed <- struct{}{}; h.proceed <- struct{}{} })
			got, err := io.ReadAll(c)
			if err != nil || !strings.HasSuffix(string(got), "vvvv") {
				t.Errorf("the client got %d bytes, then %v; want the answer and a clean end", len(got), err)
			}
			for range 10 { // whatever else is read
				h.proceed <- struct{}{}
			}
			l.Close()
			s.Shutdown()
		})
	}
}

// One connection's answer is being written when the shutdown begins, and another connection is accepted after that,
// from the backlog. Neither may stay open and go on taking requests.
func TestNoConnectionStaysOpenAfterShutdown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var handled atomic.Int32
	s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
		handled.Add(1)
		return &Message{Status: 200}
	}}
	c, there := acceptedPair(t, l)
	defer c.Close()
	slow := &slowConn{there, make(chan struct{}, 10), make(chan struct{})}
	first := &conn{Conn: slow, server: s}
	s.start(first)
	c.Write([]byte(request))
	<-slow.written
	var wg sync.WaitGroup
	wg.Go(s.Shutdown)
	waitForShutdown(t, s)
	late, accepted := acceptedPair(t, l)
	defer late.Close()
	second := &conn{Conn: accepted, server: s}
	s.start(second)
	close(slow.proceed)
	for end := time.Now().Add(5 * time.Second); !(first.isClosing() && second.isClosing()) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for who, c := range map[string]net.Conn{"answered at the shutdown": c, "accepted at the shutdown": late} {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write([]byte(request))
		if _, err := io.ReadAll(c); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: the connection ends with %v", who, err)
		}
	}
	wg.Wait()
	if n := handled.Load(); n != 1 {
		t.Errorf("%d requests were handled after the shutdown", n-1)
	}
}
