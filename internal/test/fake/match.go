package fake

import (
	"encoding/json"
	"slices"
)

// Matches reports whether a document of a shard matches a query. Replicas know match_all, match_none, term, terms,
// range, and bool queries of these; a query of any other kind matches every document.
func Matches(shard int, doc Document, query map[string]json.RawMessage, e Evaluation) bool {
	for kind, raw := range query {
		var fields map[string]json.RawMessage
		json.Unmarshal(raw, &fields)
		switch kind {
		case "match_none":
			return false
		case "bool":
			return matchesBool(shard, doc, fields, e)
		case "query_string":
			var text string
			json.Unmarshal(fields["query"], &text)
			return e.matchesQueryString(shard, doc, text)
		case "term", "terms", "range":
			for field, wanted := range fields {
				if !matchesValue(kind, fieldValue(shard, doc, field), wanted, e) {
					return false
				}
			}
		}
	}
	return true
}

// matchesBool reports whether a document matches a bool query. If the query has should clauses, at least one must
// match.
func matchesBool(shard int, doc Document, clauses map[string]json.RawMessage, e Evaluation) bool {
	hasShould, shouldMatches := false, false
	for name, raw := range clauses {
		for _, query := range clauseQueries(raw) {
			matches := Matches(shard, doc, query, e)
			switch name {
			case "must", "filter":
				if !matches {
					return false
				}
			case "must_not":
				if matches {
					return false
				}
			case "should":
				hasShould, shouldMatches = true, shouldMatches || matches
			}
		}
	}
	return shouldMatches || !hasShould
}

// clauseQueries returns the queries of a clause in a bool query, which holds an array of queries or a single one.
func clauseQueries(raw json.RawMessage) (queries []map[string]json.RawMessage) {
	if json.Unmarshal(raw, &queries) == nil {
		return queries
	}
	var single map[string]json.RawMessage
	json.Unmarshal(raw, &single)
	return append(queries, single)
}

// matchesValue reports whether a field's value satisfies a term, terms or range query.
func matchesValue(kind string, value any, raw json.RawMessage, e Evaluation) bool {
	var wanted any
	json.Unmarshal(raw, &wanted)
	switch kind {
	case "terms":
		return slices.Contains(e.wantedTerms(wanted), value)
	case "range":
		bounds, _ := wanted.(map[string]any)
		return matchesRange(value, bounds, e)
	}
	if object, ok := wanted.(map[string]any); ok {
		wanted = object["value"]
	}
	return value == wanted
}

// matchesRange reports whether a value is a number within bounds.
func matchesRange(value any, bounds map[string]any, e Evaluation) bool {
	number, within := value.(float64)
	for name, raw := range bounds {
		bound := e.bound(raw)
		switch name {
		case "gt":
			within = within && number > bound
		case "gte":
			within = within && number >= bound
		case "lt":
			within = within && number < bound
		case "lte":
			within = within && number <= bound
		}
	}
	return within
}
