package fake

import (
	"strings"
	"time"
)

// Evaluation is what besides a document decides whether a query matches it: the clock, for date math, and the documents
// that terms lookups refer to.
type Evaluation struct {
	Now   time.Time
	Terms map[string][]any // terms that a terms lookup finds, by the ID of the document that it refers to
}

// bound returns the value of a range's bound: a number, or date math of the form now-DURATION in milliseconds since the
// epoch.
func (e Evaluation) bound(raw any) float64 {
	switch value := raw.(type) {
	case float64:
		return value
	case string:
		if before, ok := strings.CutPrefix(value, "now-"); ok {
			duration, _ := time.ParseDuration(before)
			return float64(e.Now.Add(-duration).UnixMilli())
		}
	}
	return 0
}

// wantedTerms returns the terms of a terms query, which are a list, or a lookup of the form {"id": ID}.
func (e Evaluation) wantedTerms(raw any) []any {
	switch wanted := raw.(type) {
	case []any:
		return wanted
	case map[string]any:
		id, _ := wanted["id"].(string)
		return e.Terms[id]
	}
	return nil
}

// matchesQueryString reports whether a document matches a query_string of the form FIELD:>=BOUND.
func (e Evaluation) matchesQueryString(shard int, doc Document, text string) bool {
	field, bound, _ := strings.Cut(text, ":>=")
	return matchesRange(fieldValue(shard, doc, field), map[string]any{"gte": bound}, e)
}
