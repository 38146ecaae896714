package opensearch

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
)

// Front takes the API's requests.
type Front struct {
	Config      *Config
	Coordinator *core.Coordinator
	Clock       core.Clock
	Version     string
}

// report is a hazard report as understood.
type report struct {
	index   *Index
	section int
	id      string
	create  bool // not over a document of the same id
	doc     []byte
	timeout time.Duration
}

// Handle answers one request.
func (f *Front) Handle(req *http1.Message, gone <-chan struct{}) *http1.Message {
	path, query, _ := strings.Cut(req.Target, "?")
	params, err := url.ParseQuery(query)
	if err != nil {
		return bad("illegal_argument_exception", "malformed parameters").message()
	}
	words := strings.Split(strings.Trim(path, "/"), "/")
	for i := range words {
		if words[i], err = url.PathUnescape(words[i]); err != nil {
			return bad("illegal_argument_exception", "malformed path").message()
		}
	}
	m, fault := f.route(req, words, params, gone)
	if fault != nil {
		m = fault.message()
	}
	if params.Has("pretty") && params.Get("pretty") != "false" {
		var out bytes.Buffer
		if json.Indent(&out, m.Body, "", "  ") == nil {
			m.Body = append(out.Bytes(), '\n')
		}
	}
	return m
}

func (f *Front) route(req *http1.Message, words []string, params url.Values, gone <-chan struct{}) (*http1.Message, *apiError) {
	switch last := len(words) - 1; {
	case len(words) == 1 && words[0] == "":
		return f.about(req)
	case len(words) == 2 && words[0] == "_cluster" && words[1] == "health":
		return f.health(req)
	case len(words) <= 2 && words[last] == "_search":
		name := f.Config.All
		if last > 0 {
			name = words[0]
		}
		return f.search(req, name, params, gone)
	case (len(words) == 2 || len(words) == 3) && words[1] == "_doc", len(words) == 3 && words[1] == "_create":
		return f.report(req, words, params, gone)
	}
	return nil, bad("illegal_argument_exception", "no handler found for uri [%s] and method [%s]", req.Target, req.Method)
}

// about names the program at the root, as clients ask at their start.
func (f *Front) about(req *http1.Message) (*http1.Message, *apiError) {
	if m := allow(req, "GET", "HEAD"); m != nil {
		return m, nil
	}
	return reply(200, map[string]any{"name": "harepass", "cluster_name": "harepass",
		"version": map[string]string{"distribution": "opensearch", "number": "2.0.0", "build_type": "harepass " + f.Version},
		"tagline": "piste map queries by an OpenSearch-style API"}), nil
}

func (f *Front) health(req *http1.Message) (*http1.Message, *apiError) {
	if m := allow(req, "GET", "HEAD"); m != nil {
		return m, nil
	}
	phase := f.Coordinator.Phase()
	if phase == core.Ready {
		return reply(200, map[string]any{"cluster_name": "harepass", "status": "green", "timed_out": false}), nil
	}
	return reply(503, map[string]any{"cluster_name": "harepass", "status": "red", "timed_out": false, "phase": phase.String()}), nil
}

// allow answers a wrong method, and is nil for a right one.
func allow(req *http1.Message, methods ...string) *http1.Message {
	if slices.Contains(methods, req.Method) {
		return nil
	}
	m := reply(405, map[string]any{"status": 405, "error": fmt.Sprintf("Incorrect HTTP method for uri [%s] and method [%s], allowed: [%s]",
		req.Target, req.Method, strings.Join(methods, ", "))})
	m.Header.Set("Allow", strings.Join(methods, ", "))
	return m
}

// index finds an index and the tenant of whoever asks.
func (f *Front) index(req *http1.Message, name string) (*Index, string, *apiError) {
	tenant, err := f.tenant(req.Header)
	if err != nil {
		return nil, "", err
	}
	ix := f.Config.Indices[name]
	if ix == nil {
		return nil, "", &apiError{404, "index_not_found_exception", fmt.Sprintf("no such index [%s]", name)}
	}
	return ix, tenant, nil
}

// tenant is that of the caller: the user of basic authentication, else the X-Opaque-Id. This tells callers
// apart; it does not prove who they are.
func (f *Front) tenant(h textproto.MIMEHeader) (string, *apiError) {
	if len(f.Config.Callers) == 0 {
		return "", nil
	}
	caller := h.Get("X-Opaque-Id")
	if auth, ok := strings.CutPrefix(h.Get("Authorization"), "Basic "); ok {
		if plain, err := base64.StdEncoding.DecodeString(auth); err == nil {
			caller, _, _ = strings.Cut(string(plain), ":")
		}
	}
	tenant, known := f.Config.Callers[caller]
	if !known {
		return "", &apiError{403, "security_exception", fmt.Sprintf("no tenant for caller [%s]", caller)}
	}
	return tenant, nil
}

func checkParams(req *http1.Message, params url.Values, known []string) *apiError {
	for name := range params {
		if !slices.Contains(known, name) {
			return bad("illegal_argument_exception", "request [%s] contains unrecognized parameter: [%s]", req.Target, name)
		}
	}
	return nil
}

