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
	idleTime    = 2200 * time.Millisecond // a connection that has brought no request is closed after this
	keepTime    = time.Minute             // and one that has, so that a close seldom crosses a request; Idle bounds their number
	requestTime = 2500 * time.Millisecond // from a request's first byte to its last; from the accepting for the first one
	answerTime  = 3 * time.Second         // for a peer to take an answer
	stallTime   = 500 * time.Millisecond  // a request that is not whole after this does not hold its place when others come
	freshTime   = 50 * time.Millisecond   // a new connection's first byte may be on its way for so long
	acceptPause = 10 * time.Millisecond
	roomPause   = time.Millisecond       // for the reader of a connection that is to make way
	acceptWords = 10 * time.Second       // between two log lines on accepting
	lookTime    = 50 * time.Millisecond  // for what was there before a deadline to be read after it
	lingerTime  = 400 * time.Millisecond // for a peer that is still sending to notice its answer
	lingerBytes = 1 << 20
	aheadMost   = 16 // requests that may wait behind the one that is being answered, of one more body's bytes in all
)

// Handler answers a request. gone is closed when the client leaves before its answer; the result
// then goes nowhere.
type Handler func(req *Message, gone <-chan struct{}) *Message

// Server serves one listener.
type Server struct {
	Handler  Handler
	Limits   Limits
	Fault    func(*Error) *Message // words what is wrong with a request, in place of plain text
	MaxConns int                   // connections held at once; one without a whole request makes room for the next
	Room     func() int            // so many at present, if fewer; must not block. nil for Conns
	MaxIdle  int                   // those of them that have been used and are idle; the longest idle one goes first

	mu       sync.Mutex
	conns    map[*conn]struct{}
	idle     *list.List // of the used ones without an open request, the longest idle first
	parting  []*conn    // that made way and are read out still, the longest first; they count as held
	busy     int        // those with an open request
	draining bool
	down     bool // Shutdown has begun: nothing rests any more
	wg       sync.WaitGroup
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
		case errors.Is(err, os.ErrDeadlineExceeded) && socket.HasPendingConn(l):
			setDeadline(l, lookTime)
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return l.Close()
		case err != nil: // out of descriptors, or the peer was gone already
			countAcceptFailed.Inc()
			if time.Since(told) > acceptWords {
				told = time.Now()
				slog.Warn("accept", "err", err)
			}
			time.Sleep(acceptPause)
			continue
		}
		for !s.makeRoom() {
			time.Sleep(roomPause)
		}
		s.start(&conn{Conn: c, s: s})
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
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	active, asked := len(s.conns), false
	for _, c := range s.parting {
		if c.state == taking {
			active, asked = active+1, true
		}
	}
	if active < s.room() || s.down {
		return true
	}
	if least := s.least(); least != nil && !asked {
		s.part(least, closedForRoom)
	}
	return false
}

// start serves a connection.
func (s *Server) start(c *conn) {
	countAccepted.Inc()
	c.accepted = time.Now()
	c.since = c.accepted
	c.SetReadDeadline(c.accepted.Add(idleTime))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns, s.idle = map[*conn]struct{}{}, list.New()
	}
	s.cut(s.room())
	s.conns[c] = struct{}{}
	if s.down { // it waited in the backlog: its request has come or is on the way
		c.SetReadDeadline(c.accepted.Add(lookTime))
	}
	s.wg.Go(c.serve)
}

// TrimIdle closes at once what is held beyond the room that there is now, as far as it can make way.
func (s *Server) TrimIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held()-len(s.parting) > s.room() {
		least := s.least()
		if least == nil {
			break
		}
		s.part(least, closedForRoom)
	}
	s.cut(s.room())
}

// cut closes connections whose end has begun, the longest first, where they are too many still; under the lock.
func (s *Server) cut(most int) {
	for _, c := range slices.Clone(s.parting) {
		if s.held() <= most {
			return
		}
		if c.state != taking {
			c.close()
		}
	}
}

// full, held and least are called under the lock.
func (s *Server) full() bool { return s.held() >= s.room() }

func (s *Server) room() int {
	switch {
	case s.MaxConns == 0:
		return math.MaxInt
	case s.Room == nil:
		return s.MaxConns
	}
	return min(s.MaxConns, s.Room())
}

func (s *Server) held() int { return len(s.conns) + len(s.parting) }

// least is the connection that makes way first: one that has been without a whole request for long and never
// brought any, then one that has and is idle, then one that is merely new; of each kind the one that has
// waited longest. What has just come may have its request on the way: a flood must not displace it.
func (s *Server) least() (least *conn) {
	rank := 0
	for c := range s.conns {
		waited, r := time.Since(c.since), 1
		switch {
		case c.whole > 0 || c.open > 0 && (waited < stallTime || socket.HasUnread(c.Conn)) || !c.used && waited < freshTime:
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
	return s.full() && len(s.parting) == 0 && s.least() == nil
}

// OpenConns is how many connections have a request under way.
func (s *Server) OpenConns() int {
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

// Shutdown closes what is idle and waits for the rest. The listener has to be closed before. A connection on which a request
// has come that was not read yet is not idle: it ends with the answer to that.
func (s *Server) Shutdown() {
	s.Drain()
	s.mu.Lock()
	s.down = true
	for c := range s.conns {
		c.askToEnd(closedAtShutdown)
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// part lets a connection make way, under the lock.
func (s *Server) part(c *conn, reason *counters.Counter) {
	s.forget(c)
	if c.open > 0 { // half a request, which does not go on
		c.shut(reason)
	} else {
		c.askToEnd(reason)
	}
	if c.state != over {
		s.parting = append(s.parting, c)
	}
}

// unpart keeps a connection that was to make way, under the lock: a request has come on it.
func (s *Server) unpart(c *conn) {
	if i := slices.Index(s.parting, c); i >= 0 {
		s.parting = slices.Delete(s.parting, i, i+1)
		s.conns[c] = struct{}{}
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
	if s.MaxIdle > 0 && s.idle.Len() > s.MaxIdle {
		s.part(s.idle.Front().Value.(*conn), closedSurplus)
	}
}

func (s *Server) fault(e *Error) *Message {
	if s.Fault != nil {
		return s.Fault(e)
	}
	return &Message{Status: e.Status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}}, Body: []byte(e.Text + "\n")}
}
