package opensearch

import (
	"encoding/json"

	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
)

// This file words the first phase of a search, and what it brings, in the API's public terms. The version of a
// section is a stats aggregation over all of its documents, whatever the query: the first phase asks for it
// with the exact number of hits and no hit, a full search that is to be retained asks for it beside its hits.
// One search sees one state of a section, so hits and version belong together.

// noHits is the value of a section without any hit, as a node would give it.
var noHits = []byte(`{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}`)

// The names of the aggregations. A client's own cannot meet them: the front takes none.
const (
	everyAgg   = "harepass_all"
	versionAgg = "harepass_version"
)

// phases words a search's first phase, and its full form with the section's version.
func phases(field string, body map[string]json.RawMessage) (first, signed []byte) {
	aggs, _ := json.Marshal(map[string]any{everyAgg: map[string]any{"global": struct{}{}, // strings only: cannot fail, nor do the others
		"aggs": map[string]any{versionAgg: map[string]any{"stats": map[string]string{"field": field}}}}})
	full := map[string]json.RawMessage{"aggs": aggs}
	for key, raw := range body {
		full[key] = raw
	}
	signed, _ = json.Marshal(full)
	first, _ = json.Marshal(map[string]json.RawMessage{"query": body["query"], "size": json.RawMessage("0"),
		"track_total_hits": json.RawMessage("true"), "aggs": aggs})
	return first, signed
}

// evidence reads what an answer proves of its section. What it does not say, says wrongly or says of a part of
// the section only proves nothing.
func evidence(m *http1.Message) (ev twophase.Evidence) {
	var body struct {
		TimedOut   bool    `json:"timed_out"`
		Terminated bool    `json:"terminated_early"`
		Shards     *shards `json:"_shards"`
		Hits       *struct {
			Total *total `json:"total"`
		} `json:"hits"`
		Aggregations map[string]json.RawMessage `json:"aggregations"`
	}
	if m.Status != 200 || json.Unmarshal(m.Body, &body) != nil || body.TimedOut || body.Terminated ||
		body.Shards == nil || body.Shards.Failed > 0 || body.Shards.Total != body.Shards.Successful || body.Shards.Total == 0 || body.Hits == nil {
		return ev
	}
	ev.Readable, ev.Matches = true, -1
	if t := body.Hits.Total; t != nil && t.Relation == "eq" {
		ev.Matches = t.Value
	}
	var every struct {
		Docs    *int64 `json:"doc_count"`
		Version struct {
			Count         int64
			Min, Max, Sum *float64
		} `json:"harepass_version"`
	}
	if json.Unmarshal(body.Aggregations[everyAgg], &every) != nil || every.Docs == nil || every.Version.Count != *every.Docs {
		return ev // a document without a version, or with several, could change unseen
	}
	v := every.Version
	if *every.Docs == 0 {
		ev.Versioned = true
		return ev
	}
	if v.Min == nil || v.Max == nil || v.Sum == nil {
		return ev
	}
	if version := (twophase.Version{Docs: *every.Docs, Max: *v.Max, Min: *v.Min, Sum: *v.Sum}); version.Valid() {
		ev.Versioned, ev.Version = true, version
	}
	return ev
}
