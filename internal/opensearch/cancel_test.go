package opensearch

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
)

// stuckConn is a connection on which deadlines have no effect.
type stuckConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *stuckConn) SetDeadline(time.Time) error { return nil }

func (c *stuckConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// The connection of an attempt does not react to the first Cancel. The second Cancel closes the connection before it
// returns: the coordinator may then send the part to another replica, and two attempts of the part must not be in
// progress at once.
func TestSecondCancelClosesConnection(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	conn := &stuckConn{Conn: client}
	ended := make(endedAttempts, 1)
	caller := &Caller{Reporter: ended, Config: &Config{SectionField: "section"}, ConnectTimeout: time.Second,
		KeepAlive: time.Minute, Dial: func(context.Context, string) (net.Conn, error) { return conn, nil }}
	at := &core.Attempt{ReplicaID: "n", Timeout: time.Second, Origin: &search{index: &Index{name: "i"}}}
	caller.Call(core.Endpoint{Replica: scatter.Replica{ID: "n"}, Address: "n"}, []*core.Attempt{at})
	if _, err := server.Read(make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	caller.Cancel(at)
	if caller.Cancel(at); !conn.closed.Load() {
		t.Error("connection is open after the second Cancel, want it closed")
	}
	select {
	case got := <-ended:
		if got.outcome != scatter.Cancelled {
			t.Errorf("attempt ended with outcome %v, want Cancelled", got)
		}
	case <-time.After(5 * time.Second):
		t.Error("attempt did not end after the second Cancel")
	}
}
