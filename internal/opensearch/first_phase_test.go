package opensearch

import (
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"strings"
	"testing"

	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
)

// versionedSearch is a replica's answer to a search that requests the shard's version.
const versionedSearch = `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},` +
	`"hits":{"total":{"value":3,"relation":"eq"},"max_score":null,"hits":[]},` +
	`"aggregations":{"harepass_all":{"doc_count":5,"harepass_version":` +
	`{"count":5,"min":1.0,"max":9.0,"avg":4.0,"sum":20.0}}}}`

// Evidence of versionedSearch, of an answer without an exact count, of one without a usable version, and of one that
// proves nothing.
var (
	fullEvidence = twophase.Evidence{Readable: true, Matches: 3, Versioned: true,
		Version: twophase.Version{Docs: 5, Max: 9, Min: 1, Sum: 20}}
	uncounted   = twophase.Evidence{Readable: true, Matches: -1, Versioned: true, Version: fullEvidence.Version}
	unversioned = twophase.Evidence{Readable: true, Matches: 3}
	noEvidence  = twophase.Evidence{}
)

// evidenceCases are changes to versionedSearch, and the evidence that remains.
var evidenceCases = []struct {
	name, from, to string
	want           twophase.Evidence
}{
	{"complete", "", "", fullEvidence},
	{"a count that may be higher", `"eq"`, `"gte"`, uncounted},
	{"no count", `"total":{"value":3,"relation":"eq"},"max`, `"max`, uncounted},
	{"timed out", `"timed_out":false`, `"timed_out":true`, noEvidence},
	{"ended early", `"timed_out":false`, `"timed_out":false,"terminated_early":true`, noEvidence},
	{"a copy failed", `"failed":0`, `"failed":1`, noEvidence},
	{"a copy missing", `"total":1`, `"total":2`, noEvidence},
	{"no copy", `"total":1,"successful":1`, `"total":0,"successful":0`, noEvidence},
	{"no hits", `"hits":{"total"`, `"hats":{"total"`, noEvidence},
	{"malformed JSON", `"aggregations"`, "\x00", noEvidence},
	{"a document without a version", `"count":5`, `"count":4`, unversioned},
	{"a document with two versions", `"count":5`, `"count":6`, unversioned},
	{"no versions", `"min":1.0,"max":9.0,"avg":4.0,"sum":20.0`, `"min":null,"max":null,"avg":null,"sum":0`,
		unversioned},
	{"versions that are strings", `"max":9.0`, `"max":"nine"`, unversioned},
	{"versions beyond exact numbers", `"max":9.0`, `"max":1e300`, unversioned},
	{"minimum above the maximum", `"min":1.0`, `"min":10.0`, unversioned},
	{"no aggregation", `"harepass_all"`, `"other"`, unversioned},
	{"an empty shard",
		`"doc_count":5,"harepass_version":{"count":5,"min":1.0,"max":9.0,"avg":4.0,"sum":20.0}`,
		`"doc_count":0,"harepass_version":{"count":0,"min":null,"max":null,"avg":null,"sum":0}`,
		twophase.Evidence{Readable: true, Matches: 3, Versioned: true}},
}

// A cached value may be reused only if a first answer proves that its shard has not changed. Anything that an answer
// omits, gives in a wrong form, or gives for only a share of its shard proves nothing; taken as evidence, it would keep
// an outdated value in use.
func TestEvidenceOfReplicaAnswer(t *testing.T) {
	for _, tc := range evidenceCases {
		body := versionedSearch
		if tc.from != "" {
			if body = strings.Replace(versionedSearch, tc.from, tc.to, 1); body == versionedSearch {
				t.Fatalf("case %s does not change the answer", tc.name)
			}
		}
		if got := evidenceOf(&http1.Message{Status: 200, Body: []byte(body)}); got != tc.want {
			t.Errorf("%s: evidence %+v, want %+v", tc.name, got, tc.want)
		}
	}
	if got := evidenceOf(&http1.Message{Status: 500, Body: []byte(versionedSearch)}); got.Readable {
		t.Error("answer with status 500 is read for evidence")
	}
	// 1<<53 may be the rounded form of 1<<53 + 1: a change from one to the other would go unnoticed.
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1 << 54, 1 << 53, -1 << 53} {
		if (twophase.Version{Docs: 1, Max: v, Min: v, Sum: v}).Valid() {
			t.Errorf("version %g is taken to be valid", v)
		}
	}
}

// The first phase requests the client's query without hits. The versioned search is the plain search that also requests
// the version, and nothing else.
func TestTwoPhaseBodies(t *testing.T) {
	c := &Config{SectionField: "section"}
	ix := &Index{name: "conditions", ShardRange: []int{0, 3}, TwoPhase: &TwoPhase{VersionField: "updated"}}
	body := []byte(`{"query":{"term":{"open":true}},"_source":["name"]}`)
	s, err := c.parseSearch(ix, url.Values{"size": {"7"}}, body)
	if err != nil {
		t.Fatal(err)
	}
	var first, versioned, plain map[string]any
	for body, v := range map[string]*map[string]any{
		string(s.firstPhaseBody): &first, string(s.versionedBody): &versioned, string(s.body): &plain} {
		if err := json.Unmarshal([]byte(body), v); err != nil {
			t.Fatal(err)
		}
	}
	if fmt.Sprint(first["query"]) != fmt.Sprint(plain["query"]) || first["size"] != 0.0 ||
		first["track_total_hits"] != true || first["_source"] != nil ||
		!strings.Contains(string(s.firstPhaseBody), `"field":"updated"`) {
		t.Errorf("unexpected body of the first phase: %s", s.firstPhaseBody)
	}
	if fmt.Sprint(versioned["aggs"]) != fmt.Sprint(first["aggs"]) || plain["aggs"] != nil {
		t.Errorf("unexpected versioned body: %s", s.versionedBody)
	}
	if delete(versioned, "aggs"); fmt.Sprint(versioned) != fmt.Sprint(plain) {
		t.Errorf("versioned search %v and plain search %v differ in more than the aggregation", versioned, plain)
	}
}
