package http1

import (
	"container/list"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/textproto"
	"os"
	"slices"
	"sync"
	"time"

	"harepass/internal/counters"
	"harepass/internal/socket"
)

const (
	firstRequestTimeout   = 2200 * time.Millisecond // a connection that has brought no request is closed after this
	keepAliveTimeout      = time.Minute             // and one that has, so that a close seldom crosses a request; Idle bounds their number
	requestTimeout        = 2500 * time.Millisecond // from a request's first byte to its last; from the accepting for the first one
	writeTimeout          = 3 * time.Second         // for a peer to take an answer
	stalledAfter          = 500 * time.Millisecond  // a request that is not whole after this does not hold its place when others come
	newConnGrace          = 50 * time.Millisecond   // a new connection's first byte may be on its way for so long
	acceptBackoff         = 10 * time.Millisecond
	evictionCheckInterval = time.Millisecond       // for the reader of a connection that is to make way
	acceptLogInterval     = 10 * time.Second       // between two log lines on accepting
	lateReadGrace         = 50 * time.Millisecond  // for what was there before a deadline to be read after it
	lingerTimeout         = 400 * time.Millisecond // for a peer that is still sending to notice its answer
	maxLingerBytes        = 1 << 20
	maxPipelined          = 16 // requests that may wait behind the one that is being answered, of one more body's bytes in all
)

// Handler answers a request. gone is closed when the client leaves before its answer; the result
// then goes nowhere.
type Handler func(req *Message, gone <-chan struct{}) *Message

// Server serves one listener.
type Server struct {
	Handler     Handler
	Limits      Limits
	ErrorAnswer func(*Error) *Message // words what is wrong with a request, in place of plain text
	MaxConns    int                   // connections held at once; one without a whole request makes room for the next
	Capacity    func() int            // so many at present, if fewer; must not block. nil for Conns
	MaxIdle     int                   // those of them that have been used and are idle; the longest idle one goes first

	mu           sync.Mutex
	conns        map[*conn]struct{}
	idle         *list.List // of the used ones without an open request, the longest idle first
	evicted      []*conn    // that made way and are read out still, the longest first; they count as held
	busyConns    int        // those with an open request
	draining     bool
	shuttingDown bool // Shutdown has begun: nothing rests any more
	serving      sync.WaitGroup
}

// Serve accepts until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	var told time.Time
	for {
		for s.canAcceptNone() { // what knocks meanwhile waits in the backlog
			time.Sleep(acceptBackoff)
		}
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && socket.Waiting(l):
			setDeadline(l, lateReadGrace)
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return l.Close()
		case err != nil: // out of descriptors, or the peer was gone already
			countAcceptFailed.Inc()
			if time.Since(told) > acceptLogInterval {
				told = time.Now()
				slog.Warn("accept", "err", err)
			}
			time.Sleep(acceptBackoff)
			continue
		}
		for !s.makeCapacity() {
			time.Sleep(evictionCheckInterval)
		}
		s.start(&conn{Conn: c, server: s})
	}
}

// CloseListener has Serve take the connections that wait already, and close the listener then: to close it first would reset them,
// with the requests that they have brought.
func (s *Server) CloseListener(l net.Listener) {
	if !setDeadline(l, 0) {
		l.Close()
	}
}

// setDeadline bounds how long Serve waits for the next connection; false where a listener cannot do so.
func setDeadline(l net.Listener, in time.Duration) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(in)) == nil
}

// makeRoom tells whether there is room for one connection more; else it asks the least of them to make way, whose reader ends
// it or has a request of it, and then another one has to. Those whose end has begun do not count.
func (s *Server) makeCapacity() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	active, asked := len(s.conns), false
	for _, c := range s.evicted {
		if c.state == connOpen {
			active, asked = active+1, true
		}
	}
	if active < s.capacity() || s.shuttingDown {
		return true
	}
	if least := s.evictionCandidate(); least != nil && !asked {
		s.evict(least, closedEvicted)
	}
	return false
}

