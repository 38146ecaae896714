package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
)

// Front serves clients' queries in the platform's protocol. Its fields must be set before the first request. Handle may
// be called from any goroutine.
type Front struct {
	Coordinator *core.Coordinator
	Clock       core.Clock // the coordinator's clock
}

// queryBody is the JSON body of a query. The filter becomes Query.Body, which each replica receives; it is not the HTTP
// body. The slices are decoded one by one, because a body can hold very many more than a query can have.
type queryBody struct {
	Slices json.RawMessage `json:"slices"`
	Filter *string         `json:"filter"`
}

// querySlice is a slice of a queryBody. It becomes a core.Part: its number is the part's Shard, its mass the part's
// Weight.
type querySlice struct {
	Slice *int     `json:"slice"`
	Mass  *float64 `json:"mass"`
}

// answerBody is the JSON body of an answer.
type answerBody struct {
	Entire bool   `json:"entire"`
	Items  []item `json:"items"`
}

type item struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// invalidRequest is the error for an invalid request. The client receives its text.
type invalidRequest struct{ text string }

func (e *invalidRequest) Error() string { return e.text }

func invalidf(format string, args ...any) error {
	return &invalidRequest{fmt.Sprintf(format, args...)}
}

// Handle answers one request. clientLeft is closed when the client closes its connection.
func (f *Front) Handle(req *http1.Message, clientLeft <-chan struct{}) *http1.Message {
	path, _, _ := strings.Cut(req.Target, "?")
	switch path {
	case "/api":
		if req.Method != http.MethodPost {
			return methodNotAllowed(http.MethodPost)
		}
		return f.query(req, clientLeft)
	case "/health/ready", "/health/live":
		if req.Method != http.MethodGet {
			return methodNotAllowed(http.MethodGet)
		}
		if p := f.Coordinator.Phase(); path == "/health/ready" && p != core.Ready {
			return textReply(http.StatusServiceUnavailable, p.String())
		}
		return textReply(http.StatusOK, "ok")
	}
	return textReply(http.StatusNotFound, "no such path")
}

// query answers a query. The coordinator decides on admission by the class, the tenant and the retry mark in the head,
// before the body is parsed.
func (f *Front) query(req *http1.Message, clientLeft <-chan struct{}) *http1.Message {
	q, err := f.parseHead(req)
	if err != nil {
		return textReply(http.StatusBadRequest, err.Error())
	}
	admitted, retryAfter := f.Coordinator.Admit(overload.Arrival{Class: q.Class, Tenant: q.Tenant, IsRepeat: q.IsRetry})
	if !admitted {
		return rejection(retryAfter)
	}
	q.Admitted = true
	if err := parseBody(q, req.Body, f.Coordinator.Shards()); err != nil { // the admission is not undone
		return textReply(http.StatusBadRequest, err.Error())
	}
	req.Body = nil // the query has what is needed of it, and may wait for long
	a := f.Coordinator.Execute(q, clientLeft)
	switch a.Status {
	case core.Rejected:
		return rejection(a.RetryAfter)
	case core.Failed:
		return textReply(http.StatusInternalServerError, "failed")
	case core.Invalid:
		return textReply(http.StatusBadRequest, a.Reason)
	}
	return answerReply(q, a)
}

// answerReply returns the final answer to a query that was served completely or in part.
func answerReply(q *core.Query, a core.Answer) *http1.Message {
	body := answerBody{Entire: a.Complete, Items: []item{}}
	for i, v := range a.Values {
		if v != nil {
			body.Items = append(body.Items, item{q.Parts[i].Shard, string(v)})
		}
	}
	data, err := json.Marshal(body)
	if err != nil { // not reached: numbers, strings and a bool can be encoded
		return textReply(http.StatusInternalServerError, "failed")
	}
	header := textproto.MIMEHeader{"Content-Type": {"application/json"}}
	return &http1.Message{Status: http.StatusOK, Header: header, Body: data}
}

// rejection returns the answer to a rejected query. It has no Retry-After header if retryAfter is 0. This protocol's
// Retry-After is in seconds, and may have a fraction.
func rejection(retryAfter time.Duration) *http1.Message {
	m := textReply(http.StatusTooManyRequests, "refused")
	if retryAfter > 0 {
		m.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
	}
	return m
}

// singleHeaders are the headers that a query may have at most once.
var singleHeaders = []string{"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget", "X-Again"}

