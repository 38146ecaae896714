package distribution

import (
	"context"
	"net"
	"sync/atomic"

	"harepass/internal/http1"
)

// countBytes returns a dialer whose connections add the bytes that they read and write to the totals.
func (t *totals) countBytes(dial http1.Dialer) http1.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial.Connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &t.bytesRead, &t.bytesWritten}, nil
	}
}

// countingConn is a connection that counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}
