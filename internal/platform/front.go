// Package platform speaks the platform's protocol: to clients, to data nodes and to discovery.
package platform

import (
	"encoding/json"
	"fmt"
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

// Front takes clients' queries.
type Front struct {
	Coordinator *core.Coordinator
	Clock       core.Clock
}

type queryBody struct {
	Slices []struct {
		Slice *int     `json:"slice"`
		Mass  *float64 `json:"mass"`
	} `json:"slices"`
	Filter *string `json:"filter"`
}

type answerBody struct {
	Entire bool   `json:"entire"`
	Items  []item `json:"items"`
}

type item struct {
	Slice int    `json:"slice"`
	Body  string `json:"body"`
}

// Handle answers one request.
func (f *Front) Handle(req *http1.Message, gone <-chan struct{}) *http1.Message {
	path, _, _ := strings.Cut(req.Target, "?")
	switch path {
	case "/api":
		if req.Method != "POST" {
			return notAllowed("POST")
		}
		return f.query(req, gone)
	case "/health/ready", "/health/live":
		if req.Method != "GET" {
			return notAllowed("GET")
		}
		if p := f.Coordinator.Phase(); path == "/health/ready" && p != core.Ready {
			return text(503, p.String())
		}
		return text(200, "ok")
	}
	return text(404, "no such path")
}

func (f *Front) query(req *http1.Message, gone <-chan struct{}) *http1.Message {
	q, err := f.head(req)
	if err != nil {
		return text(400, err.Error())
	}
	ok, retryIn := f.Coordinator.Admit(overload.Arrival{Class: q.Class, Tenant: q.Tenant, IsRetry: q.IsRetry})
	if q.Admitted = ok; !ok {
		return rejection(retryIn)
	}
	if err := parseBody(q, req.Body); err != nil {
		return text(400, err.Error())
	}
	a := f.Coordinator.Execute(q, gone)
	switch a.Status {
	case core.Rejected:
		return rejection(a.RetryAfter)
	case core.Failed:
		return text(500, "failed")
	case core.Invalid:
		return text(400, a.Reason)
	}
	body := answerBody{Entire: a.Complete, Items: []item{}}
	for i, v := range a.Values {
		if v != nil {
			body.Items = append(body.Items, item{q.Parts[i].Shard, string(v)})
		}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return text(500, "failed")
	}
	return &http1.Message{Status: 200, Header: textproto.MIMEHeader{"Content-Type": {"application/json"}}, Body: data}
}

func rejection(retryIn time.Duration) *http1.Message {
	m := text(429, "refused")
	if retryIn > 0 {
		m.Header.Set("Retry-After", strconv.FormatFloat(retryIn.Seconds(), 'f', -1, 64))
	}
	return m
}

// singleHeaders are those of a query; each stands once at most.
var singleHeaders = []string{"X-Call-Id", "X-Call-Class", "X-Caller", "X-Budget", "X-Again"}

// head reads what this protocol alone words, and parseBody the rest; what any query has to be is for the core to check.
func (f *Front) head(req *http1.Message) (*core.Query, error) {
	for _, h := range singleHeaders {
		if len(req.Header[h]) > 1 {
			return nil, fmt.Errorf("%s more than once", h)
		}
	}
	q := &core.Query{ID: req.Header.Get("X-Call-Id"), Class: req.Header.Get("X-Call-Class"),
		Tenant: req.Header.Get("X-Caller"), IsRetry: req.Header.Get("X-Again") == "1", IdempotencyKeys: req.Header[retry.IdempotencyKeyHeader], ClientLeft: req.ClientLeft}
	budget, err := parseBudget(req.Header.Get("X-Budget"))
	if err != nil {
		return nil, err
	}
	q.Deadline = f.Clock() - req.Waited() + budget
	return q, nil
}

func parseBody(q *core.Query, data []byte) error {
	var body queryBody
	if !utf8.Valid(data) { // decoding would change the text that the parts carry
		return fmt.Errorf("bad body: not UTF-8")
	}
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("bad body: %w", err)
	}
	if body.Filter == nil {
		return fmt.Errorf("no filter")
	}
	q.Body = []byte(*body.Filter)
	for _, s := range body.Slices {
		if s.Slice == nil || s.Mass == nil {
			return fmt.Errorf("a slice without its number or mass")
		}
		q.Parts = append(q.Parts, core.Part{Shard: *s.Slice, Weight: *s.Mass})
	}
	return nil
}

const maxBudget = time.Hour

// parseBudget reads a number followed by m for milliseconds or u for microseconds.
func parseBudget(s string) (time.Duration, error) {
	units := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}
	if s == "" || units[s[len(s)-1]] == 0 || strings.Trim(s[:len(s)-1], "0123456789.") != "" {
		return 0, fmt.Errorf("bad X-Budget %.40q", s)
	}
	unit := float64(units[s[len(s)-1]])
	n, err := strconv.ParseFloat(s[:len(s)-1], 64)
	if err != nil || n*unit > float64(maxBudget) {
		return 0, fmt.Errorf("bad X-Budget %.40q", s)
	}
	return time.Duration(n * unit), nil
}

func text(status int, words string) *http1.Message {
	return &http1.Message{Status: status, Header: textproto.MIMEHeader{"Content-Type": {"text/plain"}}, Body: []byte(words + "\n")}
}

func notAllowed(allow string) *http1.Message {
	m := text(405, "method not allowed")
	m.Header.Set("Allow", allow)
	return m
}