// RequestLimits are the limits of requests to a Front.
var RequestLimits = http1.Limits{Head: http1.DefaultLimits.Head, Body: http1.DefaultLimits.Body,
	Fields: append([]string{retry.IdempotencyKeyHeader}, singleHeaders...)}

// parseHead reads the headers of this protocol. The value 1 of X-Again marks a query that the client has sent before;
// any other value marks none. The core checks the rules that apply to the queries of every protocol.
func (f *Front) parseHead(req *http1.Message) (*core.Query, error) {
	for _, h := range singleHeaders {
		if len(req.Header[h]) > 1 {
			return nil, invalidf("%s more than once", h)
		}
	}
	budget, err := parseBudget(req.Header.Get("X-Budget"))
	if err != nil {
		return nil, err
	}
	return &core.Query{
		ID:              req.Header.Get("X-Call-Id"),
		Class:           req.Header.Get("X-Call-Class"),
		Tenant:          req.Header.Get("X-Caller"),
		IsRetry:         req.Header.Get("X-Again") == "1",
		IdempotencyKeys: req.Header[retry.IdempotencyKeyHeader],
		ClientLeft:      req.ClientLeft,
		Deadline:        f.Clock() - req.QueuedFor() + budget,
	}, nil
}

// parseBody reads a query's body and parts; shards is as in parseSlices. It rejects a body that is not UTF-8, because
// decoding would change the filter.
func parseBody(q *core.Query, data []byte, shards int) error {
	var body queryBody
	if !utf8.Valid(data) {
		return invalidf("bad body: not UTF-8")
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return invalidf("bad body: %v", err)
	}
	if body.Filter == nil {
		return invalidf("no filter")
	}
	q.Body = []byte(*body.Filter)
	parts, err := parseSlices(body.Slices, shards)
	q.Parts = parts
	return err
}

// parseSlices reads the slices of a query up to the first that is invalid. There may be one for each shard; shards is 0
// if their number is unknown.
func parseSlices(data json.RawMessage, shards int) (parts []core.Part, err error) {
	if len(data) == 0 || string(data) == "null" {
		return nil, nil
	}
	in := json.NewDecoder(bytes.NewReader(data))
	if start, err := in.Token(); err != nil || start != json.Delim('[') {
		return nil, invalidf("bad body: the slices are no list")
	}
	for in.More() {
		if shards > 0 && len(parts) == shards {
			return nil, invalidf("more slices than shards")
		}
		var s querySlice
		if err := in.Decode(&s); err != nil {
			return nil, invalidf("bad body: %v", err)
		}
		if s.Slice == nil || s.Mass == nil {
			return nil, invalidf("a slice without its number or mass")
		}
		parts = append(parts, core.Part{Shard: *s.Slice, Weight: *s.Mass})
	}
	return parts, nil
}

// maxBudget is the longest time that a client may allow for a query. The bound keeps the budget in the range of a
// Duration; the core also applies the deadline of the query's class.
const maxBudget = time.Hour

// budgetUnits maps the letter at the end of a budget to its unit: m for milliseconds, u for microseconds.
var budgetUnits = map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}

// parseBudget parses X-Budget, the time that a client allows for a query from when the server has read the request: a
// number without sign or exponent, followed by the letter of its unit. It rejects an empty or missing X-Budget.
func parseBudget(s string) (time.Duration, error) {
	// Trim removes all characters of a number; what remains is not allowed.
	if s == "" || budgetUnits[s[len(s)-1]] == 0 || strings.Trim(s[:len(s)-1], "0123456789.") != "" {
		return 0, invalidf("bad X-Budget %.40q", s)
	}
	unit := float64(budgetUnits[s[len(s)-1]])
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || n*unit > float64(maxBudget) {
		return 0, invalidf("bad X-Budget %.40q", s)
	}
	return time.Duration(n * unit), nil
}

// textReply returns an answer whose body is one line of text.
func textReply(status int, line string) *http1.Message {
	header := textproto.MIMEHeader{"Content-Type": {"text/plain"}}
	return &http1.Message{Status: status, Header: header, Body: []byte(line + "\n")}
}

func methodNotAllowed(allow string) *http1.Message {
	m := textReply(http.StatusMethodNotAllowed, "method not allowed")
	m.Header.Set("Allow", allow)
	return m
}
