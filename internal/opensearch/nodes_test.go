package opensearch

import (
	"testing"

	"harepass"
	"harepass/internal/http1"
)

// Only a rejection that is certain not to have run counts as never run, and only an answer that the node
// itself calls whole counts as served.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		want   harepass.Outcome
	}{
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`, harepass.Served},
		{200, `{"timed_out":true,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"hits":[]}}`, harepass.Errored},
		{200, `{"timed_out":false,"_shards":{"total":1,"successful":0,"failed":1},"hits":{"hits":[]}}`, harepass.Errored},
		{200, `{"timed_out":false,"hits":{"hits":[]}}`, harepass.Errored},
		{200, `{"timed_out":false,`, harepass.Errored},
		{201, `{"_id":"a","result":"created"}`, harepass.Served},
		{409, `{"error":{"type":"version_conflict_engine_exception"},"status":409}`, harepass.Served},
		{429, `{"error":{"type":"rejected_execution_exception"},"status":429}`, harepass.Full},
		{429, `{"error":{"type":"circuit_breaking_exception"},"status":429}`, harepass.Errored},
		{429, `too many`, harepass.Errored},
		{503, `{"error":{"type":"rejected_execution_exception"},"status":503}`, harepass.Errored},
		{500, `{"error":{"type":"exception"},"status":500}`, harepass.Errored},
		{400, `{"error":{"type":"parsing_exception"},"status":400}`, harepass.Errored},
	} {
		if got, _ := outcome(&http1.Message{Status: tc.status, Body: []byte(tc.body)}, false); got != tc.want {
			t.Errorf("%d %s: outcome %d, want %d", tc.status, tc.body, got, tc.want)
		}
	}
}
