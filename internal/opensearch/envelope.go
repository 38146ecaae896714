package opensearch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/textproto"
	"slices"
	"strconv"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// apiError is a failure in the API's own terms.
type apiError struct {
	status       int
	kind, reason string
}

func bad(kind, format string, args ...any) *apiError {
	return &apiError{400, kind, fmt.Sprintf(format, args...)}
}

type cause struct {
	Type   string `json:"type"`
	Reason string `json:"reason"`
}

// errorEnvelope is how the API tells any failure.
type errorEnvelope struct {
	Error struct {
		RootCause []cause `json:"root_cause"`
		cause
	} `json:"error"`
	Status int `json:"status"`
}

func (e *apiError) message() *http1.Message {
	var env errorEnvelope
	env.Error.cause = cause{e.kind, e.reason}
	env.Error.RootCause = []cause{env.Error.cause}
	env.Status = e.status
	return reply(e.status, env)
}

func reply(status int, body any) *http1.Message {
	data, err := json.Marshal(body)
	if err != nil { // only hits that are no JSON, which decoding has ruled out
		status, data = 500, []byte(`{"error":"answer cannot be encoded","status":500}`)
	}
	return &http1.Message{Status: status, Body: data,
		Header: textproto.MIMEHeader{"Content-Type": {"application/json; charset=UTF-8"}}}
}

// ErrorResponse words what is wrong with a request that is not even HTTP, or is too large.
func ErrorResponse(e *http1.Error) *http1.Message {
	kind := "illegal_argument_exception"
	if e.Status == 413 {
		kind = "content_too_long_exception"
	}
	return (&apiError{e.Status, kind, e.Text}).message()
}

// refusal says that trying again is harmless, and when. The header takes whole seconds only.
func refusal(retryIn time.Duration) *http1.Message {
	m := (&apiError{429, "rejected_execution_exception", "rejected by the coordinator: not run, try again later"}).message()
	m.Header.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(retryIn.Seconds())))))
	return m
}

// failed is the answer where nothing is promised. It is a 500 since clients of the API take 502, 503 and
// 504 for an invitation to send the request again.
func failed(reason string) *http1.Message {
	return (&apiError{500, "search_phase_execution_exception", reason}).message()
}

type shards struct {
	Total      int       `json:"total"`
	Successful int       `json:"successful"`
	Skipped    int       `json:"skipped"`
	Failed     int       `json:"failed"`
	Failures   []failure `json:"failures,omitempty"`
}

type failure struct {
	Shard  int    `json:"shard"`
	Index  string `json:"index"`
	Reason cause  `json:"reason"`
}

type total struct {
	Value    int64  `json:"value"`
	Relation string `json:"relation"`
}

// hits is the part of a search answer that also is the value of a section at a node that offers the API.
type hits struct {
	Total    *total            `json:"total,omitempty"`
	MaxScore *float64          `json:"max_score"`
	Hits     []json.RawMessage `json:"hits"`
}

type searchAnswer struct {
	Took     int64  `json:"took"`
	TimedOut bool   `json:"timed_out"`
	Shards   shards `json:"_shards"`
	Hits     hits   `json:"hits"`
}

