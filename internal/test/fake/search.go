package fake

import (
	"encoding/json"
	"math"
	"time"
)

const (
	// defaultSearchSize is the maximum number of hits of a search that states no size.
	defaultSearchSize = 10
	// documentsPerUnit is how many documents one unit of work examines.
	documentsPerUnit = 20
)

// searchWork returns the work of a search in units: one for the search, one for each hit that it fetches, and
// 1/documentsPerUnit for each document that it examines. An aggregation examines all documents once more.
func searchWork(docs, hits int, aggregated bool) float64 {
	units := 1 + float64(docs)/documentsPerUnit + float64(hits)
	if aggregated {
		units += float64(docs) / documentsPerUnit
	}
	return units
}

// searchBody holds the fields of a search request that replicas understand.
type searchBody struct {
	Query map[string]json.RawMessage
	From  int
	Size  *int
	Aggs  map[string]aggregation
}

// aggregation requests statistics over all documents of a shard, by name.
type aggregation struct {
	Global *struct{}
	Aggs   map[string]struct {
		Stats struct{ Field string }
	}
}

// search answers a search of a shard from a single state of the shard, read before the work begins. The answer is empty
// if the caller left before the work began.
func (r *Replicas) search(callerLeft <-chan struct{}, index string, shard int, body []byte) string {
	var q searchBody
	if err := json.Unmarshal(body, &q); err != nil {
		return malformedError
	}
	docs, evaluation := r.Data.Docs(shard), Evaluation{Now: time.Now(), Terms: r.Data.Terms()}
	var found []Document
	for _, doc := range docs {
		if Matches(shard, doc, q.Query, evaluation) {
			found = append(found, doc)
		}
	}
	page := q.page(found)
	if !r.work(searchWork(len(docs), len(page), len(q.Aggs) > 0), callerLeft) {
		return ""
	}
	answer := map[string]any{
		"took":      1,
		"timed_out": false,
		"_shards":   map[string]int{"total": 1, "successful": 1, "skipped": 0, "failed": 0},
		"hits": map[string]any{
			"total":     map[string]any{"value": len(found), "relation": "eq"},
			"max_score": nil,
			"hits":      hits(index, shard, page),
		},
	}
	if len(q.Aggs) > 0 {
		answer["aggregations"] = q.aggregate(docs)
	}
	data, _ := json.Marshal(answer)
	return string(data)
}

// page returns those of the matching documents that the search asks for.
func (q *searchBody) page(found []Document) []Document {
	size := defaultSearchSize
	if q.Size != nil {
		size = *q.Size
	}
	return found[min(q.From, len(found)):min(q.From+size, len(found))]
}

// hits returns documents in the form of a search result's hits.
func hits(index string, shard int, docs []Document) []any {
	list := []any{}
	for _, doc := range docs {
		source := map[string]any{"section": shard, "version": doc.Version}
		for field, value := range doc.Fields {
			source[field] = value
		}
		list = append(list, map[string]any{"_index": index, "_id": doc.ID, "_score": 1.0, "_source": source})
	}
	return list
}

// aggregate computes the search's aggregations over all documents of a shard.
func (q *searchBody) aggregate(docs []Document) map[string]any {
	results := map[string]any{}
	for name, outer := range q.Aggs {
		bucket := map[string]any{"doc_count": len(docs)}
		for innerName, inner := range outer.Aggs {
			bucket[innerName] = aggregateStats(docs, inner.Stats.Field)
		}
		results[name] = bucket
	}
	return results
}

// aggregateStats returns the statistics of a field's numeric values; it ignores other values.
func aggregateStats(docs []Document, field string) map[string]any {
	count, low, high, sum := 0, math.Inf(1), math.Inf(-1), 0.0
	for _, doc := range docs {
		if value, ok := fieldValue(0, doc, field).(float64); ok {
			count, low, high, sum = count+1, min(low, value), max(high, value), sum+value
		}
	}
	if count == 0 {
		return map[string]any{"count": 0, "min": nil, "max": nil, "avg": nil, "sum": 0}
	}
	return map[string]any{"count": count, "min": low, "max": high, "avg": sum / float64(count), "sum": sum}
}