// start serves a connection.
func (s *Server) start(c *conn) {
	countAccepted.Inc()
	c.acceptedAt = time.Now()
	c.lastActivity = c.acceptedAt
	c.SetReadDeadline(c.acceptedAt.Add(firstRequestTimeout))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns, s.idle = map[*conn]struct{}{}, list.New()
	}
	s.closeEvicted(s.capacity())
	s.conns[c] = struct{}{}
	if s.shuttingDown { // it waited in the backlog: its request has come or is on the way
		c.SetReadDeadline(c.acceptedAt.Add(lateReadGrace))
	}
	s.serving.Go(c.serve)
}

// TrimIdle closes at once what is held beyond the room that there is now, as far as it can make way.
func (s *Server) EvictExcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.connCount()-len(s.evicted) > s.capacity() {
		least := s.evictionCandidate()
		if least == nil {
			break
		}
		s.evict(least, closedEvicted)
	}
	s.closeEvicted(s.capacity())
}

// cut closes connections whose end has begun, the longest first, where they are too many still; under the lock.
func (s *Server) closeEvicted(most int) {
	for _, c := range slices.Clone(s.evicted) {
		if s.connCount() <= most {
			return
		}
		if c.state != connOpen {
			c.finishClose()
		}
	}
}

// full, held and least are called under the lock.
func (s *Server) atCapacity() bool { return s.connCount() >= s.capacity() }

func (s *Server) capacity() int {
	switch {
	case s.MaxConns == 0:
		return math.MaxInt
	case s.Capacity == nil:
		return s.MaxConns
	}
	return min(s.MaxConns, s.Capacity())
}

func (s *Server) connCount() int { return len(s.conns) + len(s.evicted) }

// least is the connection that makes way first: one that has been without a whole request for long and never
// brought any, then one that has and is idle, then one that is merely new; of each kind the one that has
// waited longest. What has just come may have its request on the way: a flood must not displace it.
func (s *Server) evictionCandidate() (least *conn) {
	rank := 0
	for c := range s.conns {
		waited, r := time.Since(c.lastActivity), 1
		switch {
		case c.completeRequests > 0 || c.openRequests > 0 && (waited < stalledAfter || socket.Unread(c.Conn)) || !c.used && waited < newConnGrace:
			continue
		case waited >= stalledAfter && (!c.used || c.openRequests > 0):
			r = 0
		case !c.used:
			r = 2
		}
		if least == nil || r < rank || r == rank && c.lastActivity.Before(least.lastActivity) {
			least, rank = c, r
		}
	}
	return least
}

// allBusy tells whether there is no room for another connection and none could make way.
func (s *Server) canAcceptNone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.atCapacity() && len(s.evicted) == 0 && s.evictionCandidate() == nil
}

// OpenConns is how many connections have a request under way.
func (s *Server) BusyConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busyConns
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// Shutdown closes what is idle and waits for the rest. The listener has to be closed before. A connection on which a request
// has come that was not read yet is not idle: it ends with the answer to that.
func (s *Server) Shutdown() {
	s.Drain()
	s.mu.Lock()
	s.shuttingDown = true
	for c := range s.conns {
		c.requestClose(closedAtShutdown)
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// part lets a connection make way, under the lock.
func (s *Server) evict(c *conn, reason *counters.Counter) {
	s.remove(c)
	if c.openRequests > 0 { // half a request, which does not go on
		c.beginClose(reason)
	} else {
		c.requestClose(reason)
	}
	if c.state != connClosed {
		s.evicted = append(s.evicted, c)
	}
}

// unpart keeps a connection that was to make way, under the lock: a request has come on it.
func (s *Server) cancelEviction(c *conn) {
	if i := slices.Index(s.evicted, c); i >= 0 {
		s.evicted = slices.Delete(s.evicted, i, i+1)
		s.conns[c] = struct{}{}
	}
}

// forget takes a connection off the books, under the lock.
func (s *Server) remove(c *conn) {
	c.setIdle(false)
	delete(s.conns, c)
}

// trim closes, under the lock, the longest idle connection where too many are kept. Clients that ask once and
// stay would else hold so many that none is left for those who come next.
func (s *Server) evictSurplusIdle() {
	if s.MaxIdle > 0 && s.idle.Len() > s.MaxIdle {
		s.evict(s.idle.Front().Value.(*conn), closedSurplus)
	}
}

func (s *Server) errorAnswer(e *Error) *Message {
	if s.ErrorAnswer != nil {
		return s.ErrorAnswer(e)
	}
	return &Message{Status: e.Status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}}, Body: []byte(e.Text + "\n")}
}
