package http1

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"time"

	"harepass/internal/counters"
	"harepass/internal/socket"
)

// This file is a connection of the server: its states, and the requests that are taken off it and answered.

// errOver ends the reading of a connection that we have begun to close: what comes is not heard.
var errClosing = errors.New("http1: the connection is being closed")

// connState is how far a connection is. It moves forward only, under the server's lock: so a request is either taken
// before the decision to close, and answered, or not heard.
type connState int

const (
	connOpen    connState = iota // requests are heard
	connClosing                  // our side is shut; what still comes is read out and dropped
	connClosed                   // closed
)

type conn struct {
	net.Conn
	server           *Server
	state            connState
	acceptedAt       time.Time
	openRequests     int           // requests between their first byte and their answer
	completeRequests int           // those of them that have come in whole
	used             bool          // some request has come in whole
	overflowed       bool          // more has come behind the open request than may wait there: the next answer is the last
	queuedBytes      int           // bytes of the requests that wait behind it
	lastActivity     time.Time     // when it last became idle, or began a request
	idleElement      *list.Element // among the idle ones

	closeReason *counters.Counter // of whoever has asked the reader to end it; nil for nobody
}

// askToEnd has the reader end an idle connection, under the lock, if it finds nothing on it. Only the reader knows whether a
// request has come: its bytes may be in the socket still, or read and not yet announced by begin.
func (c *conn) requestClose(reason *counters.Counter) {
	if c.state != connOpen || c.openRequests > 0 {
		return
	}
	c.closeReason = reason
	c.SetReadDeadline(time.Now())
}

// endIdle is for the reader, under the lock: nothing has come within the time that a connection may be idle, or until
// somebody asked for its end.
func (c *conn) closeIdle() {
	switch {
	case c.closeReason != nil:
		c.beginClose(c.closeReason)
	case c.used:
		c.beginClose(closedIdle)
	default:
		c.beginClose(closedNoRequest)
	}
}

// shut begins the end of a connection, under the lock: our side is closed, and the reader takes what still comes, in
// bounded time, and drops it. To close at once over bytes that nobody has read would reset what is on its way to the peer.
func (c *conn) beginClose(reason *counters.Counter) {
	if c.state != connOpen {
		return
	}
	c.state = connClosing
	reason.Inc()
	c.setIdle(false)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		c.finishClose()
		return
	}
	half.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// close ends it, under the lock.
func (c *conn) finishClose() {
	if c.state == connClosed {
		return
	}
	c.state = connClosed
	c.Conn.Close()
	c.server.remove(c)
	c.server.evicted = slices.DeleteFunc(c.server.evicted, func(o *conn) bool { return o == c })
}

// begin, got and end mark a request's first byte, its last, and its answer. They set the time in which the
// next bytes have to come: none while a request is open and the next one has not begun. False means that the connection
// is being closed: the request is not heard, and its client sends it once more on another.
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
	until := c.lastActivity.Add(requestTimeout)
	if !c.used {
		until = c.acceptedAt.Add(requestTimeout)
		if least := c.lastActivity.Add(lateReadGrace); until.Before(least) { // the first byte was read late
			until = least
		}
	}
	c.SetReadDeadline(until)
	return true
}

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

func (c *conn) requestAnswered() {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.openRequests, c.completeRequests = c.openRequests-1, max(0, c.completeRequests-1) // what could not be read was never whole
	if c.openRequests > 0 {
		return
	}
	c.server.busyConns--
	if c.state != connOpen {
		return
	}
	if c.server.shuttingDown { // it was being answered when the others were closed
		c.beginClose(closedLastAnswer)
		return
	}
	c.lastActivity = time.Now()
	c.SetReadDeadline(c.lastActivity.Add(keepAliveTimeout))
	c.setIdle(true)
	c.server.evictSurplusIdle()
}

// rest enters the connection among the idle ones, or takes it out, under the lock.
func (c *conn) setIdle(idle bool) {
	if c.idleElement != nil {
		c.server.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
	if _, held := c.server.conns[c]; held && idle && c.used {
		c.idleElement = c.server.idle.PushBack(c)
	}
}

// incoming is a request, or what ended the reading.
type readResult struct {
	req *Message
	err error
}

// size is what a request holds while it waits, in bytes.
func (r readResult) size() int {
	if r.req == nil {
		return 0
	}
	return len(r.req.Target) + len(r.req.Body)
}

// serve answers the requests of a connection one by one while read takes them off the wire: so it
// notices a client that leaves, and a pipelined request waits its turn.
func (c *conn) serve() {
	in, gone, done, read := make(chan readResult, maxPipelined), make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		c.readRequests(in, gone, done)
	}()
	reason := c.answerRequests(in, gone)
	c.server.mu.Lock()
	c.beginClose(reason)
	c.server.mu.Unlock()
	close(done)
	<-read
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.finishClose()
	if c.openRequests > 0 { // it ended before its answer
		c.server.busyConns--
	}
}

