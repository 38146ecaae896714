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
	// acceptBackoff is the wait before the next accept after a failure, or while there is no capacity for a connection.
	acceptBackoff = 10 * time.Millisecond
	// acceptLogInterval is the minimum time between two log lines about failed accepts, which can occur in thousands.
	acceptLogInterval = 10 * time.Second
	// evictionCheckInterval is the interval at which Serve checks whether an eviction has made capacity.
	evictionCheckInterval = time.Millisecond
	// backlogGrace is the time to accept another connection from the backlog before the listener is closed.
	backlogGrace = 50 * time.Millisecond
	// shutdownRequestGrace is the time in which the first request must begin on a connection that is accepted during a
	// shutdown.
	shutdownRequestGrace = 50 * time.Millisecond
)

// Handler answers a request. A goroutine of the request's connection calls it. The server closes clientLeft when the
// client leaves before it has the answer, which is then useless. A handler that waits should set the request's Body to
// nil once it does not need it any more.
type Handler func(req *Message, clientLeft <-chan struct{}) *Message

// Server serves the connections of one listener. Its exported fields must be set before Serve is called.
type Server struct {
	// Handler answers the requests.
	Handler Handler
	// Limits bound the requests.
	Limits Limits
	// ErrorAnswer returns the answer to an invalid request; nil answers with the error's text as plain text.
	ErrorAnswer func(*Error) *Message
	// MaxConns is the maximum number of connections; 0 for no limit. At the limit, a connection without a complete
	// request is evicted for a new one.
	MaxConns int
	// Capacity returns the present limit on connections, if that is lower than MaxConns; nil for MaxConns alone. It is
	// called under the server's lock and must not block. It has no effect if MaxConns is 0.
	Capacity func() int
	// MaxIdle is the maximum number of connections that are idle after a request; 0 for no limit. Beyond it, the
	// connection that has been idle for the longest time is evicted.
	MaxIdle int

	// MaxRequestBytes is the maximum memory that the requests of all connections may take together, besides a little
	// for each connection; 0 for no limit. A request that would exceed it is answered with StatusServiceUnavailable.
	MaxRequestBytes int

	serving sync.WaitGroup // the goroutines of the connections

	mu           sync.Mutex
	conns        map[*conn]struct{} // connections that are neither evicted nor closed
	evicted      []*conn            // evicted connections until their sockets are closed, the oldest eviction first
	idle         *list.List         // those of conns that are used and have no open request, the longest idle first
	busyConns    int                // connections with an open request
	requestBytes int                // memory that counts towards MaxRequestBytes
	draining     bool               // see Drain
	shuttingDown bool               // no connection stays open without a request
}

// Serve accepts connections until CloseListener or the owner closes the listener, and returns nil or the error of
// closing it. It must be called only once. The accepted connections are still served after it has returned.
func (s *Server) Serve(l net.Listener) error {
	var loggedAt time.Time
	for {
		for s.canAcceptNone() { // new connections wait in the listener's backlog
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
		case err != nil: // the process has no descriptors left, or the client has already left
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

// CloseListener makes Serve accept the connections that wait in the backlog, and then close the listener and return.
// Closing the listener at once would reset those connections and lose the requests that they have sent. CloseListener
// does not wait for the listener to be closed; the return of Serve shows that it is.
func (s *Server) CloseListener(l net.Listener) {
	if !setAcceptDeadline(l, 0) {
		l.Close()
	}
}

// setAcceptDeadline bounds the wait for the next connection, and reports whether the listener supports deadlines.
func setAcceptDeadline(l net.Listener, wait time.Duration) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(time.Now().Add(wait)) == nil
}

// start registers a connection and starts the goroutine that serves it.
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
	if s.shuttingDown { // the connection waited in the backlog: its request has arrived or is on the way
		c.SetReadDeadline(c.acceptedAt.Add(shutdownRequestGrace))
	}
	s.serving.Go(c.serve)
}

// BusyConns returns the number of connections that have a request between its first byte and its answer.
func (s *Server) BusyConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busyConns
}

// Drain makes every answer from now on the last one of its connection, unless the client has sent another request before
// the answer: then that one's answer is the last one.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
}

// Shutdown drains the server, closes the idle connections, and returns after all connections have ended. Before the
// call the listener must be closed and Serve must have returned. If Serve nevertheless accepts a connection, the first
// request on it must begin within shutdownRequestGrace, and Shutdown may return before that connection ends. A
// connection with an unread request is not idle: it ends after the answer.
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

// remove removes a connection from conns and from the idle list. The caller holds the server's lock.
func (s *Server) remove(c *conn) {
	c.setIdle(false)
	delete(s.conns, c)
}

// errorAnswer returns the answer to a request that fails with e.
func (s *Server) errorAnswer(e *Error) *Message {
	if s.ErrorAnswer != nil {
		return s.ErrorAnswer(e)
	}
	return &Message{Status: e.Status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}},
		Body: []byte(e.Text + "\n")}
}
