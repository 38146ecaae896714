package fake

import (
	"encoding/json"
	"math"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// Doc is a document of a section. Version is a number, unless a test wants it otherwise; nil is none.
type Doc struct {
	ID      string
	Version any
	Fields  map[string]any
}

// Data is what a node holds, with its history where that is recorded.
type Data struct {
	Record bool

	mu       sync.Mutex
	sections map[int][]Doc // in order of ID; a list is replaced, never changed
	history  map[int][]State
	next     float64 // the version of the next document put without one
}

// State is what a section held from an instant on.
type State struct {
	From time.Time
	Docs []Doc
}

// Docs is a section's documents.
func (d *Data) Docs(section int) []Doc {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sections[section]
}

// Set replaces a section's documents.
func (d *Data) Set(section int, docs []Doc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(section, docs)
}

func (d *Data) set(section int, docs []Doc) {
	if d.sections == nil {
		d.sections, d.history = map[int][]Doc{}, map[int][]State{}
	}
	docs = slices.Clone(docs)
	slices.SortFunc(docs, func(x, y Doc) int { return strings.Compare(x.ID, y.ID) })
	d.sections[section] = docs
	if d.Record {
		d.history[section] = append(d.history[section], State{time.Now(), docs})
	}
	for _, doc := range docs {
		if v, ok := doc.Version.(float64); ok {
			d.next = max(d.next, v+1)
		}
	}
}

// Put adds a document or replaces the one of its ID; without a version it gets the next one.
func (d *Data) Put(section int, doc Doc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if doc.Version == nil {
		doc.Version = max(1, d.next)
	}
	others := slices.DeleteFunc(slices.Clone(d.sections[section]), func(o Doc) bool { return o.ID == doc.ID })
	d.set(section, append(others, doc))
}

// Delete takes a document away.
func (d *Data) Delete(section int, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(section, slices.DeleteFunc(slices.Clone(d.sections[section]), func(o Doc) bool { return o.ID == id }))
}

// Between lists the states that a section had between two instants, both included. It has to be recorded.
func (d *Data) Between(section int, from, to time.Time) []State {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.history[section]
	begin := sort.Search(len(list), func(i int) bool { return !list[i].From.Before(from) })
	end := sort.Search(len(list), func(i int) bool { return list[i].From.After(to) })
	return list[max(0, begin-1):end:end] // the one before was there until the first of these
}

// unitsOf is the work of a search: one unit for itself and for each hit that is fetched, a twentieth for each
// document looked at, again where an aggregation looks at all of them.
func unitsOf(docs, hits int, aggregated bool) float64 {
	units := 1 + float64(docs)/20 + float64(hits)
	if aggregated {
		units += float64(docs) / 20
	}
	return units
}

// IDs is a section's value at nodes that speak frames.
func IDs(docs []Doc) (string, error) {
	ids := []string{}
	for _, doc := range docs {
		ids = append(ids, doc.ID)
	}
	data, err := json.Marshal(ids)
	return string(data), err
}

// searchBody is what the node understands of a search.
type searchBody struct {
	Query map[string]json.RawMessage
	From  int
	Size  *int
	Aggs  map[string]struct {
		Global *struct{}
		Aggs   map[string]struct {
			Stats struct{ Field string }
		}
	}
}

// search answers a search of a section from one state of it, which is that of the moment when the work begins.
func (f *Fleet) search(gone <-chan struct{}, index string, section int, body []byte) string {
	var q searchBody
	if err := json.Unmarshal(body, &q); err != nil {
		return `{"error":{"type":"parsing_exception","reason":"malformed"},"status":400}`
	}
	docs := f.Data.Docs(section)
	var found []Doc
	for _, doc := range docs {
		if Matches(section, doc, q.Query) {
			found = append(found, doc)
		}
	}
	size := 10
	if q.Size != nil {
		size = *q.Size
	}
	page := found[min(q.From, len(found)):min(q.From+size, len(found))]
	if !f.work(unitsOf(len(docs), len(page), len(q.Aggs) > 0), gone) {
		return ""
	}
	hits := []any{}
	for _, doc := range page {
		source := map[string]any{"section": section, "version": doc.Version}
		for k, v := range doc.Fields {
			source[k] = v
		}
		hits = append(hits, map[string]any{"_index": index, "_id": doc.ID, "_score": 1.0, "_source": source})
	}
	answer := map[string]any{"took": 1, "timed_out": false, "_shards": map[string]int{"total": 1, "successful": 1, "skipped": 0, "failed": 0},
		"hits": map[string]any{"total": map[string]any{"value": len(found), "relation": "eq"}, "max_score": nil, "hits": hits}}
	if len(q.Aggs) > 0 {
		aggs := map[string]any{}
		for name, outer := range q.Aggs {
			bucket := map[string]any{"doc_count": len(docs)}
			for inner, agg := range outer.Aggs {
				bucket[inner] = stats(docs, agg.Stats.Field)
			}
			aggs[name] = bucket
		}
		answer["aggregations"] = aggs
	}
	data, _ := json.Marshal(answer)
	return string(data)
}

// stats is that aggregation over numbers; other values of the field do not count.
func stats(docs []Doc, field string) map[string]any {
	n, low, high, sum := 0, math.Inf(1), math.Inf(-1), 0.0
	for _, doc := range docs {
		if v, ok := valueOf(0, doc, field).(float64); ok {
			n, low, high, sum = n+1, min(low, v), max(high, v), sum+v
		}
	}
	if n == 0 {
		return map[string]any{"count": 0, "min": nil, "max": nil, "avg": nil, "sum": 0}
	}
	return map[string]any{"count": n, "min": low, "max": high, "avg": sum / float64(n), "sum": sum}
}

func valueOf(section int, doc Doc, field string) any {
	switch field {
	case "section":
		return float64(section)
	case "version":
		return doc.Version
	}
	return doc.Fields[field]
}

// Matches tells whether a document of a section matches a query of the kinds that the stand-in knows: match_all,
// match_none, term, terms, range and bool of these. What it does not know matches.
func Matches(section int, doc Doc, query map[string]json.RawMessage) bool {
	for kind, raw := range query {
		var fields map[string]json.RawMessage
		json.Unmarshal(raw, &fields)
		switch kind {
		case "match_none":
			return false
		case "bool":
			return matchesBool(section, doc, fields)
		case "term", "terms", "range":
			for field, wanted := range fields {
				if !compare(kind, valueOf(section, doc, field), wanted) {
					return false
				}
			}
		}
	}
	return true
}

func matchesBool(section int, doc Doc, clauses map[string]json.RawMessage) bool {
	some, should := false, false
	for name, raw := range clauses {
		var list []map[string]json.RawMessage
		if json.Unmarshal(raw, &list) != nil {
			var one map[string]json.RawMessage
			json.Unmarshal(raw, &one)
			list = append(list, one)
		}
		for _, q := range list {
			hit := Matches(section, doc, q)
			switch name {
			case "must", "filter":
				if !hit {
					return false
				}
			case "must_not":
				if hit {
					return false
				}
			case "should":
				should, some = true, some || hit
			}
		}
	}
	return some || !should
}

// compare holds a document's value against a leaf query.
func compare(kind string, have any, raw json.RawMessage) bool {
	var wanted any
	json.Unmarshal(raw, &wanted)
	switch kind {
	case "terms":
		list, _ := wanted.([]any)
		return slices.Contains(list, have)
	case "range":
		v, ok := have.(float64)
		bounds, _ := wanted.(map[string]any)
		for name, b := range bounds {
			limit, _ := b.(float64)
			ok = ok && !(name == "gt" && v <= limit || name == "gte" && v < limit || name == "lt" && v >= limit || name == "lte" && v > limit)
		}
		return ok
	}
	if long, ok := wanted.(map[string]any); ok {
		wanted = long["value"]
	}
	return have == wanted
}
