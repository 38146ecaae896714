package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// clientTimeout is how long clients wait for an answer; their requests state it.
	clientTimeout = 2900 * time.Millisecond
	// fractionSlack is the tolerance for rounding in a query's weights.
	fractionSlack = 1e-3
	// lookupShards is how many shards a query asks if its class is idempotent and allows no partial answer.
	lookupShards = 4
)

// query is a client's query: its class and the shards that it asks.
type query struct {
	class  class
	shards []int
}

// query is the i-th query of a client, given the number of shards. Queries use the classes in turn. A query of a class
// that allows partial answers asks all shards, a query of another idempotent class asks up to lookupShards consecutive
// shards, and any other query asks one.
func (s *site) query(client, i, shards int) query {
	c := s.classes[i%len(s.classes)]
	first := (client*7 + i*5) % shards
	q := query{class: c}
	switch {
	case c.allowsPartial():
		q.shards = allShards(shards)
	case c.idempotency == idempotent:
		for j := range min(lookupShards, shards) {
			q.shards = append(q.shards, (first+j)%shards)
		}
	default:
		q.shards = []int{first}
	}
	return q
}

// queryOfAllShards returns a query that asks all shards, of a class that allows partial answers if there is one.
func (s *site) queryOfAllShards(shards int) query {
	q := query{class: s.classes[0], shards: allShards(shards)}
	for _, c := range s.classes {
		if c.allowsPartial() {
			q.class = c
		}
	}
	return q
}

// allShards lists the shards from 0 to n-1.
func allShards(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// request is the query's HTTP request from a client that waits for clientTimeout.
func (q query) request(id, tenant string) string { return q.requestWithin(clientTimeout, id, tenant) }

// requestWithin is the query's HTTP request from a client that waits for timeout. Its shards have equal weights,
// rounded as clients round them, and it has an idempotency key if its class is keyed.
func (q query) requestWithin(timeout time.Duration, id, tenant string) string {
	var parts []string
	for _, shard := range q.shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%.6f}`, shard, 1/float64(len(q.shards))))
	}
	body, keyHeader := fmt.Sprintf(`{"slices":[%s],"filter":"f"}`, strings.Join(parts, ",")), ""
	if key := q.class.idempotencyKey(id); key != "" {
		keyHeader = "Idempotency-Key: " + key + "\r\n"
	}
	const head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Caller: %s\r\n" +
		"X-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n"
	return fmt.Sprintf(head, id, q.class.name, tenant, timeout.Milliseconds(), keyHeader, len(body)) + body
}

// answer is the answer to a query.
type answer struct {
	Complete bool         `json:"entire"`
	Parts    []answerPart `json:"items"`

	duplicated bool // bytes followed the answer on the connection
}

// answerPart is what one shard contributed to an answer.
type answerPart struct {
	Shard int    `json:"slice"`
	Body  string `json:"body"`
}

// isCorrectFor reports whether the answer's parts are correct: each is what the fake replicas serve for one of the
// query's shards, and no shard appears twice. An answer also needs the minimum fraction of the shards (or the complete
// fraction, if that is less), and the complete fraction if it claims to be complete.
func (a answer) isCorrectFor(q query) bool {
	seen := map[int]bool{}
	for _, part := range a.Parts {
		if seen[part.Shard] || !slices.Contains(q.shards, part.Shard) || part.Body != fmt.Sprint("v", part.Shard) {
			return false
		}
		seen[part.Shard] = true
	}
	fraction := float64(len(seen))/float64(len(q.shards)) + fractionSlack
	return fraction >= min(q.class.minFraction, q.class.completeFraction) &&
		(!a.Complete || fraction >= q.class.completeFraction)
}
