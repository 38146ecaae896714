package http1

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"sync"
	"time"
)

const (
	requestTime = 10 * time.Second // from a request's first byte to its last
	answerTime  = 5 * time.Second  // for a peer to take an answer
	acceptPause = 10 * time.Millisecond
	lingerTime  = time.Second // for a peer that is still sending to notice its answer
	lingerBytes = 1 << 20
)

// Handler answers a request. gone is closed when the client leaves before its answer; the result
// then goes nowhere.
type Handler func(req *Message, gone <-chan struct{}) *Message

// Server serves one listener.
type Server struct {
	Handler Handler
	Limits  Limits
	Fault   func(*Error) *Message // words what is wrong with a request, in place of plain text
	Conns   int                   // connections held at once; the longest idle one makes room for the next

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	wg       sync.WaitGroup
}

type conn struct {
	net.Conn
	s     *Server
	open  int       // requests between their first byte and their answer
	since time.Time // when it last became idle
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		for s.allBusy() { // what knocks meanwhile waits in the backlog
			time.Sleep(acceptPause)
		}
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of descriptors, or the peer was gone already
			slog.Warn("accept", "err", err)
			time.Sleep(acceptPause)
			continue
		}
		s.start(&conn{Conn: c, s: s, since: time.Now()})
	}
}

// start serves a connection; where that is one too many, the longest idle one makes way for it.
func (s *Server) start(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	if oldest := s.oldestIdle(); s.full() && oldest != nil {
		delete(s.conns, oldest)
		oldest.Close()
	}
	s.conns[c] = struct{}{}
	s.wg.Go(c.serve)
}

// full and oldestIdle are called under the lock.
func (s *Server) full() bool { return s.Conns > 0 && len(s.conns) >= s.Conns }

func (s *Server) oldestIdle() (oldest *conn) {
	for c := range s.conns {
		if c.open == 0 && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// allBusy tells whether there is no room for another connection and none could make way.
func (s *Server) allBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full() && s.oldestIdle() == nil
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// Shutdown closes what is idle and waits for the rest. The listener has to be closed before.
func (s *Server) Shutdown() {
	s.Drain()
	s.mu.Lock()
	for c := range s.conns {
		if c.open == 0 {
			c.Close()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// begin and end mark a request's first byte and its answer.
func (c *conn) begin() {
	c.s.mu.Lock()
	c.open++
	c.s.mu.Unlock()
	c.SetReadDeadline(time.Now().Add(requestTime))
}

func (c *conn) end() {
	c.s.mu.Lock()
	c.open, c.since = c.open-1, time.Now()
	c.s.mu.Unlock()
}

// incoming is a request, or what ended the reading.
type incoming struct {
	req *Message
	err error
}

// serve answers the requests of a connection one by one while read takes them off the wire: so it
// notices a client that leaves, and a pipelined request waits its turn.
func (c *conn) serve() {
	in, gone, done := make(chan incoming), make(chan struct{}), make(chan struct{})
	defer func() {
		close(done)
		c.Close()
		c.s.mu.Lock()
		delete(c.s.conns, c)
		c.s.mu.Unlock()
	}()
	go c.read(in, gone, done)
	for {
		r := <-in
		if r.err != nil {
			var bad *Error
			if errors.As(r.err, &bad) {
				m := c.s.fault(bad)
				m.Close = true
				c.answer(m)
				c.linger()
			}
			return
		}
		a := c.s.Handler(r.req, gone)
		a.Close = a.Close || r.req.Close
		a.head = r.req.Method == "HEAD"
		if !c.answer(a) || a.Close {
			return
		}
	}
}

func (s *Server) fault(e *Error) *Message {
	if s.Fault != nil {
		return s.Fault(e)
	}
	return &Message{Status: e.Status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}}, Body: []byte(e.Text + "\n")}
}

// answer writes a whole answer.
func (c *conn) answer(a *Message) bool {
	c.s.mu.Lock()
	a.Close = a.Close || c.s.draining
	c.s.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(answerTime))
	_, err := c.Write(a.Append(nil))
	c.end()
	return err == nil
}

// linger takes what the peer still sends, so that closing does not reset the answer on its way.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}

// read takes requests off the connection until it ends.
func (c *conn) read(in chan<- incoming, gone, done chan struct{}) {
	r := NewRequestReader(c.s.Limits)
	for {
		if !r.Idle() { // pipelined behind the one before
			c.begin()
		}
		req, err := r.Read(watched{c, r})
		if err != nil {
			var bad *Error
			// A pipelined request that stalls ends the connection, but its client waits for the one before.
			if !errors.As(err, &bad) && !errors.Is(err, os.ErrDeadlineExceeded) {
				close(gone)
			}
		}
		select {
		case in <- incoming{req, err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
	}
}

// watched notices a request's first byte.
type watched struct {
	c *conn
	r *Reader
}

func (w watched) Read(p []byte) (int, error) {
	idle := w.r.Idle()
	n, err := w.c.Conn.Read(p)
	if n > 0 && idle {
		w.c.begin()
	}
	return n, err
}