// exchange answers until an answer is the last one or the reading has ended, and returns why the connection ends.
func (c *conn) answerRequests(in <-chan readResult, gone <-chan struct{}) (reason *counters.Counter) {
	for {
		r := <-in
		c.server.mu.Lock()
		c.queuedBytes -= r.size()
		c.server.mu.Unlock()
		if r.err != nil {
			return c.answerReadError(r.err)
		}
		a := c.server.Handler(r.req, gone)
		a.Close = a.Close || r.req.Close
		a.omitBody = r.req.Method == "HEAD"
		switch {
		case !c.writeAnswer(a):
			return closedAnswerNotRead
		case a.Close:
			return closedLastAnswer
		}
	}
}

// readingEnded answers a request that could not be read, and returns why the connection ends.
func (c *conn) answerReadError(err error) (reason *counters.Counter) {
	var bad *Error
	switch {
	case errors.As(err, &bad):
		m := c.server.errorAnswer(bad)
		m.Close = true
		c.writeAnswer(m)
		return closedBadRequest
	case errors.Is(err, errClosing):
		return nil // its end has begun already
	}
	return closedByClient
}

// answer writes a whole answer.
func (c *conn) writeAnswer(a *Message) bool {
	c.server.mu.Lock()
	a.Close = a.Close || c.server.draining || c.overflowed
	c.server.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(a.Append(nil))
	c.requestAnswered()
	return err == nil
}

// read takes requests off the connection until it ends, or until there are more than may wait: then the rest is dropped.
// It goes on reading while one is answered, for that alone tells that the client has left.
func (c *conn) readRequests(in chan<- readResult, gone, done chan struct{}) {
	r := NewRequestReader(c.server.Limits)
	for {
		req, err := c.readRequest(r)
		var bad *Error
		left := err != nil && !errors.Is(err, errClosing) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &bad)
		taken := c.enqueue(in, readResult{req, err})
		if left || !taken && c.discard() {
			close(gone)
		}
		if err != nil || !taken {
			break
		}
	}
	<-done
	c.discard()
}

// next takes a request off the connection.
func (c *conn) readRequest(r *Reader) (*Message, error) {
	w := &beginningReader{c: c}
	if !r.Idle() && !w.requestBegan() { // pipelined behind the one before
		return nil, errClosing
	}
	req, err := r.Read(w)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline(r.Idle()) {
		req, err = r.Read(w)
	}
	if req != nil {
		req.client, req.readAt = c.Conn, time.Now()
	}
	switch {
	case err == nil && !c.requestRead():
		return nil, errClosing
	case errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing():
		return nil, errClosing
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.Idle():
		return nil, &Error{408, "request took too long"}
	}
	return req, err
}

// lookAgain lets what came before a deadline be read after it: the reader may have been held up until then. False means that
// nothing has come, and an idle connection ends with that, or that the connection is being closed already.
func (c *conn) extendDeadline(idle bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state != connOpen:
		return false
	case socket.Unread(c.Conn):
		c.SetReadDeadline(time.Now().Add(lateReadGrace))
		return true
	case idle && c.openRequests == 0:
		c.closeIdle()
	}
	return false
}

// wait hands a request over; false means that too much waits already.
func (c *conn) enqueue(in chan<- readResult, x readResult) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.overflowed = c.overflowed || len(in) == cap(in) || c.queuedBytes > 0 && c.queuedBytes+x.size() > c.server.Limits.Body; c.overflowed {
		return false
	}
	c.queuedBytes += x.size()
	in <- x
	return true
}

// closing tells whether we have begun to close it.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.state != connOpen
}

// drop reads out what the peer still sends, in bounded bytes and until the deadline that was set last; true means that
// the peer has left.
func (c *conn) discard() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	if n > 0 {
		countBytesAfterClose.Inc()
	}
	return !errors.Is(err, os.ErrDeadlineExceeded) && n < maxLingerBytes
}

// watched notices a request's first byte, an empty line before it included.
type beginningReader struct {
	c     *conn
	begun bool
}

func (w *beginningReader) requestBegan() bool {
	w.begun = true
	return w.c.requestBegan()
}

func (w *beginningReader) Read(p []byte) (int, error) {
	n, err := w.c.Conn.Read(p)
	if n > 0 && !w.begun && !w.requestBegan() {
		return 0, errClosing
	}
	return n, err
}
