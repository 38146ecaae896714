package http1

import (
	"context"
	"net"
	"time"

	"harepass/internal/socket"
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Connect opens a connection, by plain TCP if d is nil.
func (d Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	if d != nil {
		return d(ctx, address)
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Client is one connection to a server, for one request at a time. It dials when it has to.
type Client struct {
	Address string
	Limits  Limits
	Dial    Dialer // nil for plain TCP

	c net.Conn
	r *Reader
}

// Do sends a request and returns its answer. written tells whether the request's last byte was
// written: if not, the server cannot have run it. After an error the connection is closed, and where more
// has come than the answer too: that would be taken for the next one. An answer that cannot be read is an *Error.
func (cl *Client) Do(ctx context.Context, req *Message) (answer *Message, written bool, err error) {
	if cl.c == nil {
		if err := cl.Connect(ctx); err != nil {
			return nil, false, err
		}
	}
	c := cl.c
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !stop() || err != nil || answer.Close || !cl.r.Idle() {
			cl.Close()
		}
	}()
	if _, err := c.Write(req.Append(nil)); err != nil {
		return nil, false, err
	}
	for {
		if answer, err = cl.r.Read(c); err != nil || answer.Status >= 200 {
			return answer, true, err
		}
	}
}

// Connect opens the connection.
func (cl *Client) Connect(ctx context.Context) error {
	c, err := cl.Dial.Connect(ctx, cl.Address)
	if err == nil {
		cl.c, cl.r = c, NewAnswerReader(cl.Limits)
	}
	return err
}

// Alive tells whether the idle connection still stands: nothing has come in, not even its end.
func (cl *Client) Alive() bool { return cl.c != nil && !socket.HasUnread(cl.c) }

// Close ends the connection; the next Do opens a new one.
func (cl *Client) Close() {
	if cl.c != nil {
		cl.c.Close()
		cl.c = nil
	}
}
