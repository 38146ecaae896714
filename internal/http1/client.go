package http1

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"harepass/internal/socket"
)

// Dialer opens a connection to an address; nil opens one by plain TCP.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Connect opens a connection, by plain TCP if d is nil.
func (d Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	if d != nil {
		return d(ctx, address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// longAgo is a deadline that ends a read or write at once.
var longAgo = time.Unix(1, 0)

// Client is one connection to a server, for one request and one goroutine at a time; any goroutine may call Abort. It
// dials when it has to. Its exported fields are set before the first call.
type Client struct {
	// Address is the server's, as Dial takes it.
	Address string
	// Limits bound the answers.
	Limits Limits
	// Dial opens the connection; nil for plain TCP.
	Dial Dialer

	conn   net.Conn                 // nil while there is none
	reader *Reader                  // of conn
	opened atomic.Pointer[net.Conn] // the connection that was opened last, for Abort; nil before the first
}

// Do sends a request and returns its answer. written reports whether the request's last byte was written: if not, the
// server cannot have handled it. When ctx ends, so does the call. The error is that of the connection, or an *Error
// for an answer that cannot be read. After an error the connection is closed, and so it is where more bytes have come
// than the answer: they would be taken for the next one.
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

// Connect opens the connection. The error is that of dialling.
func (cl *Client) Connect(ctx context.Context) error {
	c, err := cl.Dial.Connect(ctx, cl.Address)
	if err == nil {
		cl.conn, cl.reader = c, NewAnswerReader(cl.Limits)
		cl.opened.Store(&c)
	}
	return err
}

// Abort closes the connection before it returns, also while another goroutine is in Do, which then ends with an error.
func (cl *Client) Abort() {
	if c := cl.opened.Load(); c != nil {
		(*c).Close()
	}
}

// Alive reports whether the idle connection may be used: nothing has come on it, not even its end.
func (cl *Client) Alive() bool { return cl.conn != nil && !socket.HasUnread(cl.conn) }

// Close closes the connection; the next Do opens a new one.
func (cl *Client) Close() {
	if cl.conn != nil {
		cl.conn.Close()
		cl.conn = nil
	}
}
