package socket

import (
	"net"
	"testing"
	"time"
)

// A client connects, sends a byte and closes before the byte is read. Each of these events must be reported once it has
// happened, and not earlier, without a read and even while another goroutine reads.
func TestSocketStateShowsWithoutReading(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if HasPendingConn(l) {
		t.Error("HasPendingConn is true for a listener without connections")
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "HasPendingConn after a client has connected", func() bool { return HasPendingConn(l) })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go c.Read(nil) // a concurrent reader must not block the functions
	if HasPendingConn(l) || HasUnread(c) || PeerClosed(c) {
		t.Errorf("accepted connection: pending %t, unread %t, closed %t, want false for each",
			HasPendingConn(l), HasUnread(c), PeerClosed(c))
	}
	client.Write([]byte("x"))
	eventually(t, "HasUnread after the client has sent a byte", func() bool { return HasUnread(c) })
	if PeerClosed(c) {
		t.Error("PeerClosed is true although the client has not closed")
	}
	client.Close()
	eventually(t, "PeerClosed behind an unread byte", func() bool { return PeerClosed(c) })
	near, far := net.Pipe()
	defer far.Close()
	if HasUnread(near) || PeerClosed(near) {
		t.Error("HasUnread or PeerClosed is true for a connection that is not a socket")
	}
}

// eventually waits until holds returns true, and fails the test if that takes longer than 10 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("still false after 10 s: %s", condition)
		}
	}
}
