package opensearch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"harepass/internal/core"
	"harepass/internal/decide/retry"
	"harepass/internal/http1"
)

const (
	// maxRequestBody is the maximum length of the body of a request to a Front, in bytes.
	maxRequestBody = 256 << 10
	// largeBody is the length of a body, in bytes, from which bodies are parsed one at a time.
	largeBody = 16 << 10
)

// Header fields that name the client; see Front.tenant.
const (
	opaqueIDHeader      = "X-Opaque-Id"
	authorizationHeader = "Authorization"
)

// RequestLimits are the limits of requests to a Front.
var RequestLimits = http1.Limits{Head: http1.DefaultLimits.Head, Body: maxRequestBody,
	Fields: []string{opaqueIDHeader, authorizationHeader, retry.IdempotencyKeyHeader}}

// Front serves the API to clients. Its exported fields must be set before the first request.
type Front struct {
	// Config is the configuration file, accepted by Config.Check. Reconfigure replaces it.
	Config *Config
	// Coordinator admits and executes the queries.
	Coordinator *core.Coordinator
	// Clock is the coordinator's clock.
	Clock core.Clock
	// Version is the build of this program; about returns it to clients.
	Version string

	replacement atomic.Pointer[Config] // last argument of Reconfigure; nil before the first call
	parsing     sync.Mutex             // held while a large body is parsed; see parseBody
}

// Reconfigure replaces the configuration for requests that arrive from now on. c must have been accepted by
// Config.Check and must not change any more. Any goroutine may call Reconfigure.
func (f *Front) Reconfigure(c *Config) { f.replacement.Store(c) }

// config returns the configuration in force.
func (f *Front) config() *Config {
	if c := f.replacement.Load(); c != nil {
		return c
	}
	return f.Config
}

// apiRequest is a client's request with its target parsed.
type apiRequest struct {
	*http1.Message
	path       []string // unescaped segments of the path; the root path has one empty segment
	params     url.Values
	clientLeft <-chan struct{} // closed when the server has seen the client leave; Message.ClientLeft asks the system
}

// Handle answers one request. clientLeft is closed when the client has closed its connection. Handle blocks until the
// final answer. Any goroutine may call it.
func (f *Front) Handle(req *http1.Message, clientLeft <-chan struct{}) *http1.Message {
	r, err := parseTarget(req, clientLeft)
	if err != nil {
		return errorReply(err)
	}
	m, err := f.route(r)
	if err != nil {
		m = errorReply(err)
	}
	if r.params.Has("pretty") && r.params.Get("pretty") != "false" {
		indent(m)
	}
	return m
}

// parseTarget splits the target of a request into path segments and parameters.
func parseTarget(req *http1.Message, clientLeft <-chan struct{}) (*apiRequest, error) {
	path, query, _ := strings.Cut(req.Target, "?")
	params, err := url.ParseQuery(query)
	if err != nil {
		return nil, badRequestf(typeIllegalArgument, "malformed parameters")
	}
	segments := strings.Split(strings.Trim(path, "/"), "/")
	for i := range segments {
		if segments[i], err = url.PathUnescape(segments[i]); err != nil {
			return nil, badRequestf(typeIllegalArgument, "malformed path")
		}
	}
	return &apiRequest{Message: req, path: segments, params: params, clientLeft: clientLeft}, nil
}

// indent formats the JSON body of an answer for a human reader.
func indent(m *http1.Message) {
	var out bytes.Buffer
	if json.Indent(&out, m.Body, "", "  ") == nil {
		m.Body = append(out.Bytes(), '\n')
	}
}

// parseBody parses the body of a request with a function. A JSON text of many short values takes many times its size
// while it is parsed, so large bodies are parsed one at a time.
func parseBody[T any](f *Front, body []byte, parse func() (T, error)) (T, error) {
	if len(body) >= largeBody {
		f.parsing.Lock()
		defer f.parsing.Unlock()
	}
	return parse()
}

// route calls the handler for the request's path.
func (f *Front) route(r *apiRequest) (*http1.Message, error) {
	switch segments, last := len(r.path), len(r.path)-1; {
	case segments == 1 && r.path[0] == "":
		return f.about(r)
	case segments == 2 && r.path[0] == "_cluster" && r.path[1] == "health":
		return f.health(r)
	case segments == 1 && r.path[0] == "_search":
		return f.search(r, f.config().DefaultIndex)
	case segments == 2 && r.path[last] == "_search":
		return f.search(r, r.path[0])
	case (segments == 2 || segments == 3) && r.path[1] == "_doc", segments == 3 && r.path[1] == "_create":
		return f.storeDocument(r)
	}
	return nil, badRequestf(typeIllegalArgument, "no handler found for uri [%s] and method [%s]", r.Target, r.Method)
}

// checkMethod returns a methodError unless the request's method is one of the allowed ones.
func (r *apiRequest) checkMethod(allowed ...string) error {
	if slices.Contains(allowed, r.Method) {
		return nil
	}
	return &methodError{target: r.Target, method: r.Method, allowed: allowed}
}

// checkParams returns an error if the request has a parameter that is neither in effective nor in ignored.
func (r *apiRequest) checkParams(effective, ignored []string) error {
	for name := range r.params {
		if !slices.Contains(effective, name) && !slices.Contains(ignored, name) {
			return badRequestf(typeIllegalArgument,
				"request [%s] contains unrecognized parameter: [%s]", r.Target, name)
		}
	}
	return nil
}

// about returns the name and version of the program, which clients request when they start.
func (f *Front) about(r *apiRequest) (*http1.Message, error) {
	if err := r.checkMethod(http.MethodGet, http.MethodHead); err != nil {
		return nil, err
	}
	version := map[string]string{"distribution": "opensearch", "number": "2.0.0", "build_type": "harepass " + f.Version}
	return jsonReply(http.StatusOK, map[string]any{"name": "harepass", "cluster_name": "harepass", "version": version,
		"tagline": "piste map queries by an OpenSearch-style API"}), nil
}

// health reports whether the coordinator is ready, by the status code too.
func (f *Front) health(r *apiRequest) (*http1.Message, error) {
	if err := r.checkMethod(http.MethodGet, http.MethodHead); err != nil {
		return nil, err
	}
	status, body := http.StatusOK, map[string]any{"cluster_name": "harepass", "status": "green", "timed_out": false}
	if phase := f.Coordinator.Phase(); phase != core.Ready {
		status, body["status"], body["phase"] = http.StatusServiceUnavailable, "red", phase.String()
	}
	return jsonReply(status, body), nil
}
