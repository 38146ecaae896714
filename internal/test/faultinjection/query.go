package faultinjection

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// clientTimeout is how long clients wait for an answer, as their requests state it.
	clientTimeout = 2900 * time.Millisecond
	// fractionSlack allows for rounding in a query's weights.
	fractionSlack = 1e-3
	// lookupShards is how many shards an idempotent query asks whose class allows no partial answer.
	lookupShards = 4
)

// query is what a client asks.
type query struct {
	class  class
	shards []int
}

// query is the i-th query of a client, given the number of shards. Classes come in turn. A class that allows partial
// answers asks all shards, another idempotent one asks a few in a row, and all others ask one.
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

// queryOfAllShards asks all shards, in a class that allows partial answers if there is one.
func (s *site) queryOfAllShards(shards int) query {
	q := query{class: s.classes[0], shards: allShards(shards)}
	for _, c := range s.classes {
		if c.allowsPartial() {
			q.class = c
		}
	}
	return q
}

// allShards lists n shards.
func allShards(n int) (list []int) {
	for i := range n {
		list = append(list, i)
	}
	return list
}

// request is the query's HTTP request, of a client that waits for clientTimeout.
func (q query) request(id, tenant string) string { return q.requestWithin(clientTimeout, id, tenant) }

// requestWithin is the query's HTTP request, of a client that waits so long: equal weights, rounded as clients do, and
// an idempotency key where the class has them.
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

// answer is what a query was answered with.
type answer struct {
	Complete bool         `json:"entire"`
	Parts    []answerPart `json:"items"`

	duplicated bool // more bytes came than one answer has
}

// answerPart is what one shard contributed to an answer.
type answerPart struct {
	Shard int    `json:"slice"`
	Body  string `json:"body"`
}

// isCorrectFor reports whether the answer has, for some of the query's shards, what the fake replicas serve: each
// shard at most once, no fewer shards than any answer needs, and as many as a complete one needs where it says that
// it is complete.
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
