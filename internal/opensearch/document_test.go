package opensearch_test

import (
	"strings"
	"testing"
)

// A document keeps the id that its client gave; a document without an id gets one. The replica receives whether a
// document with the same id may be replaced.
func TestDocumentKeepsClientID(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		for _, tc := range []struct{ method, path, body, want string }{
			{"PUT", "/hazards/_doc/pin%201", `{"section":4}`, "PUT /hazards/_doc/pin%201?routing=4&timeout="},
			{"POST", "/hazards/_create/p2", `{"section":"5"}`, "PUT /hazards/_create/p2?routing=5&timeout="},
			{"PUT", "/hazards/_doc/p3?op_type=create&routing=6", `{"pin":"x"}`,
				"PUT /hazards/_create/p3?routing=6&timeout="},
			{"POST", "/hazards/_doc?pretty", `{"section":7}`, "PUT /hazards/_create/"},
		} {
			status, _, data := fx.do(tc.method, tc.path, tc.body, nil)
			seen := fx.fleet.Received()
			last := seen[len(seen)-1]
			if status != 201 || !strings.HasPrefix(last, tc.want) || !strings.Contains(string(data), `"created"`) {
				t.Errorf("%s %s: status %d, answer %s; replica received %q", tc.method, tc.path, status, data, last)
			}
		}
	})
}
