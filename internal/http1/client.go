package http1

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"harepass/internal/socket"
)

// Dialer opens a connection to an address. A nil Dialer uses plain TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Connect opens a connection with d, or by plain TCP if d is nil.
func (d Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	if d != nil {
		return d(ctx, address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// longAgo is a deadline in the past, which ends a read or write at once.
var longAgo = time.Unix(1, 0)

// Client sends requests to one server over one connection, one request at a time. Only one goroutine at a time may use
// it, but any goroutine may call Abort. It opens the connection when a request needs one. Its exported fields must be
// set before the first call.
type Client struct {
	// Address is the server's address in the form that Dial expects.
	Address string
	// Limits bound the answers.
	Limits Limits
	// Dial opens the connection; nil for plain TCP.
	Dial Dialer

	// Only the goroutine that uses the Client accesses conn, so Abort, which any goroutine may call, reads opened.
	conn   net.Conn                 // nil while there is no connection
	reader *Reader                  // parses the answers on conn
	opened atomic.Pointer[net.Conn] // the connection that was opened last, even if closed; nil before the first
}

// Do sends a request and returns its answer. written reports whether the whole request was written; if not, the server
// cannot have handled it. If ctx ends during the exchange, the error is a time-out of the connection, not ctx.Err().
// Other errors are those of Connect or of the connection, or an *Error for an invalid answer.
//
// Do closes the connection after an error, because a message on it may be incomplete; after an answer with Close,
// because the server ends the connection too; when ctx has ended, because the connection's deadline has passed; and
// when bytes follow the answer, because the next call would read them as its answer.
func (cl *Client) Do(ctx context.Context, req *Message) (answer *Message, written bool, err error) {
	return cl.DoEncoded(ctx, req.Append(nil))
}

// DoEncoded is Do for a request that has been encoded by Message.Append.
func (cl *Client) DoEncoded(ctx context.Context, req []byte) (answer *Message, written bool, err error) {
	if cl.conn == nil {
		if err := cl.Connect(ctx); err != nil {
			return nil, false, err
		}
	}
	c := cl.conn
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	defer func() {
		if !stop() || err != nil || answer.Close || !cl.reader.Idle() {
			cl.Close()
		}
	}()
	if _, err := c.Write(req); err != nil {
		return nil, false, err
	}
	for { // skips interim answers, with status 1xx, which precede the final one
		if answer, err = cl.reader.Read(c); err != nil || answer.Status >= firstFinalStatus {
			return answer, true, err
		}
	}
}

// Connect opens the connection. The error is the one that Dial returned. Connect must not be called while a connection
// is open, because it would not close that one.
func (cl *Client) Connect(ctx context.Context) error {
	c, err := cl.Dial.Connect(ctx, cl.Address)
	if err == nil {
		cl.conn, cl.reader = c, NewAnswerReader(cl.Limits)
		cl.opened.Store(&c)
	}
	return err
}

// Abort closes the connection that was opened last, before it returns. If another goroutine is in Do and exchanges
// messages on that connection, its call ends with an error; a Do that is still connecting continues. Abort does not
// reset conn: if no Do is running, Alive does not notice the close, and the next Do fails instead of connecting.
func (cl *Client) Abort() {
	if c := cl.opened.Load(); c != nil {
		(*c).Close()
	}
}

// Alive reports whether the idle connection can be used for a request: there is one, and neither bytes nor an end of
// stream nor an error wait to be read from it. Alive does not notice that Abort has closed the connection.
func (cl *Client) Alive() bool { return cl.conn != nil && !socket.HasUnread(cl.conn) }

// Close closes the connection. The next Do opens a new one. Until then, Abort closes the old connection again, which
// has no effect.
func (cl *Client) Close() {
	if cl.conn != nil {
		cl.conn.Close()
		cl.conn = nil
	}
}
