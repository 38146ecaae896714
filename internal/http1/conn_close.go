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
	// lingerTimeout is the time that a client that is still sending has to notice the end of its connection.
	lingerTimeout = 400 * time.Millisecond
	// maxLingerBytes bounds the bytes that discard reads from such a client.
	maxLingerBytes = 1 << 20
	// discardBurst is the number of bytes that are discarded at once while a request is being answered, and
	// discardPause the pause between two bursts. A client that sends at full speed then takes a small part of a core.
	discardBurst = 256 << 10
	discardPause = time.Millisecond
)

// errClosing ends the reading of requests on a connection whose close has begun.
var errClosing = errors.New("http1: the connection is being closed")

// requestClose asks the reader to close an idle connection unless a request has arrived. Only the reader can tell: the
// request's bytes may still be in the socket, or the reader may have read them without having called requestBegan yet.
// The caller holds the server's lock.
func (c *conn) requestClose(reason *counters.Counter) {
	if c.state != connOpen || c.openRequests > 0 {
		return
	}
	c.closeReason = reason
	c.SetReadDeadline(time.Now())
}

// closeIdle closes a connection on which no request arrived before the read deadline. The reader calls it, and holds
// the server's lock.
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

// beginClose shuts the server's sending side of an open connection. The reader then discards the bytes that still
// arrive; see discard. Closing a socket that holds unread bytes would send a reset, which destroys an
// answer on its way to the client: the client would see a broken connection after its request was handled. The caller
// holds the server's lock.
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
	c.SetReadDeadline(time.Now()) // wakes the reader, which drops what it has received and discards the rest
}

// finishClose closes the socket, and removes the connection from the server. The caller holds the server's lock.
func (c *conn) finishClose() {
	if c.state == connClosed {
		return
	}
	c.state = connClosed
	c.Conn.Close()
	c.server.remove(c)
	c.server.evicted = slices.DeleteFunc(c.server.evicted, func(o *conn) bool { return o == c })
}

// isClosing reports whether the close of the connection has begun or finished.
func (c *conn) isClosing() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	return c.state != connOpen
}

// discardUntilDeparture reads and drops what the client sends, until the client leaves or the close of the connection
// begins. It reports whether the client has left.
func (c *conn) discardUntilDeparture() (left bool) {
	for c.clearReadDeadline() {
		_, err := io.CopyN(io.Discard, c.Conn, discardBurst)
		switch {
		case err == nil:
			time.Sleep(discardPause)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return !c.isClosing()
		}
	}
	return false
}

// clearReadDeadline removes the read deadline, unless the close of the connection has begun. It reports whether the
// connection is open.
func (c *conn) clearReadDeadline() bool {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.state != connOpen {
		return false
	}
	c.SetReadDeadline(time.Time{})
	return true
}

// discard reads and drops the bytes that the client still sends after the close of the connection has begun, for
// lingerTimeout and up to maxLingerBytes.
func (c *conn) discard() {
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	n, _ := io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
	if n > 0 {
		countBytesAfterClose.Inc()
	}
}
