package faultinjection

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

// shareSlack allows for rounding in a query's weights.
const shareSlack = 1e-3

// request words the question, as clients do: equal weights, rounded, and the key where its class has one.
func (q question) request(id, tenant string) string { return q.requestWithin(budget, id, tenant) }

// requestWithin words it for a client that waits so long.
func (q question) requestWithin(budget time.Duration, id, tenant string) string {
	var parts []string
	for _, s := range q.sections {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, s, 1/float64(len(q.sections))))
	}
	body, header := fmt.Sprintf(`{"slices":[%s],"filter":"f"}`, strings.Join(parts, ",")), ""
	if key := q.class.key(id); key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		id, q.class.name, tenant, budget.Milliseconds(), header, len(body), body)
}

// httpClient is a client of the platform's protocol with the connection that it keeps.
type httpClient struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

// take makes a connection the one that is kept.
func (client *httpClient) take(conn net.Conn) {
	client.conn, client.in = conn, bufio.NewReader(conn)
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
		conn, err := net.DialTimeout("tcp", client.address, giveUp)
		if err != nil {
			return a, OutcomeRefused, err
		}
		client.take(conn)
	}
	client.conn.SetDeadline(time.Now().Add(giveUp))
	if _, err := io.WriteString(client.conn, text); err != nil {
		return a, "", err
	}
	return client.answer()
}

// answer reads the answer to what was sent.
func (client *httpClient) answer() (a answer, status string, err error) {
	client.conn.SetDeadline(time.Now().Add(giveUp))
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

// holds tells whether the values are those that nodes serve for these sections, each at most once, as many of them as make
// an answer, and as many as make it whole where it says so.
func (a answer) holds(q question) bool {
	seen := map[int]bool{}
	for _, v := range a.Items {
		if seen[v.Slice] || !slices.Contains(q.sections, v.Slice) || v.Body != fmt.Sprint("v", v.Slice) {
			return false
		}
		seen[v.Slice] = true
	}
	share := float64(len(seen))/float64(len(q.sections)) + shareSlack
	return share >= min(q.class.floor, q.class.need) && (!a.Entire || share >= q.class.need)
}
