package http1

import (
	"container/list"
	"net"
	"time"

	"harepass/internal/counters"
)

const (
	// firstRequestTimeout is the time from the accepting of a connection to the first byte of its first request.
	firstRequestTimeout = 2200 * time.Millisecond
	// requestTimeout is the time from a request's first byte to its last; for a connection's first request it runs from
	// the accepting.
	requestTimeout = 2500 * time.Millisecond
	// keepAliveTimeout is how long a connection may be idle between two requests. It is long, so that a close seldom
	// crosses a request; MaxIdle bounds how many are idle.
	keepAliveTimeout = time.Minute
	// lateReadGrace is the time in which bytes are read that came before a deadline. A process that was held up finds
	// its deadline over although they came in time.
	lateReadGrace = 50 * time.Millisecond
)

// connState is how far a connection is. It moves forward only, under the server's lock: so a request is either read
// before the decision to close, and answered, or not read at all.
type connState int

const (
	connOpen    connState = iota // requests are read
	connClosing                  // our side is shut; what still comes is discarded
	connClosed                   // the socket is closed
)

// conn is a connection of a server. Its fields below Conn and server are under the server's lock; acceptedAt does not
// change once the connection is served.
type conn struct {
	net.Conn
	server *Server

	state       connState
	acceptedAt  time.Time
	closeReason *counters.Counter // of whoever has asked the reader to close it; nil for nobody
	idleElement *list.Element     // its place among the server's idle connections; nil where it is not among them

	openRequests     int       // requests between their first byte and their answer
	completeRequests int       // those of openRequests that were read completely
	used             bool      // some request was read completely
	lastActivity     time.Time // when it was accepted, last became idle, or began a request

	queuedBytes int  // size of the requests that wait behind the one that is being answered
	overflowed  bool // more came than may wait there: the next answer is the last one
}

// requestBegan notes a request's first byte, and sets the deadline for its last. False means that the connection is
// being closed: the request is not read, and its client sends it again on another connection.
func (c *conn) requestBegan() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state != connOpen {
		return false
	}
	if c.openRequests++; c.openRequests == 1 {
		c.server.busyConns++
	}
	c.closeReason = nil
	c.server.cancelEviction(c)
	c.setIdle(false)
	c.lastActivity = time.Now()
	c.SetReadDeadline(c.requestDeadline())
	return true
}

// requestDeadline returns when the request that begins now has to be complete. The first byte of a connection's first
// request may have been read late; what came with it is read all the same.
func (c *conn) requestDeadline() time.Time {
	if c.used {
		return c.lastActivity.Add(requestTimeout)
	}
	deadline, earliest := c.acceptedAt.Add(requestTimeout), c.lastActivity.Add(lateReadGrace)
	if deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// requestRead notes that a request was read completely. No deadline holds then until the next one begins. False means
// that the connection is being closed, as with requestBegan.
func (c *conn) requestRead() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state != connOpen {
		return false
	}
	c.completeRequests++
	c.used = true
	c.SetReadDeadline(time.Time{})
	return true
}

// requestAnswered notes a request's answer. Without another one the connection is idle, or closed at a shutdown.
func (c *conn) requestAnswered() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.openRequests--
	c.completeRequests = max(0, c.completeRequests-1) // a request that could not be read was not complete
	if c.openRequests > 0 {
		return
	}
	c.server.busyConns--
	if c.state != connOpen {
		return
	}
	if c.server.shuttingDown { // it was being answered when the idle ones were closed
		c.beginClose(closedLastAnswer)
		return
	}
	c.lastActivity = time.Now()
	c.SetReadDeadline(c.lastActivity.Add(keepAliveTimeout))
	c.setIdle(true)
	c.server.evictSurplusIdle()
}

// setIdle enters the connection among the server's idle ones, or takes it out. It is called under the lock.
func (c *conn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.server.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if _, served := c.server.conns[c]; served && idle && c.used {
		c.idleElement = c.server.idle.PushBack(c)
	}
}
