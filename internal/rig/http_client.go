package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// request words one, as clients do: equal weights, rounded.
func request(id, class string, sections []int) string {
	var parts []string
	for _, s := range sections {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, s, 1/float64(len(sections))))
	}
	body := fmt.Sprintf(`{"slices":[%s],"filter":"f"}`, strings.Join(parts, ","))
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: kitakaze\r\nX-Budget: %dm\r\nContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), len(body), body)
}

// httpClient is a client of the platform's protocol with the connection that it keeps.
type httpClient struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (client *httpClient) disconnect() {
	if client.conn != nil {
		client.conn.Close()
		client.conn = nil
	}
}

// roundTrip sends a request and reads its answer, on a new connection if there is none. The status is OutcomeRefused where that
// does not come up, and empty where nothing that is an answer came.
func (client *httpClient) roundTrip(text string) (a answer, status string, err error) {
	if client.conn == nil {
		if client.conn, err = net.DialTimeout("tcp", client.address, giveUp); err != nil {
			client.conn = nil
			return a, OutcomeRefused, err
		}
		client.in = bufio.NewReader(client.conn)
	}
	client.conn.SetDeadline(time.Now().Add(giveUp))
	if _, err := io.WriteString(client.conn, text); err != nil {
		return a, "", err
	}
	res, err := http.ReadResponse(client.in, nil)
	if err != nil {
		return a, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	a.twice = client.in.Buffered() > 0
	if res.Close {
		client.disconnect()
	}
	return a, fmt.Sprint(res.StatusCode), err
}

// answer is what a request was served with.
type answer struct {
	Entire bool
	Items  []struct {
		Slice int
		Body  string
	}
	twice bool
}

// holds tells whether the values are those that nodes serve for these sections, each at most once, and all of them where the
// answer says so.
func (a answer) holds(sections []int) bool {
	seen := map[int]bool{}
	for _, v := range a.Items {
		if seen[v.Slice] || !slices.Contains(sections, v.Slice) || v.Body != fmt.Sprint("v", v.Slice) {
			return false
		}
		seen[v.Slice] = true
	}
	return !a.Entire || len(seen) == len(sections)
}
