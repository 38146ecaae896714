package fake

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A server ends its direction while its client still writes. It gets the rest of what the client sends, and the client
// gets what was sent before the end.
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
			time.Sleep(time.Second) // the client waits in its write
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
			t.Errorf("the client read %q, %v", data, err)
		}
		if err := <-written; err != nil {
			t.Errorf("the client's write: %v", err)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if data := <-read; data != strings.Repeat(request, 2) {
			t.Errorf("the server read %q", data)
		}
	})
}
