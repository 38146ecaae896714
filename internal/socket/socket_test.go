package socket

import (
	"net"
	"testing"
	"time"
)

// A client connects, sends a byte and closes before the byte is read. Each of these shows without a read, also while
// another goroutine reads; before it happens nothing shows.
func TestSocketStateShowsWithoutReading(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if HasPendingConn(l) {
		t.Error("a connection is pending at a listener to which nobody connected")
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a connection is pending", func() bool { return HasPendingConn(l) })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go c.Read(nil) // a reader does not block the functions
	if HasPendingConn(l) || HasUnread(c) || PeerClosed(c) {
		t.Errorf("a new connection: pending %t, unread %t, closed %t", HasPendingConn(l), HasUnread(c), PeerClosed(c))
	}
	client.Write([]byte("x"))
	eventually(t, "a byte is unread", func() bool { return HasUnread(c) })
	if PeerClosed(c) {
		t.Error("the peer is there and counts as closed")
	}
	client.Close()
	eventually(t, "the end shows behind the byte", func() bool { return PeerClosed(c) })
	near, far := net.Pipe()
	defer far.Close()
	if HasUnread(near) || PeerClosed(near) {
		t.Error("a connection that is no socket shows something")
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, condition string, holds func() bool) {
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", condition)
		}
	}
}
