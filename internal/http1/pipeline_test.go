package http1

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A client sends requests one behind the other and leaves while the first is handled. The handler is told so, however
// many wait behind it, and the handlers of those are told from the start.
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
			t.Errorf("%d requests behind: it was not noticed that the client had left", behind)
		}
		l.Close()
		s.Shutdown()
		if n := unaware.Load(); n > 0 {
			t.Errorf("%d requests behind: %d handlers began after the client had left, and were not told", behind, n)
		}
	}
}

// A client shuts its own side after its request, as some do that send one request only, and waits. It may have left
// or may not: the request is handled as one whose client has left, and the answer is written all the same.
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
			t.Fatalf("the answer is %+v, %v", m, err)
		}
		c.Close()
	}
	l.Close()
	s.Shutdown()
}

// A client sends many requests at once. As many as may wait are answered; where more come, the next answer says that
// it is the last one, and arrives.
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
				t.Fatalf("%d at once: after %d answers %+v, %v", n, answers, m, err)
			}
			answers, last = answers+1, m.Close
		}
		if last != (n > maxPipelined) {
			t.Errorf("%d at once: %d answers, the last one says so: %t", n, answers, last)
		}
		if last {
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("%d at once: it ends with %v", n, err)
			}
		}
		c.Close()
	}
	l.Close()
	s.Shutdown()
}
