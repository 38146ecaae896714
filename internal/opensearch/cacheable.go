package opensearch

import (
	"encoding/json"
	"slices"
	"strings"
)

// This file decides whether a shard's answer to a search may be cached. A cached answer is given out for as long as the
// versions of the shard's documents stay the same, so these documents alone must decide the answer: not the clock (date
// math such as now-1d) and not documents elsewhere (a terms lookup, an indexed shape). The tables list what is known to
// fulfil this. A search with anything else is not cached, so a kind of query or a parameter that the front learns later
// is not cached before it is listed here.

// cacheableSearchKeys are the keys that the body of a cacheable search may have. Those besides query take no part in
// what matches.
var cacheableSearchKeys = []string{"query", "from", "size", "track_total_hits", "_source"}

// cacheableBoolKeys are the keys of a bool query that take no queries.
var cacheableBoolKeys = []string{"minimum_should_match", "boost", "_name", "adjust_pure_negative"}

// cacheableParams are the parameters that any cacheable query may have.
var cacheableParams = []string{"boost", "_name"}

// fieldQuery lists the parameters of a kind of query that names one field.
type fieldQuery struct {
	params  []string // parameters in the object of the field
	options []string // parameters beside the field
}

// cacheableFieldQueries are the kinds of query that name one field. query_string and simple_query_string are not among
// the cacheable kinds, because their texts are languages that only replicas read.
var cacheableFieldQueries = map[string]fieldQuery{
	"term":     {params: []string{"value", "case_insensitive"}},
	"terms":    {},
	"range":    {params: []string{"gte", "gt", "lte", "lt", "format", "time_zone", "relation"}},
	"prefix":   {params: []string{"value", "case_insensitive", "rewrite"}},
	"wildcard": {params: []string{"value", "wildcard", "case_insensitive", "rewrite"}},
	"regexp":   {params: []string{"value", "flags", "case_insensitive", "max_determinized_states", "rewrite"}},
	"fuzzy": {params: []string{"value", "fuzziness", "prefix_length", "max_expansions", "transpositions",
		"rewrite"}},
	"match": {params: []string{"query", "operator", "minimum_should_match", "analyzer", "fuzziness", "prefix_length",
		"max_expansions", "fuzzy_transpositions", "lenient", "zero_terms_query"}},
	"match_phrase":        {params: []string{"query", "analyzer", "slop", "zero_terms_query"}},
	"match_phrase_prefix": {params: []string{"query", "analyzer", "slop", "max_expansions", "zero_terms_query"}},
	"geo_bounding_box": {
		params: []string{"top_left", "bottom_right", "top_right", "bottom_left", "top", "left", "bottom", "right",
			"lat", "lon", "wkt"},
		options: []string{"type", "validation_method", "ignore_unmapped"},
	},
	"geo_distance": {
		params:  []string{"lat", "lon"},
		options: []string{"distance", "distance_type", "validation_method", "ignore_unmapped"},
	},
	"geo_polygon": {
		params:  []string{"points", "lat", "lon"},
		options: []string{"validation_method", "ignore_unmapped"},
	},
	"geo_shape": {
		params:  []string{"shape", "type", "coordinates", "geometries", "radius", "orientation", "relation"},
		options: []string{"ignore_unmapped"},
	},
}

// cacheablePlainQueries are the kinds of query whose content has only parameters, with these.
var cacheablePlainQueries = map[string][]string{
	"match_all":  {},
	"match_none": {},
	"exists":     {"field"},
	"ids":        {"values"},
	"multi_match": {"query", "fields", "type", "operator", "minimum_should_match", "analyzer", "fuzziness",
		"prefix_length", "max_expansions", "lenient", "zero_terms_query", "slop", "tie_breaker"},
}

// isCacheableSearch reports whether a shard's answer to a search with a valid body may be cached.
func isCacheableSearch(body map[string]json.RawMessage) bool {
	for key := range body {
		if !slices.Contains(cacheableSearchKeys, key) {
			return false
		}
	}
	return isCacheableQuery(body["query"])
}

// isCacheableQuery reports whether nothing but a document decides whether a query matches it.
func isCacheableQuery(raw json.RawMessage) bool {
	var query map[string]json.RawMessage
	if json.Unmarshal(raw, &query) != nil {
		return false
	}
	for kind, content := range query {
		if !isCacheableContent(kind, content) {
			return false
		}
	}
	return true
}

// isCacheableContent is isCacheableQuery for the content of a query of the given kind.
func isCacheableContent(kind string, content json.RawMessage) bool {
	var fields map[string]json.RawMessage
	if json.Unmarshal(content, &fields) != nil {
		return false
	}
	if kind == "bool" {
		return isCacheableBool(fields)
	}
	if query, ok := cacheableFieldQueries[kind]; ok {
		return query.isCacheable(fields)
	}
	params, ok := cacheablePlainQueries[kind]
	return ok && isConstant(content, params)
}

// isCacheable is isCacheableQuery for the content of a query of this kind. A name that is no known parameter is the
// field's, so there may be one such name only.
func (q fieldQuery) isCacheable(content map[string]json.RawMessage) bool {
	fields := 0
	for name, value := range content {
		if !slices.Contains(q.options, name) && !slices.Contains(cacheableParams, name) {
			fields++
		}
		if !isConstant(value, q.params) {
			return false
		}
	}
	return fields == 1
}

// isCacheableBool is isCacheableQuery for the content of a bool query: all of its clauses must be cacheable.
func isCacheableBool(clauses map[string]json.RawMessage) bool {
	for occurrence, raw := range clauses {
		if slices.Contains(cacheableBoolKeys, occurrence) {
			continue
		}
		queries, err := boolClauses(raw)
		if err != nil {
			return false
		}
		for _, query := range queries {
			if !isCacheableQuery(query) {
				return false
			}
		}
	}
	return true
}

// isConstant reports whether a JSON value means the same at any time. The objects in it may only have the given
// parameters.
func isConstant(raw json.RawMessage, params []string) bool {
	var value any
	return json.Unmarshal(raw, &value) == nil && isConstantValue(value, params)
}

func isConstantValue(value any, params []string) bool {
	switch value := value.(type) {
	case string:
		return !isDateMath(value)
	case []any:
		for _, element := range value {
			if !isConstantValue(element, params) {
				return false
			}
		}
	case map[string]any:
		for name, element := range value {
			known := slices.Contains(params, name) || slices.Contains(cacheableParams, name)
			if !known || !isConstantValue(element, params) {
				return false
			}
		}
	}
	return true
}

// isDateMath reports whether a replica may read a text as an instant relative to the present. It may do so in any query
// on a date field, such as a term. Math that starts from a fixed date (2026-12-01||-1d) is constant.
func isDateMath(text string) bool {
	return strings.HasPrefix(strings.ToLower(strings.TrimSpace(text)), "now")
}
