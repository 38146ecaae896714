package distribution

import (
	"context"
	"net"
	"sync/atomic"

	"harepass/internal/http1"
)

// countingConn counts what goes through a connection.
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

// countBytes wraps a dialer such that the follower's counters have the bytes.
func (f *Follower) countBytes(dial http1.Dialer) http1.Dialer {
	return func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dial.Connect(ctx, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, &f.bytesRead, &f.bytesWritten}, nil
	}
}
