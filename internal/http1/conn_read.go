package http1

import (
	"errors"
	"os"
	"time"

	"harepass/internal/socket"
)

// maxPipelined is how many requests may wait behind the one that is being answered. Their size together is bounded by
// one body more.
const maxPipelined = 16

// readResult is a request, or the error that ended the reading.
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

// readRequests reads requests until the connection ends, and closes clientLeft if its client has ended it. It goes on
// while a request is answered, for only so a client that leaves is noticed. It returns once answered is closed and what
// the client still sends after that is discarded.
func (c *conn) readRequests(results chan<- readResult, clientLeft chan<- struct{}, answered <-chan struct{}) {
	if c.queueRequests(results) {
		close(clientLeft)
	}
	<-answered
	c.discard()
}

// queueRequests hands requests on until the reading ends, or until there are more than may wait; then it discards the
// rest. It reports whether the client has left.
func (c *conn) queueRequests(results chan<- readResult) (clientHasLeft bool) {
	r := NewRequestReader(c.server.Limits)
	for {
		req, err := c.readRequest(r)
		queued := c.enqueue(results, readResult{req, err})
		switch {
		case endsByClient(err):
			return true
		case !queued:
			return c.discard()
		case err != nil:
			return false
		}
	}
}

// endsByClient reports whether a reading error says that the client has left: it is no fault in a request, no deadline,
// and no close of our own.
func endsByClient(err error) bool {
	var fault *Error
	return err != nil && !errors.Is(err, errClosing) && !errors.Is(err, os.ErrDeadlineExceeded) &&
		!errors.As(err, &fault)
}

// readRequest reads one request. The error is errClosing, an *Error for a request that cannot be read or took too long,
// or that of the connection.
func (c *conn) readRequest(r *Reader) (*Message, error) {
	w := &beginningReader{conn: c}
	if !r.Idle() && !w.requestBegan() { // it was pipelined behind the last one
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
		return nil, &Error{StatusRequestTimeout, "request took too long"}
	}
	return req, err
}

// extendDeadline reports whether the reading goes on after a deadline. A process that was held up (SIGSTOP, a starved
// core) finds the deadline over although a request came in time; to close then would lose the request, and the client
// would see a reset. So the socket is asked once more: bytes that are in it are read, however late this process is.
// Without any, an idle connection is closed.
func (c *conn) extendDeadline(idle bool) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	switch {
	case c.state != connOpen:
		return false
	case socket.HasUnread(c.Conn):
		c.SetReadDeadline(time.Now().Add(lateReadGrace))
		return true
	case idle && c.openRequests == 0:
		c.closeIdle()
	}
	return false
}

// enqueue hands a request on to be answered, and reports whether there was capacity for it to wait. Once there was
// none, there is none for the rest of the connection. The send under the lock never blocks: the reader, its caller, is
// the only sender, and there is space in the channel, which receiving can only add to.
func (c *conn) enqueue(results chan<- readResult, r readResult) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if len(results) == cap(results) || c.queuedBytes > 0 && c.queuedBytes+r.size() > c.server.Limits.Body {
		c.overflowed = true
	}
	if c.overflowed {
		return false
	}
	c.queuedBytes += r.size()
	results <- r
	return true
}

// beginningReader reads from a connection and notes a request's first byte, which may be that of an empty line before
// it.
type beginningReader struct {
	conn  *conn
	begun bool
}

func (w *beginningReader) requestBegan() bool {
	w.begun = true
	return w.conn.requestBegan()
}

// Read implements io.Reader. The error is errClosing where a request begins while the connection is being closed.
func (w *beginningReader) Read(p []byte) (int, error) {
	n, err := w.conn.Conn.Read(p)
	if n > 0 && !w.begun && !w.requestBegan() {
		return 0, errClosing
	}
	return n, err
}
