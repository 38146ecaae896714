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
const fractionSlack = 1e-3

// request words the question, as clients do: equal weights, rounded, and the key where its class has one.
func (q query) request(id, tenant string) string { return q.requestWithin(clientTimeout, id, tenant) }

// requestWithin words it for a client that waits so long.
func (q query) requestWithin(budget time.Duration, id, tenant string) string {
	var parts []string
	for _, s := range q.shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, s, 1/float64(len(q.shards))))
	}
	body, header := fmt.Sprintf(`{"slices":[%s],"filter":"f"}`, strings.Join(parts, ",")), ""
	if key := q.class.idempotencyKey(id); key != "" {
		header = "Idempotency-Key: " + key + "\r\n"
	}
	return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		id, q.class.name, tenant, budget.Milliseconds(), header, len(body), body)
}

// httpClient is a client of the platform's protocol with the connection that it keeps.
type httpClient struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// take makes a connection the one that is kept.
func (client *httpClient) setConnection(conn net.Conn) {
	client.conn, client.reader = conn, bufio.NewReader(conn)
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
		conn, err := net.DialTimeout("tcp", client.address, connectionTimeout)
		if err != nil {
			return a, OutcomeConnectFailed, err
		}
		client.setConnection(conn)
	}
	client.conn.SetDeadline(time.Now().Add(connectionTimeout))
	if _, err := io.WriteString(client.conn, text); err != nil {
		return a, "", err
	}
	return client.readAnswer()
}

// answer reads the answer to what was sent.
func (client *httpClient) readAnswer() (a answer, status string, err error) {
	client.conn.SetDeadline(time.Now().Add(connectionTimeout))
	res, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return a, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	a.duplicated = client.reader.Buffered() > 0
	if res.Close {
		client.disconnect()
	}
	return a, fmt.Sprint(res.StatusCode), err
}

// answer is what a request was served with.
type answer struct {
	Complete bool
	Parts    []struct {
		Slice int
		Body  string
	}
	duplicated bool
}

// holds tells whether the values are those that nodes serve for these sections, each at most once, as many of them as make
// an answer, and as many as make it whole where it says so.
func (a answer) isCorrectFor(q query) bool {
	seen := map[int]bool{}
	for _, v := range a.Parts {
		if seen[v.Slice] || !slices.Contains(q.shards, v.Slice) || v.Body != fmt.Sprint("v", v.Slice) {
			return false
		}
		seen[v.Slice] = true
	}
	share := float64(len(seen))/float64(len(q.shards)) + fractionSlack
	return share >= min(q.class.minFraction, q.class.completeFraction) && (!a.Complete || share >= q.class.completeFraction)
}
