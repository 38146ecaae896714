package opensearch

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"harepass/internal/core"
	"harepass/internal/http1"
)

// searchAnswer is the wire form of the answer to a search.
type searchAnswer struct {
	Took     int64       `json:"took"` // milliseconds
	TimedOut bool        `json:"timed_out"`
	Shards   shardCounts `json:"_shards"`
	Hits     hits        `json:"hits"`
}

// shardCounts is the wire form of the number of shards in an answer, by result.
type shardCounts struct {
	Total      int            `json:"total"`
	Successful int            `json:"successful"` // parts with a value, pruned ones included
	Skipped    int            `json:"skipped"`    // pruned parts, and those that a complete answer lacks
	Failed     int            `json:"failed"`
	Failures   []shardFailure `json:"failures,omitempty"`
}

// shardFailure is the wire form of the reason why an answer lacks a shard.
type shardFailure struct {
	Shard  int    `json:"shard"`
	Index  string `json:"index"`
	Reason cause  `json:"reason"`
}

// hits is the wire form of a search's hits. An answer to a client has those of all shards; the value of a part has
// those of one shard.
type hits struct {
	Total    *hitCount         `json:"total,omitempty"`
	MaxScore *float64          `json:"max_score"`
	Hits     []json.RawMessage `json:"hits"`
}

// hitCount is the wire form of the number of matching documents.
type hitCount struct {
	Value    int64  `json:"value"`
	Relation string `json:"relation"` // countExact, or countAtLeast if there may be more
}

// Relations of a hitCount to the true number of matching documents.
const (
	countExact   = "eq"
	countAtLeast = "gte"
)

// emptyHits is the value of a shard without any hit, in the form in which a replica gives it. The core uses it for a
// part if the first phase proves that the part's shard has no hit.
var emptyHits = []byte(`{"total":{"value":0,"relation":"eq"},"max_score":null,"hits":[]}`)

// searchReply builds the answer to a served search: the merged hits of all shards or, if a replica found a fault in the
// request, that fault, of the first part that has one. The fault outweighs the values of all other parts, because it
// concerns the request itself: other replicas would find the same. The answer is marked complete, by timed_out false
// and no failed shards, only if the core reports it complete. took is the time since the search was parsed.
func searchReply(s *search, q *core.Query, a core.Answer, took time.Duration) *http1.Message {
	if m := replicaFault(a); m != nil {
		return m
	}
	merged := mergeHits(s, q, a)
	return jsonReply(http.StatusOK, searchAnswer{
		Took:     took.Milliseconds(),
		TimedOut: !a.Complete,
		Shards:   countShards(s, q, a),
		Hits:     merged.page(s.from, s.size),
	})
}

// countShards counts the parts of a query by result, and lists the failed ones. A pruned part counts as successful and
// as skipped. A failed part gets the same reason whether it was late or failed otherwise; a section is a shard.
func countShards(s *search, q *core.Query, a core.Answer) shardCounts {
	counts := shardCounts{Total: len(q.Parts)}
	for i, p := range q.Parts {
		switch {
		case a.Values[i] != nil:
			counts.Successful++
			if a.Pruned[i] {
				counts.Skipped++
			}
		case a.Complete: // the class counts the answer as complete without this part
			counts.Skipped++
		default:
			counts.Failed++
			reason := cause{typeNoShardAvailable, "the section gave no answer in time"}
			counts.Failures = append(counts.Failures, shardFailure{p.Shard, s.index.name, reason})
		}
	}
	return counts
}

// rankedHit is a hit in the form in which a replica gave it.
type rankedHit struct {
	raw   json.RawMessage
	score *float64 // nil for a hit without a score
}

// compare orders hits by ascending score; hits without a score come first.
func (h rankedHit) compare(o rankedHit) int {
	switch {
	case h.score == nil && o.score == nil:
		return 0
	case h.score == nil:
		return -1
	case o.score == nil:
		return 1
	case *h.score < *o.score:
		return -1
	case *h.score > *o.score:
		return 1
	}
	return 0
}

// mergedHits are the hits of all shards that answered.
type mergedHits struct {
	total  hitCount
	ranked []rankedHit
}

// mergeHits merges the values of a query's parts: highest scores first, equal scores in the order of the parts.
func mergeHits(s *search, q *core.Query, a core.Answer) *mergedHits {
	m := &mergedHits{total: hitCount{Relation: countExact}}
	for i, p := range q.Parts {
		if v := a.Values[i]; v != nil {
			m.add(s, p.Shard, q.ID, v)
		}
	}
	slices.SortStableFunc(m.ranked, func(x, y rankedHit) int { return y.compare(x) })
	return m
}

// page returns at most size hits, after skipping the first from hits. MaxScore is the highest score of all merged hits,
// on this page or not; it is null if size is 0.
func (m *mergedHits) page(from, size int) hits {
	page := hits{Total: &m.total, Hits: []json.RawMessage{}}
	for _, h := range m.ranked[min(from, len(m.ranked)):min(from+size, len(m.ranked))] {
		page.Hits = append(page.Hits, h.raw)
	}
	if len(m.ranked) > 0 && size > 0 {
		page.MaxScore = m.ranked[0].score
	}
	return page
}

// add adds the value of a shard. A value that does not begin with a brace, cannot be decoded as hits, or has no list of
// hits counts as one hit. A hit that is neither a JSON object nor null, or whose _score is neither a number nor null,
// is left out.
func (m *mergedHits) add(s *search, shard int, queryID string, value []byte) {
	var v hits
	if !bytes.HasPrefix(value, []byte("{")) || json.Unmarshal(value, &v) != nil || v.Hits == nil {
		m.total.Value++
		m.ranked = append(m.ranked, wrapValue(s, shard, queryID, value))
		return
	}
	if v.Total != nil {
		m.total.Value += v.Total.Value
		if v.Total.Relation == countAtLeast {
			m.total.Relation = countAtLeast
		}
	}
	for _, raw := range v.Hits {
		var scored struct {
			Score *float64 `json:"_score"`
		}
		if json.Unmarshal(raw, &scored) == nil {
			m.ranked = append(m.ranked, rankedHit{raw, scored.Score})
		}
	}
}

// wrapValue makes one hit of a value that is not hits. Replicas that speak the platform's protocol give such values.
func wrapValue(s *search, shard int, queryID string, value []byte) rankedHit {
	score := 1.0
	raw, _ := json.Marshal(map[string]any{ // strings and numbers: cannot fail
		"_index":  s.index.name,
		"_id":     queryID + "." + strconv.Itoa(shard),
		"_score":  score,
		"_source": map[string]any{s.sectionField: shard, "body": string(value)},
	})
	return rankedHit{raw, &score}
}
