package http1

import (
	"container/list"
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
	idleTime    = 2200 * time.Millisecond // a connection that has brought no request is closed after this
	keepTime    = time.Minute             // and one that has, so that a close seldom crosses a request; Idle bounds their number
	requestTime = 2500 * time.Millisecond // from a request's first byte to its last; from the accepting for the first one
	answerTime  = 3 * time.Second         // for a peer to take an answer
	stallTime   = 500 * time.Millisecond  // a request that is not whole after this does not hold its place when others come
	freshTime   = 50 * time.Millisecond   // a new connection's first byte may be on its way for so long
	acceptPause = 10 * time.Millisecond
	acceptWords = 10 * time.Second       // between two log lines on accepting
	lingerTime  = 400 * time.Millisecond // for a peer that is still sending to notice its answer
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
	Conns   int                   // connections held at once; one without a whole request makes room for the next
	Idle    int                   // those of them that have been used and are idle; the longest idle one goes first

	mu       sync.Mutex
	conns    map[*conn]struct{}
	idle     *list.List // of the used ones without an open request, the longest idle first
	busy     int        // those with one
	draining bool
	wg       sync.WaitGroup
}

type conn struct {
	net.Conn
	s        *Server
	accepted time.Time
	open     int           // requests between their first byte and their answer
	whole    int           // those of them that have come in whole
	used     bool          // some request has come in whole
	since    time.Time     // when it last became idle, or began a request
	at       *list.Element // among the idle ones
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	var told time.Time
	for {
		for s.allBusy() { // what knocks meanwhile waits in the backlog
			time.Sleep(acceptPause)
		}
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil: // out of descriptors, or the peer was gone already
			if time.Since(told) > acceptWords {
				told = time.Now()
				slog.Warn("accept", "err", err)
			}
			time.Sleep(acceptPause)
			continue
		}
		s.start(&conn{Conn: c, s: s})
	}
}

// start serves a connection; where that is one too many, another makes way for it.
func (s *Server) start(c *conn) {
	c.accepted = time.Now()
	c.since = c.accepted
	c.SetReadDeadline(c.accepted.Add(idleTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns, s.idle = map[*conn]struct{}{}, list.New()
	}
	if s.full() {
		if least := s.least(); least != nil {
			s.forget(least)
			least.Close()
		}
	}
	s.conns[c] = struct{}{}
	s.wg.Go(c.serve)
}

// full and least are called under the lock.
func (s *Server) full() bool { return s.Conns > 0 && len(s.conns) >= s.Conns }

// least is the connection that makes way first: one that has been without a whole request for long and never
// brought any, then one that has and is idle, then one that is merely new; of each kind the one that has
// waited longest. What has just come may have its request on the way: a flood must not displace it.
func (s *Server) least() (least *conn) {
	rank := 0
	for c := range s.conns {
		waited, r := time.Since(c.since), 1
		switch {
		case c.whole > 0 || c.open > 0 && waited < stallTime || !c.used && waited < freshTime:
			continue
		case waited >= stallTime && (!c.used || c.open > 0):
			r = 0
		case !c.used:
			r = 2
		}
		if least == nil || r < rank || r == rank && c.since.Before(least.since) {
			least, rank = c, r
		}
	}
	return least
}

// allBusy tells whether there is no room for another connection and none could make way.
func (s *Server) allBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full() && s.least() == nil
}

// Busy is how many connections have a request under way.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
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

// begin, got and end mark a request's first byte, its last, and its answer. They set the time in which the
// next bytes have to come: none while a request is open and the next one has not begun.
func (c *conn) begin() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.open++; c.open == 1 {
		c.s.busy++
	}
	c.rest(false)
	c.since = time.Now()
	until := c.since.Add(requestTime)
	if !c.used {
		until = c.accepted.Add(requestTime)
	}
	c.SetReadDeadline(until)
}

func (c *conn) got() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.whole++
	c.used = true
	c.SetReadDeadline(time.Time{})
}

func (c *conn) end() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.open, c.whole = c.open-1, max(0, c.whole-1) // what could not be read was never whole
	if c.open == 0 {
		c.s.busy--
		c.since = time.Now()
		c.SetReadDeadline(c.since.Add(keepTime))
		c.rest(true)
		c.s.trim()
	}
}

// rest enters the connection among the idle ones, or takes it out, under the lock.
func (c *conn) rest(idle bool) {
	if c.at != nil {
		c.s.idle.Remove(c.at)
		c.at = nil
	}
	if _, held := c.s.conns[c]; held && idle && c.used {
		c.at = c.s.idle.PushBack(c)
	}
}

// forget takes a connection off the books, under the lock.
func (s *Server) forget(c *conn) {
	c.rest(false)
	delete(s.conns, c)
}

// trim closes, under the lock, the longest idle connection where too many are kept. Clients that ask once and
// stay would else hold so many that none is left for those who come next.
func (s *Server) trim() {
	if s.Idle > 0 && s.idle.Len() > s.Idle {
		longest := s.idle.Front().Value.(*conn)
		s.forget(longest)
		longest.Close()
	}
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
		c.s.forget(c)
		if c.open > 0 { // it ended before its answer
			c.s.busy--
		}
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
		w := &watched{c: c}
		if !r.Idle() { // pipelined behind the one before
			w.begin()
		}
		req, err := r.Read(w)
		var bad *Error
		late := errors.Is(err, os.ErrDeadlineExceeded)
		switch {
		case err == nil:
			c.got()
		case late && !r.Idle():
			err = &Error{408, "request took too long"}
		case !late && !errors.As(err, &bad):
			close(gone)
		}
		select {
		case in <- incoming{req, err}:
		case <-done:
			return
		}
		if err != nil {
			return
		}
	}
}

// watched notices a request's first byte, an empty line before it included.
type watched struct {
	c     *conn
	begun bool
}

func (w *watched) begin() {
	w.begun = true
	w.c.begin()
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.c.Conn.Read(p)
	if n > 0 && !w.begun {
		w.begin()
	}
	return n, err
}
