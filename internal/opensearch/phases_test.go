package opensearch

import (
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"strings"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
)

// What a node's answer does not say, says wrongly or says of a part of its section proves nothing.
func TestEvidence(t *testing.T) {
	const good = `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},` +
		`"hits":{"total":{"value":3,"relation":"eq"},"max_score":null,"hits":[]},` +
		`"aggregations":{"harepass_all":{"doc_count":5,"harepass_version":{"count":5,"min":1.0,"max":9.0,"avg":4.0,"sum":20.0}}}}`
	whole := twophase.Evidence{Readable: true, Matches: 3, Versioned: true, Version: twophase.Version{Docs: 5, Max: 9, Min: 1, Sum: 20}}
	unsigned := twophase.Evidence{Readable: true, Matches: 3}
	for _, tc := range []struct {
		name, from, to string
		want           twophase.Evidence
	}{
		{"all there", "", "", whole},
		{"a count that may be higher", `"eq"`, `"gte"`, twophase.Evidence{Readable: true, Matches: -1, Versioned: true, Version: whole.Version}},
		{"no count", `"total":{"value":3,"relation":"eq"},"max`, `"max`, twophase.Evidence{Readable: true, Matches: -1, Versioned: true, Version: whole.Version}},
		{"timed out", `"timed_out":false`, `"timed_out":true`, twophase.Evidence{}},
		{"ended early", `"timed_out":false`, `"timed_out":false,"terminated_early":true`, twophase.Evidence{}},
		{"a copy failed", `"failed":0`, `"failed":1`, twophase.Evidence{}},
		{"a copy missing", `"total":1`, `"total":2`, twophase.Evidence{}},
		{"no copy", `"total":1,"successful":1`, `"total":0,"successful":0`, twophase.Evidence{}},
		{"no hits", `"hits":{"total"`, `"hats":{"total"`, twophase.Evidence{}},
		{"torn", `"aggregations"`, "\x00", twophase.Evidence{}},
		{"a document without a version", `"count":5`, `"count":4`, unsigned},
		{"a document with two versions", `"count":5`, `"count":6`, unsigned},
		{"no versions", `"min":1.0,"max":9.0,"avg":4.0,"sum":20.0`, `"min":null,"max":null,"avg":null,"sum":0`, unsigned},
		{"versions that are words", `"max":9.0`, `"max":"nine"`, unsigned},
		{"versions beyond exact numbers", `"max":9.0`, `"max":1e300`, unsigned},
		{"the least above the most", `"min":1.0`, `"min":10.0`, unsigned},
		{"no aggregation", `"harepass_all"`, `"other"`, unsigned},
		{"an empty section", `"doc_count":5,"harepass_version":{"count":5,"min":1.0,"max":9.0,"avg":4.0,"sum":20.0}`,
			`"doc_count":0,"harepass_version":{"count":0,"min":null,"max":null,"avg":null,"sum":0}`, twophase.Evidence{Readable: true, Matches: 3, Versioned: true}},
	} {
		body := good
		if tc.from != "" {
			if body = strings.Replace(good, tc.from, tc.to, 1); body == good {
				t.Fatalf("%s changes nothing", tc.name)
			}
		}
		if got := evidenceOf(&http1.Message{Status: 200, Body: []byte(body)}); got != tc.want {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
	if got := evidenceOf(&http1.Message{Status: 500, Body: []byte(good)}); got.Readable {
		t.Error("an error is read for evidence")
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), 1 << 54} {
		if (twophase.Version{Docs: 1, Max: v, Min: v, Sum: v}).Valid() {
			t.Errorf("version %g is taken to be exact", v)
		}
	}
}

// The first phase asks for the client's query and no hit; the full form is the plain one with the version.
func TestPhaseBodies(t *testing.T) {
	c := &Config{SectionField: "section"}
	ix := &Index{name: "conditions", Shards: []int{0, 3}, TwoPhase: &TwoPhase{Version: "updated"}}
	s, err := c.parseSearch(ix, url.Values{"size": {"7"}}, []byte(`{"query":{"term":{"open":true}},"_source":["name"]}`))
	if err != nil {
		t.Fatal(err)
	}
	var first, signed, plain map[string]any
	for body, v := range map[string]*map[string]any{string(s.firstPhaseBody): &first, string(s.versionedBody): &signed, string(s.body): &plain} {
		if err := json.Unmarshal([]byte(body), v); err != nil {
			t.Fatal(err)
		}
	}
	if fmt.Sprint(first["query"]) != fmt.Sprint(plain["query"]) || first["size"] != 0.0 || first["track_total_hits"] != true || first["_source"] != nil ||
		!strings.Contains(string(s.firstPhaseBody), `"field":"updated"`) {
		t.Errorf("first phase: %s", s.firstPhaseBody)
	}
	if fmt.Sprint(signed["aggs"]) != fmt.Sprint(first["aggs"]) || plain["aggs"] != nil {
		t.Errorf("with the version: %s", s.versionedBody)
	}
	if delete(signed, "aggs"); fmt.Sprint(signed) != fmt.Sprint(plain) {
		t.Errorf("%v and %v differ in more than the version", signed, plain)
	}
}

func TestTwoPhaseConfig(t *testing.T) {
	class := scatter.Class{Name: "free", Deadline: time.Second}
	guarded, once := class, class
	guarded.Name, guarded.Idempotency = "guarded", scatter.Keyed
	once.Name, once.Idempotency = "once", scatter.NonIdempotent
	set := scatter.Settings{Classes: []scatter.Class{class, guarded, once}}
	for _, tc := range []struct {
		ix   Index
		want string
	}{
		{Index{Class: "free", TwoPhase: &TwoPhase{Version: "updated"}}, ""},
		{Index{Class: "free", TwoPhase: &TwoPhase{}}, "two_phase has to name the field"},
		{Index{Class: "free", TwoPhase: &TwoPhase{Version: "a*"}}, "no name of a field"},
		{Index{Class: "guarded", TwoPhase: &TwoPhase{Version: "v"}}, "which class guarded does not bear"},
		{Index{Class: "once", Reports: true, TwoPhase: &TwoPhase{Version: "v"}}, "takes reports"},
	} {
		c := &Config{Listen: "x", Indices: map[string]*Index{"i": &tc.ix}}
		err := c.Check(set, 4)
		if (err == nil) != (tc.want == "") || err != nil && !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%+v: %v, want %q", tc.ix, err, tc.want)
		}
		if firsts := c.TwoPhaseClasses(); err == nil && (len(firsts) != 1 || firsts[0] != "free") {
			t.Errorf("classes with a first phase: %q", firsts)
		}
	}
}
