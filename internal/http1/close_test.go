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

// closeDecisions make a server decide to close its only idle connection. Each returns after the decision was made.
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
		c, pc := dial()
		sendFirstRequest(t, c, pc)
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

// A request arrives on an idle connection while the server decides to close it: the read has received the bytes but has
// not returned them yet. Closing the connection now would lose the request. The request must be answered. At a shutdown
// the connection ends after the answer; a connection that was to be evicted stays open.
func TestRequestThatCrossesACloseIsAnswered(t *testing.T) {
	for name, decide := range closeDecisions {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int32
			s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
				handled.Add(1)
				return &Message{Status: 200}
			}}
			dial, l := serveWithPauses(t, s)
			c, pc := dial()
			sendFirstRequest(t, c, pc)
			waitForIdle(t, s, 1)
			before := handled.Load()
			c.Write([]byte(request))
			<-pc.paused // the read has received the request and has not returned it yet
			decide(t, s, dial, l)
			others := handled.Load()
			pc.proceed <- struct{}{}
			m, err := NewAnswerReader(small).Read(c)
			if err != nil || m.Status != 200 || m.Close != (name == "shutdown") {
				t.Errorf("answer %+v, error %v; want status 200, and Close only at a shutdown", m, err)
			}
			if n := handled.Load() - others; n != 1 || others-before > 1 {
				t.Errorf("%d requests handled after the decision to close, want only the one that was read", n)
			}
			l.Close()
			go s.Shutdown()
			waitForShutdown(t, s)
			if more, err := io.ReadAll(c); len(more) > 0 || err != nil {
				t.Errorf("after the answer the client read %q, error %v; want the end of the connection", more, err)
			}
			s.Shutdown() // after this every request that was read has been handled
			if n := handled.Load() - others; n != 1 {
				t.Errorf("%d requests handled by the end of the shutdown, want 1", n)
			}
		})
	}
}

// The server closes a connection while its socket holds unread bytes from the client. Closing such a socket sends a
// reset, which would destroy the answer on its way. On each path that ends a connection, the client must get the whole
// answer and an end without a reset.
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
			c, pc := dial()
			c.Write([]byte(first))
			<-pc.paused
			pc.proceed <- struct{}{}
			<-reached
			if name == "a draining server" {
				s.Drain()
			}
			c.Write([]byte("GET /half")) // the server's next read receives this and pauses
			if name != "an invalid request" {
				<-pc.paused
			}
			c.Write([]byte("and more that is not read for now"))
			time.Sleep(20 * time.Millisecond) // the bytes reach the server's socket
			close(answer)
			time.AfterFunc(50*time.Millisecond, func() { pc.proceed <- struct{}{}; pc.proceed <- struct{}{} })
			got, err := io.ReadAll(c)
			if err != nil || !strings.HasSuffix(string(got), "vvvv") {
				t.Errorf("the client read %d bytes, error %v; want the whole answer and an end without a reset",
					len(got), err)
			}
			for range 10 { // lets all further reads return
				pc.proceed <- struct{}{}
			}
			l.Close()
			s.Shutdown()
		})
	}
}

// A request is still in the socket when the answer to the one before is written in a drain. It is answered too, with the
// end of the connection.
func TestUnreadRequestIsAnsweredInDrain(t *testing.T) {
	handling, proceed := make(chan struct{}, 2), make(chan struct{})
	s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
		handling <- struct{}{}
		<-proceed
		return &Message{Status: 200}
	}}
	dial, _ := serveWithPauses(t, s)
	c, pc := dial()
	c.Write([]byte(request))
	<-pc.paused
	pc.proceed <- struct{}{}
	<-handling
	s.Drain()
	const split = len(request) / 2
	c.Write([]byte(request[:split]))
	<-pc.paused // the reader has received this part, but does not see it yet
	c.Write([]byte(request[split:]))
	time.Sleep(20 * time.Millisecond) // the rest reaches the server's socket
	close(proceed)
	r := NewAnswerReader(small)
	if m, err := r.Read(c); err != nil || m.Status != 200 || m.Close {
		t.Fatalf("first answer %+v, error %v; want status 200 without Close", m, err)
	}
	for range 3 { // lets the reads return
		pc.proceed <- struct{}{}
	}
	if m, err := r.Read(c); err != nil || m.Status != 200 || !m.Close {
		t.Errorf("second answer %+v, error %v; want status 200 with Close", m, err)
	}
	for range 10 { // lets all further reads return
		pc.proceed <- struct{}{}
	}
}

// When the shutdown begins, the server is writing an answer on one connection, and another connection is accepted from
// the backlog after that. Neither may stay open and accept further requests.
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
	c, firstSocket := acceptedPair(t, l)
	defer c.Close()
	slow := &slowConn{firstSocket, make(chan struct{}, 10), make(chan struct{})}
	first := &conn{Conn: slow, server: s}
	s.start(first)
	c.Write([]byte(request))
	<-slow.written
	var wg sync.WaitGroup
	wg.Go(s.Shutdown)
	waitForShutdown(t, s)
	late, secondSocket := acceptedPair(t, l)
	defer late.Close()
	second := &conn{Conn: secondSocket, server: s}
	s.start(second)
	close(slow.proceed)
	for end := time.Now().Add(5 * time.Second); !(first.isClosing() && second.isClosing()) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for which, c := range map[string]net.Conn{"answered at the shutdown": c, "accepted at the shutdown": late} {
		c.SetDeadline(time.Now().Add(5 * time.Second))
		c.Write([]byte(request))
		if _, err := io.ReadAll(c); err != nil && !errors.Is(err, net.ErrClosed) {
			t.Errorf("connection %s: read ended with error %v, want the end of the connection", which, err)
		}
	}
	wg.Wait()
	if n := handled.Load(); n != 1 {
		t.Errorf("%d requests handled after the shutdown began, want 0", n-1)
	}
}
