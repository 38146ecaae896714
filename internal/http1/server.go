package http1

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"net/textproto"
	"os"
	"sync"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/socket"
)

const (
	// acceptBackoff is the wait before a further connection is accepted, after a failure or while none can be.
	acceptBackoff = 10 * time.Millisecond
	// acceptLogInterval is the least time between two log lines on accepting: failures come in thousands.
	acceptLogInterval = 10 * time.Second
	// evictionCheckInterval is the wait for the reader of a connection that is being evicted.
	evictionCheckInterval = time.Millisecond
	// backlogGrace is the time to accept a further connection of the backlog once the listener is to be closed.
	backlogGrace = 50 * time.Millisecond
	// shutdownRequestGrace is the time in which the first request has to begin on a connection that is accepted during
	// the shutdown.
	shutdownRequestGrace = 50 * time.Millisecond
)

// Handler answers a request. It is called by a goroutine of the request's connection. clientLeft is closed when the
// client leaves before its answer, which is of no use then.
type Handler func(req *Message, clientLeft <-chan struct{}) *Message

// Server serves the connections of one listener. Its exported fields are set before Serve.
type Server struct {
	// Handler answers the requests.
	Handler Handler
	// Limits bound the requests.
	Limits Limits
	// ErrorAnswer answers a request that cannot be read; nil for the error's text as plain text.
	ErrorAnswer func(*Error) *Message
	// MaxConns is how many connections there may be at once; 0 for no limit. One without a complete request is evicted
	// for the next.
	MaxConns int
	// Capacity returns how many connections there may be at present, if that is less than MaxConns. It is called under
	// the server's lock and must not block. nil for MaxConns.
	Capacity func() int
	// MaxIdle is how many connections may be idle after a request; 0 for no limit. The one that has been idle for
	// longest is evicted first.
	MaxIdle int

	serving sync.WaitGroup // the connections' goroutines

	mu           sync.Mutex
	conns        map[*conn]struct{} // all but the evicted ones
	evicted      []*conn            // connections that close for others, until they are closed; oldest first
	idle         *list.List         // used connections of conns without an open request, the longest idle first
	busyConns    int                // connections with an open request
	draining     bool               // every answer is the last one of its connection
	shuttingDown bool               // no connection stays open without a request
}

// Serve accepts connections until the listener is closed, by CloseListener or by its owner, and returns nil or the
// error of closing it. It is called once. The connections go on after it has returned.
func (s *Server) Serve(l net.Listener) error {
	var loggedAt time.Time
	for {
		for s.canAcceptNone() { // new connections wait in the backlog
			time.Sleep(acceptBackoff)
		}
		c, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && socket.HasPendingConn(l):
			setAcceptDeadline(l, backlogGrace)
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			return l.Close()
		case err != nil: // there are no descriptors left, or the client has left already
			countAcceptFailed.Inc()
			if time.Since(loggedAt) > acceptLogInterval {
				loggedAt = time.Now()
				slog.Warn("accept failed", logmsg.KeyError, err)
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

// CloseListener has Serve accept the connections that wait in the backlog, and then close the listener and return. To
// close it at once would reset those connections, and lose the requests that they have brought. CloseListener does not
// wait for that: Serve's return shows it.
func (s *Server) CloseListener(l net.Listener) {
	if !setAcceptDeadline(l, 0) {
		l.Close()
	}
}

// setAcceptDeadline bounds the wait for the next connection, and reports whether the listener can do so.
func setAcceptDeadline(l net.Listener, wait time.Duration) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(wait)) == nil
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
	s.cutLingering(s.capacity())
	s.conns[c] = struct{}{}
	if s.shuttingDown { // it waited in the backlog: its request has come, or is on the way
		c.SetReadDeadline(c.acceptedAt.Add(shutdownRequestGrace))
	}
	s.serving.Go(c.serve)
}

// BusyConns returns how many connections have a request under way.
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

// Shutdown drains the server, closes the idle connections, and returns once all others have ended. The listener has to
// be closed before, and Serve to have returned. A connection that Serve accepts meanwhile has shutdownRequestGrace for
// its request, but Shutdown may have returned before it ends. A connection on which a request has come that was not
// read yet is not idle: it ends with the answer.
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

// remove takes a connection out of those that are served. It is called under the lock.
func (s *Server) remove(c *conn) {
	c.setIdle(false)
	delete(s.conns, c)
}

// errorAnswer returns the answer to a request that cannot be read.
func (s *Server) errorAnswer(e *Error) *Message {
	if s.ErrorAnswer != nil {
		return s.ErrorAnswer(e)
	}
	return &Message{Status: e.Status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}},
		Body: []byte(e.Text + "\n")}
}
