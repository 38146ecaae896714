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
var errOver = errors.New("http1: the connection is being closed")

// connState is how far a connection is. It moves forward only, under the server's lock: so a request is either taken
// before the decision to close, and answered, or not heard.
type connState int

const (
	taking connState = iota // requests are heard
	ending                  // our side is shut; what still comes is read out and dropped
	over                    // closed
)

type conn struct {
	net.Conn
	s        *Server
	state    connState
	accepted time.Time
	open     int           // requests between their first byte and their answer
	whole    int           // those of them that have come in whole
	used     bool          // some request has come in whole
	flooded  bool          // more has come behind the open request than may wait there: the next answer is the last
	ahead    int           // bytes of the requests that wait behind it
	since    time.Time     // when it last became idle, or began a request
	at       *list.Element // among the idle ones

	endReason *counters.Counter // of whoever has asked the reader to end it; nil for nobody
}

// askToEnd has the reader end an idle connection, under the lock, if it finds nothing on it. Only the reader knows whether a
// request has come: its bytes may be in the socket still, or read and not yet announced by begin.
func (c *conn) askToEnd(reason *counters.Counter) {
	if c.state != taking || c.open > 0 {
		return
	}
	c.endReason = reason
	c.SetReadDeadline(time.Now())
}

// endIdle is for the reader, under the lock: nothing has come within the time that a connection may be idle, or until
// somebody asked for its end.
func (c *conn) endIdle() {
	switch {
	case c.endReason != nil:
		c.shut(c.endReason)
	case c.used:
		c.shut(closedResting)
	default:
		c.shut(closedNoRequest)
	}
}

// shut begins the end of a connection, under the lock: our side is closed, and the reader takes what still comes, in
// bounded time, and drops it. To close at once over bytes that nobody has read would reset what is on its way to the peer.
func (c *conn) shut(reason *counters.Counter) {
	if c.state != taking {
		return
	}
	c.state = ending
	reason.Inc()
	c.rest(false)
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		c.close()
		return
	}
	half.CloseWrite()
	c.SetReadDeadline(time.Now().Add(lingerTime))
}

// close ends it, under the lock.
func (c *conn) close() {
	if c.state == over {
		return
	}
	c.state = over
	c.Conn.Close()
	c.s.forget(c)
	c.s.parting = slices.DeleteFunc(c.s.parting, func(o *conn) bool { return o == c })
}

// begin, got and end mark a request's first byte, its last, and its answer. They set the time in which the
// next bytes have to come: none while a request is open and the next one has not begun. False means that the connection
// is being closed: the request is not heard, and its client sends it once more on another.
func (c *conn) begin() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.state != taking {
		return false
	}
	if c.open++; c.open == 1 {
		c.s.busy++
	}
	c.endReason = nil
	c.s.unpart(c)
	c.rest(false)
	c.since = time.Now()
	until := c.since.Add(requestTime)
	if !c.used {
		until = c.accepted.Add(requestTime)
		if least := c.since.Add(lookTime); until.Before(least) { // the first byte was read late
			until = least
		}
	}
	c.SetReadDeadline(until)
	return true
}

func (c *conn) got() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.state != taking {
		return false
	}
	c.whole++
	c.used = true
	c.SetReadDeadline(time.Time{})
	return true
}

func (c *conn) end() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.open, c.whole = c.open-1, max(0, c.whole-1) // what could not be read was never whole
	if c.open > 0 {
		return
	}
	c.s.busy--
	if c.state != taking {
		return
	}
	if c.s.down { // it was being answered when the others were closed
		c.shut(closedLastAnswer)
		return
	}
	c.since = time.Now()
	c.SetReadDeadline(c.since.Add(keepTime))
	c.rest(true)
	c.s.trim()
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

// incoming is a request, or what ended the reading.
type incoming struct {
	req *Message
	err error
}

// size is what a request holds while it waits, in bytes.
func (r incoming) size() int {
	if r.req == nil {
		return 0
	}
	return len(r.req.Target) + len(r.req.Body)
}

// serve answers the requests of a connection one by one while read takes them off the wire: so it
// notices a client that leaves, and a pipelined request waits its turn.
func (c *conn) serve() {
	in, gone, done, read := make(chan incoming, aheadMost), make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		c.read(in, gone, done)
	}()
	reason := c.exchange(in, gone)
	c.s.mu.Lock()
	c.shut(reason)
	c.s.mu.Unlock()
	close(done)
	<-read
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.close()
	if c.open > 0 { // it ended before its answer
		c.s.busy--
	}
}

