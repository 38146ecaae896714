package opensearch_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/opensearch"
	"harepass/internal/test/fake"
)

// inWorld runs a test before the API front and nodes that offer the API.
func inWorld(t *testing.T, script func(shard, try int) fake.Reply, run func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, true, script, 0)
		run(w)
		w.close()
	})
}

// Every refusal of a request has the API's status and its error envelope, and no node hears of it.
func TestErrors(t *testing.T) {
	inWorld(t, first(0, 0), func(w *world) {
		for _, tc := range []struct {
			method, path, body string
			status             int
			kind               string
		}{
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
			{"POST", "/trails/_search", strings.Repeat(" ", 70<<10), 413, "content_too_long_exception"},
		} {
			status, h, data := w.do(tc.method, tc.path, tc.body, nil)
			var env struct {
				Error  json.RawMessage
				Status int
			}
			var e struct {
				Type, Reason string
				RootCause    []struct{ Type, Reason string } `json:"root_cause"`
			}
			if err := json.Unmarshal(data, &env); err != nil {
				t.Fatalf("%s %s: %q: %v", tc.method, tc.path, data, err)
			}
			json.Unmarshal(env.Error, &e)
			good := status == tc.status && env.Status == status && strings.HasPrefix(h.Get("Content-Type"), "application/json")
			if tc.kind != "" {
				good = good && e.Type == tc.kind && e.Reason != "" && len(e.RootCause) == 1 && e.RootCause[0].Type == tc.kind
			} else {
				good = good && h.Get("Allow") != ""
			}
			if !good {
				t.Errorf("%s %s: %d %s, want %d %s", tc.method, tc.path, status, data, tc.status, tc.kind)
			}
		}
		if seen := w.fleet.Seen(); len(seen) > 0 {
			t.Errorf("nodes were asked %q", seen)
		}
	})
}

// Which sections a search needs follows from its query and its preference.
func TestSections(t *testing.T) {
	for _, tc := range []struct{ params, body, want string }{
		{"", "", "[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"match_all":{}}}`, "[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"term":{"section":3}}}`, "[3]"},
		{"", `{"query":{"term":{"section":{"value":"3"}}}}`, "[3]"},
		{"", `{"query":{"range":{"section":{"gt":2,"lte":4}}}}`, "[3 4]"},
		{"", `{"query":{"bool":{"filter":[{"range":{"section":{"gte":7}}},{"match":{"surface":"powder"}}],"must_not":{"term":{"section":8}}}}}`, "[7 9]"},
		{"", `{"query":{"bool":{"should":[{"term":{"section":1}}],"must_not":[{"match":{"surface":"ice"}}]}}}`, "[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"match_none":{}}}`, "[]"},
		{"&preference=_shards:4,2", `{"query":{"range":{"section":{"lt":4}}}}`, "[2]"},
		{"&preference=_local", `{"query":{"term":{"section":6}}}`, "[6]"},
		{"&q=powder", "", "[0 1 2 3 4 5 6 7 8 9]"},
	} {
		inWorld(t, first(0, 0), func(w *world) {
			status, _, data := w.do("GET", "/trails/_search?size=100"+tc.params, tc.body, nil)
			var a answer
			if err := json.Unmarshal(data, &a); err != nil || status != 200 || a.TimedOut {
				t.Fatalf("%s: %d %s", tc.body, status, data)
			}
			var got []int
			for _, h := range a.Hits.Hits {
				got = append(got, h.Source.Section)
			}
			slices.Sort(got)
			if fmt.Sprint(got) != tc.want || a.Shards.Total != len(got) {
				t.Errorf("%s %s: sections %v of %d, want %s", tc.params, tc.body, got, a.Shards.Total, tc.want)
			}
		})
	}
}

// A page of hits is cut from all sections' hits, and the nodes are asked for all that could be on it.
func TestPages(t *testing.T) {
	inWorld(t, first(0, 0), func(w *world) {
		_, _, data := w.do("POST", "/_search?from=2", `{"size":3,"query":{"match_all":{}}}`, nil)
		var a answer
		if err := json.Unmarshal(data, &a); err != nil || len(a.Hits.Hits) != 3 || a.Hits.Total.Value != shards ||
			a.Hits.Hits[0].ID != "d2" {
			t.Errorf("%s", data)
		}
		if seen := w.fleet.Seen(); len(seen) != shards || !strings.HasPrefix(seen[0], "POST /conditions/_search?preference=_shards:") {
			t.Errorf("nodes were asked %q", seen)
		}
	})
}

// The 70% rule goes by the sections' weights, not by their number.
func TestWeightRule(t *testing.T) {
	for _, tc := range []struct {
		name    string
		heavy   float64
		partial string
		lost    []int
		status  int
	}{
		{"three light ones of ten lost", 1, "true", []int{1, 2, 3}, 200},
		{"a heavy one lost", 5, "true", []int{0}, 429},
		{"four light ones lost beside a heavy one", 5, "true", []int{1, 2, 3, 4}, 200},
		{"one lost where none may be", 1, "false", []int{1}, 429},
		{"none lost where none may be", 1, "false", nil, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inWorld(t, first(99, fake.Fail, tc.lost...), func(w *world) {
				w.weigh("conditions", 0, tc.heavy)
				status, h, data := w.do("GET", "/conditions/_search?allow_partial_search_results="+tc.partial, "", nil)
				if status != tc.status {
					t.Fatalf("%d %s, want %d", status, data, tc.status)
				}
				if status == 429 {
					if h.Get("Retry-After") != "1" {
						t.Errorf("Retry-After %q", h.Get("Retry-After"))
					}
					return
				}
				var a answer
				if err := json.Unmarshal(data, &a); err != nil || a.TimedOut != (len(tc.lost) > 0) ||
					a.Shards.Failed != len(tc.lost) || a.Shards.Successful != shards-len(tc.lost) {
					t.Errorf("%s", data)
				}
			})
		})
	}
}

