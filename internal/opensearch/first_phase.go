package opensearch

import (
	"encoding/json"
	"maps"
	"net/http"

	"harepass/internal/decide/twophase"
	"harepass/internal/http1"
)

// This file builds the request of a search's first phase and reads the response, using only public features of the API.
// The version of a shard is a stats aggregation over all of its documents, whatever the query matches. The first phase
// requests the version and the exact number of hits, but no hits. A full search whose value is to be cached requests
// the version together with its hits. One search sees one state of a shard, so its hits and version belong together.

// Names of the aggregations. A client's own aggregations cannot collide with them, since the front accepts none.
const (
	allDocumentsAgg = "harepass_all"
	versionAgg      = "harepass_version"
)

// twoPhaseBodies returns the search of a first phase, and the full search that also requests the shard's version. body
// is the search as sent to an index without a first phase; versionField is the numeric field that holds a document's
// version.
func twoPhaseBodies(versionField string, body map[string]json.RawMessage) (firstPhase, versioned []byte) {
	stats := map[string]any{"stats": map[string]string{"field": versionField}}
	allDocuments := map[string]any{"global": struct{}{}, "aggs": map[string]any{versionAgg: stats}}
	aggs, _ := json.Marshal(map[string]any{allDocumentsAgg: allDocuments}) // strings only: cannot fail

	full := maps.Clone(body)
	full["aggs"] = aggs
	versioned, _ = json.Marshal(full) // raw values of decoded JSON: cannot fail

	firstPhase, _ = json.Marshal(map[string]json.RawMessage{ // raw values of decoded JSON: cannot fail
		"query":            body["query"],
		"size":             json.RawMessage("0"),
		"track_total_hits": json.RawMessage("true"),
		"aggs":             aggs,
	})
	return firstPhase, versioned
}

// versionedAnswer has the fields of a replica's answer that evidenceOf reads.
type versionedAnswer struct {
	TimedOut   bool         `json:"timed_out"`
	Terminated bool         `json:"terminated_early"`
	Shards     *shardCounts `json:"_shards"`
	Hits       *struct {
		Total *hitCount `json:"total"`
	} `json:"hits"`
	Aggregations map[string]json.RawMessage `json:"aggregations"`
}

// speaksForShard reports whether the answer covers all documents of its shard. A negative number of failures does not
// occur in the API; it passes here, but completeSearch makes the attempt an error if a search gets such an answer.
func (a *versionedAnswer) speaksForShard() bool {
	return !a.TimedOut && !a.Terminated && a.Hits != nil && a.Shards != nil &&
		a.Shards.Failed <= 0 && a.Shards.Total != 0 && a.Shards.Total == a.Shards.Successful
}

// exactMatches returns the number of matches, or -1 if the answer does not give it exactly.
func (a *versionedAnswer) exactMatches() int64 {
	if t := a.Hits.Total; t != nil && t.Relation == countExact {
		return t.Value
	}
	return -1
}

// version returns the version of the shard; ok is false if the answer has no version that can be relied on.
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
		return v, false // a change of a document without a version, or with several, could go unnoticed
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

// evidenceOf returns what a replica's answer proves about its shard. Anything that the answer omits, gives in a wrong
// form, or gives for only a share of the shard proves nothing.
func evidenceOf(m *http1.Message) twophase.Evidence {
	var answer versionedAnswer
	if m.Status != http.StatusOK || json.Unmarshal(m.Body, &answer) != nil || !answer.speaksForShard() {
		return twophase.Evidence{}
	}
	version, versioned := answer.version()
	return twophase.Evidence{Readable: true, Matches: answer.exactMatches(), Versioned: versioned, Version: version}
}
