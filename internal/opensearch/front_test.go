package opensearch_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"harepass/internal/test/fake"
)

// badRequest is a request that the front answers itself, with the expected status and error type. A wrong method has no
// error type; its answer has an Allow header.
type badRequest struct {
	method, path, body string
	status             int
	errorType          string
}

var badRequests = []badRequest{
	{"GET", "/nowhere/_search", "", 404, "index_not_found_exception"},
	{"POST", "/nowhere/_doc", `{"section":1}`, 404, "index_not_found_exception"},
	{"GET", "/_cat/indices", "", 400, "illegal_argument_exception"},
	{"DELETE", "/trails/_search", "", 405, ""},
	{"GET", "/hazards/_doc", "", 405, ""},
	{"PUT", "/hazards/_doc", `{"section":1}`, 405, ""},
	{"POST", "/trails/_search", `{"query":`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `[1]`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `null`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"query":{"sparkle":{}}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"query":{"term":{"section":1},"match_all":{}}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"query":{"bool":{"filter":[{"sparkle":{}}]}}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"query":{"bool":{"perhaps":[]}}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"query":{"term":{"section":"north"}}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"aggs":{}}`, 400, "parsing_exception"},
	{"POST", "/trails/_search", `{"size":-1}`, 400, "illegal_argument_exception"},
	{"POST", "/trails/_search", `{"from":9999,"size":2}`, 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?timeout=5", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?timeout=5parsecs", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?allow_partial_search_results=maybe", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?preference=_shards:x", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?sparkle=1", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_search?q=%zz", "", 400, "illegal_argument_exception"},
	{"POST", "/hazards/_search", "", 400, "illegal_argument_exception"},
	{"POST", "/trails/_doc", `{"section":1}`, 400, "illegal_argument_exception"},
	{"POST", "/hazards/_doc", `{"pin":"cornice"}`, 400, "mapper_parsing_exception"},
	{"POST", "/hazards/_doc", `{"section":10}`, 400, "mapper_parsing_exception"},
	{"POST", "/hazards/_doc", `"text"`, 400, "mapper_parsing_exception"},
	{"PUT", "/hazards/_create/a?op_type=index", `{"section":1}`, 400, "illegal_argument_exception"},
	// The fixture's server accepts bodies of up to 64 KiB (http1.DefaultLimits); the program accepts larger ones on
	// this front.
	{"POST", "/trails/_search", strings.Repeat(" ", 70<<10), 413, "content_too_long_exception"},
}

// A request in which the front finds a fault gets the API's status and error envelope, and does not reach any replica.
func TestBadRequestGetsErrorEnvelope(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		for _, tc := range badRequests {
			status, h, data := fx.do(tc.method, tc.path, tc.body, nil)
			var envelope struct {
				Error  json.RawMessage
				Status int
			}
			var e struct {
				Type, Reason string
				RootCause    []struct{ Type, Reason string } `json:"root_cause"`
			}
			if err := json.Unmarshal(data, &envelope); err != nil {
				t.Fatalf("%s %s: answer %q: %v", tc.method, tc.path, data, err)
			}
			json.Unmarshal(envelope.Error, &e)
			ok := status == tc.status && envelope.Status == status &&
				strings.HasPrefix(h.Get("Content-Type"), "application/json")
			if tc.errorType != "" {
				ok = ok && e.Type == tc.errorType && e.Reason != "" &&
					len(e.RootCause) == 1 && e.RootCause[0].Type == tc.errorType
			} else {
				ok = ok && h.Get("Allow") != ""
			}
			if !ok {
				t.Errorf("%s %s: status %d, answer %s; want status %d, error type %s",
					tc.method, tc.path, status, data, tc.status, tc.errorType)
			}
		}
		if seen := fx.fleet.Received(); len(seen) > 0 {
			t.Errorf("replicas received %q, want nothing", seen)
		}
	})
}

// A fault that a replica finds in the request itself reaches the client in the replica's wording.
func TestReplicaFaultReachesClient(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		for _, tc := range []struct{ path, body, want string }{
			{"/hazards/_doc", `{"section":1,"pin":7}`, "mapper_parsing_exception"},
			{"/trails/_search", `{"query":{"geo_shape":{}}}`, "query_shard_exception"},
		} {
			status, _, data := fx.do("POST", tc.path, tc.body, nil)
			if status != 400 || !strings.Contains(string(data), tc.want) {
				t.Errorf("%s: status %d, answer %s; want status 400, error type %s", tc.path, status, data, tc.want)
			}
		}
	})
}

// Clients ask which program serves them when they start, and load balancers ask whether it is ready.
func TestAboutAndHealth(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		for _, path := range []string{"/", "/_cluster/health"} {
			if status, _, data := fx.do("GET", path, "", nil); status != 200 {
				t.Errorf("%s: status %d, answer %s; want status 200", path, status, data)
			}
		}
		if status, _, data := fx.do("HEAD", "/", "", nil); status != 200 || len(data) > 0 {
			t.Errorf("HEAD: status %d, body %q; want status 200 and no body", status, data)
		}
	})
}

// If the file lists clients, a request must name one of them; basic authentication takes precedence over X-Opaque-Id.
func TestClientHasToBeListed(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		fx.config.ClientTenants = map[string]string{"app": "kitakaze"}
		for _, tc := range []struct {
			header map[string]string
			status int
		}{
			{nil, 403},
			{map[string]string{"X-Opaque-Id": "app"}, 200},
			{map[string]string{"X-Opaque-Id": "other"}, 403},
			{map[string]string{"Authorization": "Basic YXBwOnNlY3JldA=="}, 200},
			{map[string]string{"Authorization": "Basic b3RoZXI6eA==", "X-Opaque-Id": "app"}, 403},
		} {
			if status, _, data := fx.do("GET", "/trails/_search?size=0", "", tc.header); status != tc.status {
				t.Errorf("header %v: status %d, answer %s; want status %d", tc.header, status, data, tc.status)
			}
		}
	})
}

// A client leaves while no replica answers. Its query ends too: the connections to the replicas are closed, and the
// coordinator stops at once although it waits for open queries.
func TestQueryEndsWhenClientLeaves(t *testing.T) {
	withAPIFront(t, firstAttempts(9, fake.NoReply, allShards()...), func(fx *frontFixture) {
		fx.client.Timeout = 100 * ms
		req, _ := http.NewRequest("GET", "http://front/trails/_search", nil)
		if _, err := fx.client.Do(req); err == nil {
			t.Error("request got an answer, want a time-out")
		}
		time.Sleep(ms)
		fx.coordinator.Drain()
		fx.coordinator.Stop() // would wait for an open query
	})
}
