package http1

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A client sends pipelined requests and leaves while the first is being handled. The server closes clientLeft for that
// handler, however many requests wait behind it. For the handlers of those requests it is closed from the start.
func TestClientThatLeavesIsNoticed(t *testing.T) {
	for _, behind := range []int{0, 1, 3, maxPipelined + 40} {
		var handled, unaware atomic.Int32
		noticed := make(chan bool, 1)
		s := &Server{Limits: small, Handler: func(_ *Message, clientLeft <-chan struct{}) *Message {
			if handled.Add(1) == 1 {
				select {
				case <-clientLeft:
					noticed <- true
				case <-time.After(5 * time.Second):
					noticed <- false
				}
				return &Message{Status: 200}
			}
			select {
			case <-clientLeft:
			default:
				unaware.Add(1)
			}
			return &Message{Status: 200}
		}}
		l := serveOnLoopback(t, s)
		c := connect(t, l)
		c.Write([]byte(strings.Repeat(request, 1+behind)))
		for handled.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Close()
		if !<-noticed {
			t.Errorf("%d waiting requests: clientLeft not closed within 5s after the client left", behind)
		}
		l.Close()
		s.Shutdown()
		if n := unaware.Load(); n > 0 {
			t.Errorf("%d waiting requests: clientLeft not closed for %d handlers that ran after the client left",
				behind, n)
		}
	}
}

// A client shuts its sending side after its request and waits for the answer, as some clients of a single request do.
// The server cannot tell whether the client has left: it closes clientLeft for the handler and still writes the answer.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	s := &Server{Limits: small, Handler: func(_ *Message, clientLeft <-chan struct{}) *Message {
		<-clientLeft
		return &Message{Status: 200}
	}}
	l := serveOnLoopback(t, s)
	for range 100 {
		c := connect(t, l)
		c.Write([]byte(request))
		c.(*net.TCPConn).CloseWrite()
		if m, err := NewAnswerReader(small).Read(c); err != nil || m.Status != 200 {
			t.Fatalf("answer %+v, error %v; want status 200 for a half-closed client", m, err)
		}
		c.Close()
	}
	l.Close()
	s.Shutdown()
}

// A client sends requests at once, and the server drains and shuts down while the first is handled. All are answered,
// and only the last answer announces the end of the connection.
func TestPipelinedRequestsAreAnsweredInDrain(t *testing.T) {
	for _, n := range []int{1, 2, 6, maxPipelined} {
		handling, proceed := make(chan struct{}, n), make(chan struct{})
		s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
			handling <- struct{}{}
			<-proceed
			return &Message{Status: 200}
		}}
		l := serveOnLoopback(t, s)
		c := connect(t, l)
		c.Write([]byte(strings.Repeat(request, n)))
		<-handling
		waitUntil(t, s, "the last request to be read", func() bool {
			for c := range s.conns {
				return c.completeRequests == n
			}
			return false
		})
		l.Close()
		go s.Shutdown()
		waitUntil(t, s, "the start of the shutdown", func() bool { return s.shuttingDown })
		close(proceed)
		r := NewAnswerReader(small)
		for i := 1; i <= n; i++ {
			if m, err := r.Read(c); err != nil || m.Status != 200 || m.Close != (i == n) {
				t.Fatalf("answer %d of %d: %+v, error %v; want status 200, and Close only for the last", i, n, m, err)
			}
		}
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("after the last of %d answers: %v, want EOF", n, err)
		}
		c.Close()
	}
}

// A client sends many requests at once. Up to maxPipelined of them are all answered. If more arrive, those that wait
// are answered, the last one with the end of the connection, and all answers still reach the client.
func TestTooManyPipelinedRequestsEndWithAnAnswer(t *testing.T) {
	s := &Server{Limits: small, Handler: func(*Message, <-chan struct{}) *Message {
		time.Sleep(time.Millisecond)
		return &Message{Status: 200}
	}}
	l := serveOnLoopback(t, s)
	for _, n := range []int{maxPipelined, 500} {
		c := connect(t, l)
		go c.Write([]byte(strings.Repeat(request, n)))
		r, answers, last := NewAnswerReader(small), 0, false
		for !last && answers < n {
			m, err := r.Read(c)
			if err != nil || m.Status != 200 {
				t.Fatalf("%d requests at once: after %d answers got %+v, error %v; want status 200", n, answers, m, err)
			}
			answers, last = answers+1, m.Close
		}
		if answers < maxPipelined {
			t.Errorf("%d requests at once: %d answers, want those that may wait to be answered", n, answers)
		}
		if last != (n > maxPipelined) {
			t.Errorf("%d requests at once: %d answers, last one with Close: %t; want Close only if too many were sent",
				n, answers, last)
		}
		if last {
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("%d requests at once: read after the last answer ended with %v, want EOF", n, err)
			}
		}
		c.Close()
	}
	l.Close()
	s.Shutdown()
}
