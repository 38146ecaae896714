package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// rawClient is a client with its own connection, whose writes and reads the test controls.
type rawClient struct {
	net.Conn
	in *bufio.Reader
}

// dialRaw opens a connection and closes it when the test ends.
func dialRaw(t *testing.T, address string) *rawClient {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &rawClient{c, bufio.NewReader(c)}
}

// send writes a complete query for the shards.
func (c *rawClient) send(t *testing.T, id, class string, budget time.Duration, shards ...int) {
	body := queryBody(shards...)
	_, err := fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\n"+
		"X-Caller: kitakaze\r\nX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), len(body), body)
	if err != nil {
		t.Errorf("write query %s: %v", id, err)
	}
}

// readAnswer reads a complete answer, which has to arrive within the given time.
func (c *rawClient) readAnswer(within time.Duration) (status int, err error) {
	c.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}
