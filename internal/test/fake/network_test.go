package fake

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A server ends its direction of the connection while its client still writes. The server must still read the rest of
// what the client sends, and the client must read what the server sent before the end.
func TestNetworkHalfClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := Network{HalfClose: true}
		l := network.Listen("s")
		defer l.Close()
		const request, answer = "request", "answer"
		read := make(chan string, 1)
		go func() {
			c, err := l.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			io.WriteString(c, answer)
			c.(interface{ CloseWrite() error }).CloseWrite()
			time.Sleep(time.Second) // the client is blocked in its write
			data, _ := io.ReadAll(c)
			read <- string(data)
		}()
		c, err := network.Dial(context.Background(), "s")
		if err != nil {
			t.Fatal(err)
		}
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(c, strings.Repeat(request, 2))
			written <- err
		}()
		if data, err := io.ReadAll(c); string(data) != answer || err != nil {
			t.Errorf("client read %q, error %v", data, err)
		}
		if err := <-written; err != nil {
			t.Errorf("client failed to write: %v", err)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if data := <-read; data != strings.Repeat(request, 2) {
			t.Errorf("server read %q", data)
		}
	})
}
