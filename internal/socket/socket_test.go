package socket

import (
	"net"
	"testing"
	"time"
)

// What the system tells of a connection, of one whose peer has gone behind unread bytes, and of a listener.
func TestWhatASocketHolds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if Waiting(l) {
		t.Error("somebody waits at a listener that nobody called")
	}
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "a connection waits", func() bool { return Waiting(l) })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	go c.Read(nil) // a reader does not keep others from asking
	if Waiting(l) || Unread(c) || PeerEnded(c) {
		t.Errorf("a new connection: waits %t, unread %t, ended %t", Waiting(l), Unread(c), PeerEnded(c))
	}
	client.Write([]byte("x"))
	eventually(t, "a byte is unread", func() bool { return Unread(c) })
	if PeerEnded(c) {
		t.Error("the peer is there and counts as gone")
	}
	client.Close()
	eventually(t, "the end is seen behind the byte", func() bool { return PeerEnded(c) })
	here, there := net.Pipe()
	defer there.Close()
	if Unread(here) || PeerEnded(here) {
		t.Error("something is told of what is no socket")
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
