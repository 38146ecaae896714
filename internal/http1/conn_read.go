package http1

import (
	"errors"
	"os"
	"time"

	"harepass/internal/socket"
)

// maxPipelined is the number of requests that may wait behind the one being answered. Their total size is bounded by
// the limits of one request, except that a single request may always wait.
const maxPipelined = 16

// readResult is a request, or the error that ended the reading.
type readResult struct {
	req *Message
	err error
}

// size returns the memory in bytes that a request takes while it waits; 0 for an error.
func (r readResult) size() int {
	if r.req == nil {
		return 0
	}
	return r.req.size()
}

// readRequests reads requests until the connection ends, and closes clientLeft if the client ended it. It keeps reading
// while a request is being answered, because reading is the only way to notice that the client leaves: the end of the
// connection lies behind all that the client has sent, and the system does not even receive it while much is unread. It
// returns after answered was closed and the bytes that the client sent after that were discarded.
func (c *conn) readRequests(results chan<- readResult, clientLeft chan<- struct{}, answered <-chan struct{}) {
	left := c.queueRequests(results)
	c.readingEnded()
	if left || c.discardUntilDeparture() {
		close(clientLeft)
	}
	<-answered
	c.discard()
}

// queueRequests reads requests and queues them for answering until the client leaves, a request cannot be read, more
// requests arrive than may wait, or the connection is being closed. It reports whether the client has left.
func (c *conn) queueRequests(results chan<- readResult) (clientHasLeft bool) {
	r := NewRequestReader(c.server.Limits)
	for {
		req, err := c.readRequest(r)
		queued := c.enqueue(results, readResult{req, err})
		switch {
		case endsByClient(err):
			return true
		case !queued || err != nil:
			return false
		}
	}
}

// endsByClient reports whether a read error means that the client has left, because the error is neither a fault in a
// request nor an expired deadline nor the server's own close.
func endsByClient(err error) bool {
	var fault *Error
	return err != nil && !errors.Is(err, errClosing) && !errors.Is(err, os.ErrDeadlineExceeded) &&
		!errors.As(err, &fault)
}

// readRequest reads one request. The error is errClosing, an *Error for a request that is invalid or took too long, or
// an error of the connection.
func (c *conn) readRequest(r *Reader) (*Message, error) {
	w := &firstByteReader{conn: c, reader: r}
	if !r.Idle() && !w.requestBegan() { // a pipelined request has begun: its first bytes came with the previous one
		return nil, errClosing
	}
	req, err := r.Read(w)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline(r.Idle()) {
		req, err = r.Read(w)
	}
	if req != nil {
		req.client, req.readAt = c.Conn, time.Now()
		c.requestReceived(req.size(), r.memory())
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

// extendDeadline reports whether reading continues after the read deadline expired. A process that was suspended
// (SIGSTOP) or starved of CPU finds the deadline expired although a request arrived in time. Closing the connection
// then would lose the request, and the client would see a reset. extendDeadline therefore checks the socket for unread
// bytes, and sets a new deadline after lateReadGrace if there are any, however late the process is. Otherwise it closes
// an idle connection.
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

// enqueue queues a request or a read error for answering, and reports whether the queue had capacity for it. After the
// first one without capacity, it rejects all others on the connection. The send under the lock never blocks: the
// connection's reader, which calls enqueue, is the only sender, and the channel has free space, which can only grow.
func (c *conn) enqueue(results chan<- readResult, r readResult) bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if len(results) == cap(results) || c.queuedBytes > 0 && c.queuedBytes+r.size() > c.server.Limits.request() {
		c.overflowed = true
	}
	if c.overflowed {
		return false
	}
	c.queuedBytes += r.size()
	results <- r
	return true
}

// firstByteReader reads one request from a connection, and calls conn.requestBegan at the first byte. That byte may
// belong to an empty line before the request. Before each read it reserves memory for what has been received.
type firstByteReader struct {
	conn   *conn
	reader *Reader // parses the request
	begun  bool    // requestBegan was called
}

func (w *firstByteReader) requestBegan() bool {
	w.begun = true
	return w.conn.requestBegan()
}

// Read implements io.Reader. The error is errClosing if the first byte arrives while the connection is being closed, and
// errNoMemory if the server has too little memory for the request.
func (w *firstByteReader) Read(p []byte) (int, error) {
	reserved := w.conn.reserveReading(w.reader.memory())
	if !reserved && !w.reader.Idle() { // a client that has sent no further request gets no answer to one
		return 0, errNoMemory
	}
	n, err := w.conn.Conn.Read(p)
	if n > 0 && !w.begun && !w.requestBegan() {
		return 0, errClosing
	}
	return n, err
}
