package loadgen

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// statusNoAnswer takes the place of the HTTP status for an attempt without a complete answer.
	statusNoAnswer = 0

	// responseGrace is how long a client still waits for an answer after its timeout, so that late answers can be
	// distinguished from missing ones.
	responseGrace = time.Second
)

// send sends one attempt. It returns the HTTP status, or statusNoAnswer, and the answer's Retry-After.
func (r *run) send(ctx context.Context, c Class, t Tenant, shard int) (status int, retryAfter time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+responseGrace)
	defer cancel()
	path, body := c.request(shard)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Target+path, strings.NewReader(body))
	if err != nil {
		return statusNoAnswer, 0
	}
	req.Header.Set("Content-Type", "application/json")
	if t.Caller != "" {
		req.SetBasicAuth(t.Caller, "")
	}
	res, err := r.client.Do(req)
	if err != nil {
		return statusNoAnswer, 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return statusNoAnswer, 0
	}
	seconds, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	return res.StatusCode, time.Duration(seconds * float64(time.Second))
}

// request returns the path and body of a search that begins at a shard, or of a request that indexes a document in that
// shard.
func (c Class) request(shard int) (path, body string) {
	timeout := c.Timeout.Milliseconds()
	if c.SendsDocument {
		return fmt.Sprintf("/%s/_doc?timeout=%dms", c.Index, timeout),
			fmt.Sprintf(`{"section":%d,"pin":"cornice"}`, shard)
	}
	body = `{"query":{"match_all":{}}}`
	if c.ShardsPerQuery > 0 {
		first := min(shard, c.Shards-c.ShardsPerQuery)
		body = fmt.Sprintf(`{"query":{"range":{"section":{"gte":%d,"lt":%d}}}}`, first, first+c.ShardsPerQuery)
	}
	return fmt.Sprintf("/%s/_search?timeout=%dms", c.Index, timeout), body
}
