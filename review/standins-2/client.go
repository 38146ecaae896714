package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one query of a client on the platform's protocol.
type request struct {
	id     string
	class  string
	budget time.Duration
	shards []int
	key    string
}

// text returns the request as it is sent.
func (q request) text() string {
	var slices []any
	for _, s := range q.shards {
		slices = append(slices, map[string]any{"slice": s, "mass": 1 / float64(len(q.shards))})
	}
	body, _ := json.Marshal(map[string]any{"slices": slices, "filter": "c41e77d0"})
	key := ""
	if q.key != "" {
		key = "Idempotency-Key: " + q.key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: kitakaze\r\n"+
		"X-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s", q.id, q.class, q.budget.Milliseconds(), key, len(body), body)
}

// reply is an answer, or the error that took its place.
type reply struct {
	status int
	body   string
	err    error
	at     time.Time
	close  bool
}

func (r reply) String() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
}

// client is a connection of a client.
type client struct {
	net.Conn
	in   *bufio.Reader
	sent int // requests sent so far
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, in: bufio.NewReader(c)}, nil
}

// receive reads the next answer until an instant.
func (c *client) receive(until time.Time) (r reply) {
	c.SetReadDeadline(until)
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return reply{status: answer.StatusCode, body: string(body), err: err, at: time.Now(), close: answer.Close}
}

// ask sends a request on a connection of its own and returns the answer.
func ask(rec *record, address string, q request) reply {
	c, err := dialClient(address)
	if err != nil {
		return reply{err: err, at: time.Now()}
	}
	defer c.Close()
	rec.add("client: %s sent (%s, shards %v)", q.id, q.class, q.shards)
	if _, err := io.WriteString(c, q.text()); err != nil {
		return reply{err: err, at: time.Now()}
	}
	r := c.receive(time.Now().Add(q.budget + time.Second))
	rec.add("client: %s: %v", q.id, r)
	return r
}
