package http1

import (
	"io"
	"net"
	"testing"
	"time"
)

// The body of an answer without a length lasts until the connection ends. If the server fails halfway and the
// connection is reset, the client must not accept the part received before the reset as an answer.
func TestResetIsNoEndOfAnAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Read(make([]byte, 1000))
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"so\":\"far\"}")
			time.Sleep(20 * time.Millisecond)
			if reset {
				c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}()
		cl := &Client{Address: l.Addr().String(), Limits: small}
		m, written, err := cl.Do(t.Context(), &Message{Method: "GET", Target: "/"})
		if !written || (err != nil) != reset {
			t.Errorf("connection reset %t: answer %+v, error %v; want an error only for a reset", reset, m, err)
		}
		l.Close()
	}
}