// exchange answers until an answer is the last one or the reading has ended, and returns why the connection ends.
func (c *conn) exchange(in <-chan incoming, gone <-chan struct{}) (reason *counters.Counter) {
	for {
		r := <-in
		c.s.mu.Lock()
		c.ahead -= r.size()
		c.s.mu.Unlock()
		if r.err != nil {
			return c.readingEnded(r.err)
		}
		a := c.s.Handler(r.req, gone)
		a.Close = a.Close || r.req.Close
		a.head = r.req.Method == "HEAD"
		switch {
		case !c.answer(a):
			return closedNotTaken
		case a.Close:
			return closedLastAnswer
		}
	}
}

// readingEnded answers a request that could not be read, and returns why the connection ends.
func (c *conn) readingEnded(err error) (reason *counters.Counter) {
	var bad *Error
	switch {
	case errors.As(err, &bad):
		m := c.s.fault(bad)
		m.Close = true
		c.answer(m)
		return closedBadRequest
	case errors.Is(err, errOver):
		return nil // its end has begun already
	}
	return closedByClient
}

// answer writes a whole answer.
func (c *conn) answer(a *Message) bool {
	c.s.mu.Lock()
	a.Close = a.Close || c.s.draining || c.flooded
	c.s.mu.Unlock()
	c.SetWriteDeadline(time.Now().Add(answerTime))
	_, err := c.Write(a.Append(nil))
	c.end()
	return err == nil
}

// read takes requests off the connection until it ends, or until there are more than may wait: then the rest is dropped.
// It goes on reading while one is answered, for that alone tells that the client has left.
func (c *conn) read(in chan<- incoming, gone, done chan struct{}) {
	r := NewRequestReader(c.s.Limits)
	for {
		req, err := c.next(r)
		var bad *Error
		left := err != nil && !errors.Is(err, errOver) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &bad)
		taken := c.wait(in, incoming{req, err})
		if left || !taken && c.drop() {
			close(gone)
		}
		if err != nil || !taken {
			break
		}
	}
	<-done
	c.drop()
}

// next takes a request off the connection.
func (c *conn) next(r *Reader) (*Message, error) {
	w := &watched{c: c}
	if !r.Idle() && !w.begin() { // pipelined behind the one before
		return nil, errOver
	}
	req, err := r.Read(w)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.lookAgain(r.Idle()) {
		req, err = r.Read(w)
	}
	if req != nil {
		req.left, req.came = c.Conn, time.Now()
	}
	switch {
	case err == nil && !c.got():
		return nil, errOver
	case errors.Is(err, os.ErrDeadlineExceeded) && c.closing():
		return nil, errOver
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.Idle():
		return nil, &Error{408, "request took too long"}
	}
	return req, err
}

// lookAgain lets what came before a deadline be read after it: the reader may have been held up until then. False means that
// nothing has come, and an idle connection ends with that, or that the connection is being closed already.
func (c *conn) lookAgain(idle bool) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	switch {
	case c.state != taking:
		return false
	case socket.HasUnread(c.Conn):
		c.SetReadDeadline(time.Now().Add(lookTime))
		return true
	case idle && c.open == 0:
		c.endIdle()
	}
	return false
}

// wait hands a request over; false means that too much waits already.
func (c *conn) wait(in chan<- incoming, x incoming) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.flooded = c.flooded || len(in) == cap(in) || c.ahead > 0 && c.ahead+x.size() > c.s.Limits.Body; c.flooded {
		return false
	}
	c.ahead += x.size()
	in <- x
	return true
}

// closing tells whether we have begun to close it.
func (c *conn) closing() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.state != taking
}

// drop reads out what the peer still sends, in bounded bytes and until the deadline that was set last; true means that
// the peer has left.
func (c *conn) drop() bool {
	n, err := io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
	if n > 0 {
		countAfterClose.Inc()
	}
	return !errors.Is(err, os.ErrDeadlineExceeded) && n < lingerBytes
}

// watched notices a request's first byte, an empty line before it included.
type watched struct {
	c     *conn
	begun bool
}

func (w *watched) begin() bool {
	w.begun = true
	return w.c.begin()
}

func (w *watched) Read(p []byte) (int, error) {
	n, err := w.c.Conn.Read(p)
	if n > 0 && !w.begun && !w.begin() {
		return 0, errOver
	}
	return n, err
}