// query is the core's query for an index, of a client that the gate has let in; timeout 0 leaves the client its class's whole time.
func (f *Front) query(req *http1.Message, ix *Index, tenant string, timeout time.Duration) *core.Query {
	if timeout == 0 || timeout > ix.deadline {
		timeout = ix.deadline
	}
	return &core.Query{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: ix.Class, Tenant: tenant, Deadline: f.Clock() - req.QueuedFor() + timeout,
		IdempotencyKeys: req.Header[retry.IdempotencyKeyHeader], Admitted: true, ClientLeft: req.ClientLeft}
}

func (f *Front) search(req *http1.Message, name string, params url.Values, gone <-chan struct{}) (*http1.Message, *apiError) {
	if m := allow(req, "GET", "POST"); m != nil {
		return m, nil
	}
	ix, tenant, err := f.index(req, name)
	if err != nil {
		return nil, err
	}
	if ix.Reports {
		return nil, bad("illegal_argument_exception", "index [%s] takes reports and is not searched", name)
	}
	if err := checkParams(req, params, searchParams); err != nil {
		return nil, err
	}
	if ok, retryIn := f.Coordinator.Admit(overload.Arrival{Class: ix.Class, Tenant: tenant}); !ok {
		return refusal(retryIn), nil
	}
	s, err := f.Config.parseSearch(ix, params, req.Body)
	if err != nil {
		return nil, err
	}
	began := f.Clock()
	q := f.query(req, ix, tenant, s.timeout)
	q.RequireComplete, q.Body, q.Origin = !s.partial, s.body, s
	if ix.TwoPhase != nil {
		q.Index, q.EmptyValue = ix.name, noHits
	}
	sum := 0.0
	for _, n := range s.sections {
		sum += ix.weight(n)
	}
	for _, n := range s.sections {
		q.Parts = append(q.Parts, core.Part{Shard: n, Weight: ix.weight(n) / sum})
	}
	if len(q.Parts) == 0 { // nothing can match
		return searchReply(s, q, core.Answer{Complete: true}, 0), nil
	}
	switch a := f.Coordinator.Execute(q, gone); a.Status {
	case core.Rejected:
		return refusal(a.RetryAfter), nil
	case core.Invalid:
		return nil, bad("illegal_argument_exception", "%s", a.Reason)
	case core.Failed:
		return failed("too few sections answered in time"), nil
	default:
		return searchReply(s, q, a, f.Clock()-began), nil
	}
}

var reportParams = []string{"timeout", "routing", "refresh", "op_type", "pretty", "wait_for_active_shards"}

func (f *Front) report(req *http1.Message, words []string, params url.Values, gone <-chan struct{}) (*http1.Message, *apiError) {
	methods := []string{"POST", "PUT"}
	if len(words) == 2 {
		methods = methods[:1]
	}
	if m := allow(req, methods...); m != nil {
		return m, nil
	}
	ix, tenant, err := f.index(req, words[0])
	if err != nil {
		return nil, err
	}
	if !ix.Reports {
		return nil, bad("illegal_argument_exception", "index [%s] takes no documents", words[0])
	}
	if err := checkParams(req, params, reportParams); err != nil {
		return nil, err
	}
	if ok, retryIn := f.Coordinator.Admit(overload.Arrival{Class: ix.Class, Tenant: tenant, Parts: 1}); !ok {
		return refusal(retryIn), nil
	}
	r, err := f.parseReport(ix, words, params, req.Body)
	if err != nil {
		return nil, err
	}
	q := f.query(req, ix, tenant, r.timeout)
	if r.id == "" {
		r.id = q.ID
	}
	q.Body, q.Origin, q.Parts = r.doc, r, []core.Part{{Shard: r.section, Weight: 1}}
	switch a := f.Coordinator.Execute(q, gone); a.Status {
	case core.Rejected:
		return refusal(a.RetryAfter), nil
	case core.Invalid:
		return nil, bad("illegal_argument_exception", "%s", a.Reason)
	case core.Failed:
		return failed("the report may or may not be stored"), nil
	default:
		return indexReply(r, a.Values[0]), nil
	}
}

func (f *Front) parseReport(ix *Index, words []string, params url.Values, data []byte) (*report, *apiError) {
	r := &report{index: ix, create: len(words) == 2 || words[1] == "_create" || params.Get("op_type") == "create", doc: data}
	if len(words) == 3 {
		if r.id = words[2]; r.id == "" || len(r.id) > 512 {
			return nil, bad("action_request_validation_exception", "an id has 1 to 512 bytes")
		}
	}
	if op := params.Get("op_type"); op != "" && op != "create" && (op != "index" || r.create) {
		return nil, bad("illegal_argument_exception", "opType [%s] is not allowed here", op)
	}
	var err *apiError
	if r.timeout, err = parseTime(params.Get("timeout")); err != nil {
		return nil, err
	}
	var doc map[string]json.RawMessage
	if json.Unmarshal(data, &doc) != nil || doc == nil {
		return nil, bad("mapper_parsing_exception", "failed to parse: the document is no JSON object")
	}
	raw := doc[f.Config.SectionField]
	if raw == nil {
		raw = json.RawMessage(params.Get("routing"))
	}
	if r.section, err = section(raw); err != nil || r.section < ix.Sections[0] || r.section > ix.Sections[1] {
		return nil, bad("mapper_parsing_exception", "field [%s] has to be a section from %d to %d",
			f.Config.SectionField, ix.Sections[0], ix.Sections[1])
	}
	return r, nil
}