// searchReply merges the sections' values. The answer is marked whole, by timed_out false and no failed
// shards, only if the core says that it is.
func searchReply(s *search, q *core.Query, a core.Answer, took time.Duration) *http1.Message {
	ans := searchAnswer{Took: took.Milliseconds(), TimedOut: !a.Complete, Shards: shards{Total: len(q.Parts)}}
	for _, v := range a.Values {
		if m := faultOf(v); m != nil {
			return m
		}
	}
	var merged []ranked
	ans.Hits.Total = &total{Relation: "eq"}
	for i, p := range q.Parts {
		switch {
		case a.Values[i] != nil:
			ans.Shards.Successful++
			if a.Pruned[i] { // as in the API, what is skipped is successful too
				ans.Shards.Skipped++
			}
			merged = append(merged, ans.Hits.add(s, p.Shard, q.ID, a.Values[i])...)
		case a.Complete: // the class calls an answer whole without it
			ans.Shards.Skipped++
		default:
			ans.Shards.Failed++
			ans.Shards.Failures = append(ans.Shards.Failures, failure{p.Shard, s.index.name,
				cause{"no_shard_available_action_exception", "the section gave no answer in time"}})
		}
	}
	slices.SortStableFunc(merged, func(x, y ranked) int { return y.compare(x) })
	ans.Hits.Hits = []json.RawMessage{}
	for _, h := range merged[min(s.from, len(merged)):min(s.from+s.size, len(merged))] {
		ans.Hits.Hits = append(ans.Hits.Hits, h.raw)
	}
	if len(merged) > 0 && s.size > 0 {
		ans.Hits.MaxScore = merged[0].score
	}
	return reply(200, ans)
}

// faultOf is what a node that offers the API found wrong with the request, if that is what it said.
func faultOf(value []byte) *http1.Message {
	var node struct {
		Error  json.RawMessage `json:"error"`
		Status int             `json:"status"`
	}
	if bytes.HasPrefix(value, []byte(`{"error"`)) && json.Unmarshal(value, &node) == nil && (node.Status == 400 || node.Status == 409) {
		return reply(node.Status, json.RawMessage(value))
	}
	return nil
}

// ranked is a hit with its score, if it has one.
type ranked struct {
	raw   json.RawMessage
	score *float64
}

func (h ranked) compare(o ranked) int {
	switch {
	case h.score == nil && o.score == nil:
		return 0
	case h.score == nil:
		return -1
	case o.score == nil:
		return 1
	case *h.score < *o.score:
		return -1
	case *h.score > *o.score:
		return 1
	}
	return 0
}

// add counts a section's hits and returns them. A value that is not hits, as data nodes of the platform
// give it, becomes one hit that holds it.
func (h *hits) add(s *search, section int, id string, value []byte) (list []ranked) {
	var v hits
	if !bytes.HasPrefix(value, []byte("{")) || json.Unmarshal(value, &v) != nil || v.Hits == nil {
		one := 1.0
		raw, _ := json.Marshal(map[string]any{"_index": s.index.name, "_id": id + "." + strconv.Itoa(section), "_score": one,
			"_source": map[string]any{s.field: section, "body": string(value)}}) // strings and numbers: cannot fail
		h.Total.Value++
		return []ranked{{raw, &one}}
	}
	if v.Total != nil {
		h.Total.Value += v.Total.Value
		if v.Total.Relation == "gte" {
			h.Total.Relation = "gte"
		}
	}
	for _, raw := range v.Hits {
		var scored struct {
			Score *float64 `json:"_score"`
		}
		if json.Unmarshal(raw, &scored) == nil {
			list = append(list, ranked{raw, scored.Score})
		}
	}
	return list
}

// indexAnswer tells that a document is stored. A node that offers the API says so itself.
type indexAnswer struct {
	Index       string `json:"_index"`
	ID          string `json:"_id"`
	Version     int64  `json:"_version"`
	Result      string `json:"result"`
	Shards      shards `json:"_shards"`
	SeqNo       int64  `json:"_seq_no"`
	PrimaryTerm int64  `json:"_primary_term"`
}

func indexReply(r *report, value []byte) *http1.Message {
	if m := faultOf(value); m != nil {
		return m
	}
	var node struct {
		Result string `json:"result"`
	}
	if bytes.HasPrefix(value, []byte("{")) && json.Unmarshal(value, &node) == nil && node.Result != "" {
		return reply(map[bool]int{true: 201, false: 200}[node.Result == "created"], json.RawMessage(value))
	}
	return reply(201, indexAnswer{Index: r.index.name, ID: r.id, Version: 1, Result: "created",
		Shards: shards{Total: 1, Successful: 1}, PrimaryTerm: 1})
}
