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

	conn   net.Conn                 // nil while there is no connection
	reader *Reader                  // parses the answers on conn
	opened atomic.Pointer[net.Conn] // the connection that was opened last, for Abort; nil before the first
}

// Do sends a request and returns its answer. written reports whether the whole request was written; if not, the server
// cannot have handled it. The end of ctx ends the call. The error is an error of the connection, or an *Error for an
// invalid answer. Do closes the connection after an error, after an answer with Close, when ctx has ended, and when
// bytes follow the answer, because the next call would read them as its answer.
func (cl *Client) Do(ctx context.Context, req *Message) (answer *Message, written bool, err error) {
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
	if _, err := c.Write(req.Append(nil)); err != nil {
		return nil, false, err
	}
	for {
		if answer, err = cl.reader.Read(c); err != nil || answer.Status >= firstFinalStatus {
			return answer, true, err
		}
	}
}

// Connect opens the connection. The error is the one that Dial returned.
func (cl *Client) Connect(ctx context.Context) error {
	c, err := cl.Dial.Connect(ctx, cl.Address)
	if err == nil {
		cl.conn, cl.reader = c, NewAnswerReader(cl.Limits)
		cl.opened.Store(&c)
	}
	return err
}

// Abort closes the connection before it returns. If another goroutine is in Do, that call ends with an error.
func (cl *Client) Abort() {
	if c := cl.opened.Load(); c != nil {
		(*c).Close()
	}
}

// Alive reports whether the idle connection can be used for a request: it is open, and neither bytes nor an end of
// stream nor an error wait to be read from it.
func (cl *Client) Alive() bool { return cl.conn != nil && !socket.HasUnread(cl.conn) }

// Close closes the connection. The next Do opens a new one.
func (cl *Client) Close() {
	if cl.conn != nil {
		cl.conn.Close()
		cl.conn = nil
	}
}
