package http1

import (
	"container/list"
	"net"
	"time"

	"harepass/internal/counters"
)

const (
	// firstRequestTimeout bounds the time from accepting a connection to the first byte of its first request.
	firstRequestTimeout = 2200 * time.Millisecond
	// requestTimeout bounds the time from a request's first byte to its last. For the first request of a connection it
	// runs from accepting the connection.
	requestTimeout = 2500 * time.Millisecond
	// keepAliveTimeout bounds how long a connection may be idle between two requests. It is long, so that the server
	// rarely closes a connection while a request is on the way; MaxIdle bounds the number of idle connections.
	keepAliveTimeout = time.Minute
	// lateReadGrace is the time allowed after a deadline for reading bytes that arrived before it. A process that was
	// suspended or starved of CPU sees an expired deadline although the bytes arrived in time.
	lateReadGrace = 50 * time.Millisecond
)

// connState is the state of a connection. It only moves forward, under the server's lock, so that a request is either
// read before the server decides to close the connection, and answered, or not read at all.
type connState int

const (
	connOpen    connState = iota // the server reads requests
	connClosing                  // the server has shut its sending side, and discards the bytes that still arrive
	connClosed                   // the socket is closed
)

// conn is a connection of a server. The server's lock guards all fields except Conn and server; acceptedAt does not
// change after the goroutines of the connection have started.
type conn struct {
	net.Conn
	server *Server

	state       connState
	acceptedAt  time.Time
	closeReason *counters.Counter // the reason of a close requested by requestClose; nil for none
	idleElement *list.Element     // the connection's element in the server's idle list; nil if it is not listed

	openRequests     int       // requests whose first byte was read and that are not answered
	completeRequests int       // those of openRequests that were read completely
	used             bool      // at least one request was read completely
	lastActivity     time.Time // when the connection was accepted, last became idle, or last began a request

	memory      connMemory
	queuedBytes int  // size of the requests that wait behind the one being answered; see Message.size
	overflowed  bool // more requests arrived than may wait: the answer to the last one that waits is the last answer
}

// requestBegan records that a request's first byte was read, and sets the deadline for its last byte. It returns false
// if the connection is being closed: the server then ignores the request, and the client sends it again on another
// connection.
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

// requestDeadline returns the time by which the request that begins now must be complete. The process may have read the
// first byte of a connection's first request late; the deadline is at least lateReadGrace away, so that the bytes that
// arrived with it are read as well.
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

// requestRead records that a request was read completely, and clears the read deadline until the next request begins.
// It returns false if the connection is being closed, as requestBegan does.
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

// requestAnswered records that a request was answered. If no other request is open, the connection becomes idle, or is
// closed during a shutdown.
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
	if c.server.shuttingDown { // Shutdown closed only the connections that were idle when it began
		c.requestClose(closedLastAnswer)
		return
	}
	c.lastActivity = time.Now()
	c.SetReadDeadline(c.lastActivity.Add(keepAliveTimeout))
	c.setIdle(true)
	c.server.evictSurplusIdle()
}

// setIdle adds the connection to the server's idle list, or removes it. Only a served connection that has brought a
// request is added. The caller holds the server's lock.
func (c *conn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.server.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if _, served := c.server.conns[c]; served && idle && c.used {
		c.idleElement = c.server.idle.PushBack(c)
	}
}