// A document keeps the id that its client gave, and one that is there already is told as that.
func TestReports(t *testing.T) {
	inWorld(t, first(0, 0), func(w *world) {
		for _, tc := range []struct{ method, path, body, want string }{
			{"PUT", "/hazards/_doc/pin%201", `{"section":4}`, "PUT /hazards/_doc/pin%201?routing=4&timeout="},
			{"POST", "/hazards/_create/p2", `{"section":"5"}`, "PUT /hazards/_create/p2?routing=5&timeout="},
			{"PUT", "/hazards/_doc/p3?op_type=create&routing=6", `{"pin":"x"}`, "PUT /hazards/_create/p3?routing=6&timeout="},
			{"POST", "/hazards/_doc?pretty", `{"section":7}`, "PUT /hazards/_create/"},
		} {
			status, _, data := w.do(tc.method, tc.path, tc.body, nil)
			seen := w.fleet.Seen()
			if status != 201 || !strings.HasPrefix(seen[len(seen)-1], tc.want) || !strings.Contains(string(data), `"created"`) {
				t.Errorf("%s %s: %d %s, node asked %q", tc.method, tc.path, status, data, seen[len(seen)-1])
			}
		}
	})
}

// What a node finds wrong with the request itself reaches the client as the node words it.
func TestNodesFindFault(t *testing.T) {
	inWorld(t, first(0, 0), func(w *world) {
		for _, tc := range []struct{ path, body, want string }{
			{"/hazards/_doc", `{"section":1,"pin":7}`, "mapper_parsing_exception"},
			{"/trails/_search", `{"query":{"geo_shape":{}}}`, "query_shard_exception"},
		} {
			if status, _, data := w.do("POST", tc.path, tc.body, nil); status != 400 || !strings.Contains(string(data), tc.want) {
				t.Errorf("%s: %d %s, want 400 %s", tc.path, status, data, tc.want)
			}
		}
	})
}

func TestCallersAndStart(t *testing.T) {
	inWorld(t, first(0, 0), func(w *world) {
		for _, path := range []string{"/", "/_cluster/health"} {
			if status, _, data := w.do("GET", path, "", nil); status != 200 {
				t.Errorf("%s: %d %s", path, status, data)
			}
		}
		if status, _, data := w.do("HEAD", "/", "", nil); status != 200 || len(data) > 0 {
			t.Errorf("HEAD: %d %q", status, data)
		}
		w.config.Callers = map[string]string{"app": "kitakaze"}
		for _, tc := range []struct {
			header map[string]string
			status int
		}{
			{nil, 403}, {map[string]string{"X-Opaque-Id": "app"}, 200}, {map[string]string{"X-Opaque-Id": "other"}, 403},
			{map[string]string{"Authorization": "Basic YXBwOnNlY3JldA=="}, 200},
			{map[string]string{"Authorization": "Basic b3RoZXI6eA==", "X-Opaque-Id": "app"}, 403},
		} {
			if status, _, data := w.do("GET", "/trails/_search?size=0", "", tc.header); status != tc.status {
				t.Errorf("%v: %d %s, want %d", tc.header, status, data, tc.status)
			}
		}
	})
}

// A client that leaves takes its query with it: the nodes' connections are closed.
func TestClientLeaves(t *testing.T) {
	inWorld(t, first(9, fake.Silent, all()...), func(w *world) {
		w.client.Timeout = 100 * ms
		req, _ := http.NewRequest("GET", "http://front/trails/_search", nil)
		if _, err := w.client.Do(req); err == nil {
			t.Error("an answer")
		}
		time.Sleep(ms)
		w.owner.Drain()
		w.owner.Stop() // would wait for an open query
	})
}

func TestBadConfig(t *testing.T) {
	for text, want := range map[string]string{
		"":                                    "empty file",
		"listen: x\nlisten: y":                "line 2",
		"listen: x\ncolour: y":                "line 2: field colour not found",
		"listen: x":                           "no indices",
		"indices: {a: {class: route-lookup}}": "no listen address",
		"listen: x\nindices: {a: {class: c}}": `index a: no class "c"`,
		"listen: x\nindices: {a: {class: hazard-report}}":                        "index a: class hazard-report may not run twice",
		"listen: x\nindices: {_a: {class: route-lookup}}":                        `index "_a"`,
		"listen: x\nindices: {a: {class: route-lookup, sections: [0, 10]}}":      "index a: sections",
		"listen: x\nindices: {a: {class: route-lookup, weights: {1: 0}}}":        "index a: weight 0 of section 1",
		"listen: x\nall: b\nindices: {a: {class: route-lookup}}":                 `all: "b" is no index`,
		"listen: x\ncallers: {app: nobody}\nindices: {a: {class: route-lookup}}": `caller app: no tenant "nobody"`,
	} {
		path := filepath.Join(t.TempDir(), "opensearch.yaml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := opensearch.LoadConfig(path)
		if err == nil {
			err = c.Check(settings(), shards)
		}
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want %q in one line", text, err, want)
		}
	}
}
