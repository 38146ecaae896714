package http1

import (
	"errors"
	"io"
	"os"
	"slices"
	"time"

	"harepass/internal/counters"
)

const (
	// lingerTimeout is the time in which a client that is still sending may notice the end of its connection.
	lingerTimeout = 400 * time.Millisecond
	// maxLingerBytes bounds what is read of such a client.
	maxLingerBytes = 1 << 20
)

// errClosing is why a connection is not read any more once its close has begun.
var errClosing = errors.New("http1: the connection is being closed")

// requestClose has the reader close an idle connection if it finds no request. Only the reader knows whether one has
// come: its bytes may still be in the socket, or be read and not yet announced by requestBegan. It is called under the
// lock.
func (c *conn) requestClose(reason *counters.Counter) {
	if c.state != connOpen || c.openRequests > 0 {
		return
	}
	c.closeReason = reason
	c.SetReadDeadline(time.Now())
}

// closeIdle closes a connection on which no request came until its deadline. It is called by the reader, under the
// lock.
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

// beginClose shuts our side of an open connection; the reader discards what still comes, for a bounded time. A socket
// that is closed over unread bytes sends a reset, which destroys an answer on its way to the client: the client sees a
// broken connection after its request was handled. With all bytes read there is no reset. It is called under the lock.
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

// finishClose closes the socket. It is called under the lock.
func (c *conn) finishClose() {
	if c.state == connClosed {
		return
	}
	c.state = connClosed
	c.Conn.Close()
	c.server.remove(c)
	c.server.evicted = slices.DeleteFunc(c.server.evicted, func(o *conn) bool { return o == c })
}

// isClosing reports whether the connection's close has begun.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.state != connOpen
}

// discard reads what the client still sends, up to maxLingerBytes and until the present deadline. It reports whether
// the client has left: the reading ended before the limit, and not by the deadline. A close of our own
// socket counts as leaving too.
func (c *conn) discard() (left bool) {
	n, err := io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	if n > 0 {
		countBytesAfterClose.Inc()
	}
	return !errors.Is(err, os.ErrDeadlineExceeded) && n < maxLingerBytes
}
