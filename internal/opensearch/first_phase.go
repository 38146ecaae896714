package opensearch

import (
	"encoding/json"
	"maps"
	"net/http"

	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
)

// This file builds the request of a search's first phase and reads the response, in the API's public terms. The version
// of a shard is a stats aggregation over all of its documents, whatever the query: the first phase asks for it with the
// exact number of hits and no hit; a full search whose value is to be cached asks for it beside its hits. One search
// sees one state of a shard, so hits and version belong together.

// The names of the aggregations. A client's own cannot meet them: the front takes none.
const (
	allDocumentsAgg = "harepass_all"
	versionAgg      = "harepass_version"
)

// twoPhaseBodies returns the search of a first phase, and the full search that asks for the shard's version too. body
// is the search of an index without a first phase, versionField the numeric field that holds a document's version.
func twoPhaseBodies(versionField string, body map[string]json.RawMessage) (firstPhase, versioned []byte) {
	stats := map[string]any{"stats": map[string]string{"field": versionField}}
	allDocuments := map[string]any{"global": struct{}{}, "aggs": map[string]any{versionAgg: stats}}
	aggs, _ := json.Marshal(map[string]any{allDocumentsAgg: allDocuments}) // strings only: cannot fail

	full := maps.Clone(body)
	full["aggs"] = aggs
	versioned, _ = json.Marshal(full) // raw parts of what was JSON: cannot fail

	firstPhase, _ = json.Marshal(map[string]json.RawMessage{ // raw parts of what was JSON: cannot fail
		"query":            body["query"],
		"size":             json.RawMessage("0"),
		"track_total_hits": json.RawMessage("true"),
		"aggs":             aggs,
	})
	return firstPhase, versioned
}

// versionedAnswer is what evidenceOf reads of a replica's answer.
type versionedAnswer struct {
	TimedOut   bool         `json:"timed_out"`
	Terminated bool         `json:"terminated_early"`
	Shards     *shardCounts `json:"_shards"`
	Hits       *struct {
		Total *hitCount `json:"total"`
	} `json:"hits"`
	Aggregations map[string]json.RawMessage `json:"aggregations"`
}

// speaksForShard reports whether the answer covers all documents of its shard. A negative number of failures is not the
// API's; it passes here, and completeSearch makes an error of an attempt with such an answer to a search.
func (a *versionedAnswer) speaksForShard() bool {
	return !a.TimedOut && !a.Terminated && a.Hits != nil && a.Shards != nil &&
		a.Shards.Failed <= 0 && a.Shards.Total != 0 && a.Shards.Total == a.Shards.Successful
}

// exactMatches returns the number of matches, and -1 where the answer does not give it exactly.
func (a *versionedAnswer) exactMatches() int64 {
	if t := a.Hits.Total; t != nil && t.Relation == countExact {
		return t.Value
	}
	return -1
}

// version returns the version of the shard, and false where the answer gives none that can be relied on.
func (a *versionedAnswer) version() (v twophase.Version, ok bool) {
	var all struct {
		Documents *int64 `json:"doc_count"`
		Version   struct {
			Count         int64
			Min, Max, Sum *float64
		} `json:"harepass_version"` // versionAgg: a tag cannot refer to the constant
	}
	if json.Unmarshal(a.Aggregations[allDocumentsAgg], &all) != nil || all.Documents == nil {
		return v, false
	}
	if all.Version.Count != *all.Documents {
		return v, false // a document without a version, or with several, could change unseen
	}
	if *all.Documents == 0 {
		return v, true
	}
	stats := all.Version
	if stats.Min == nil || stats.Max == nil || stats.Sum == nil {
		return v, false
	}
	v = twophase.Version{Docs: *all.Documents, Max: *stats.Max, Min: *stats.Min, Sum: *stats.Sum}
	if !v.Valid() {
		return twophase.Version{}, false
	}
	return v, true
}

// evidenceOf reads what a replica's answer proves of its shard. What the answer does not say, says wrongly or says of
// a share of the shard only proves nothing.
func evidenceOf(m *http1.Message) twophase.Evidence {
	var answer versionedAnswer
	if m.Status != http.StatusOK || json.Unmarshal(m.Body, &answer) != nil || !answer.speaksForShard() {
		return twophase.Evidence{}
	}
	version, versioned := answer.version()
	return twophase.Evidence{Readable: true, Matches: answer.exactMatches(), Versioned: versioned, Version: version}
}
