package opensearch

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// This file determines the shards whose documents a search's query can match. A section is a shard, and the section
// field is the field of a document that names its section. The coordinator evaluates term, terms and range queries on
// the section field, match_none, and bool queries that combine them. It leaves all other queries to the replicas. The
// result may contain too many shards, never too few.

// maxQueryDepth is how deeply queries may be nested within the outermost query of a search, which does not count.
const maxQueryDepth = 20

// leafQueries are the kinds of query whose content only replicas read, except for term, terms and range queries on the
// section field.
var leafQueries = []string{"match_all", "match", "match_phrase", "match_phrase_prefix", "multi_match", "query_string",
	"simple_query_string", "term", "terms", "range", "exists", "prefix", "wildcard", "regexp", "fuzzy", "ids",
	"geo_bounding_box", "geo_distance", "geo_polygon", "geo_shape"}

// shardSet is the set of shards that can have hits for a query.
type shardSet struct {
	// contains reports whether a shard is in the set.
	contains func(shard int) bool
	// exact means that the query matches all documents of these shards, so that its negation matches none of them.
	exact bool
}

// exactly returns the set of the shards that fulfil a condition, for a query about sections only.
func exactly(contains func(shard int) bool) shardSet {
	return shardSet{contains: contains, exact: true}
}

func anyShard(int) bool { return true }

func noShard(int) bool { return false }

// narrow removes the shards that do not fulfil a condition from the set.
func (s *shardSet) narrow(condition func(shard int) bool) {
	before := s.contains
	s.contains = func(shard int) bool { return before(shard) && condition(shard) }
}

// parseQuery checks a query and returns the shards that can have hits for it. A query whose content only replicas read,
// even match_all, gives all shards as an inexact set. The error is for the client: an unknown kind of query, a key that
// a bool or range query does not support, a malformed query or section, or queries nested too deeply. depth is the
// number of queries that enclose this one.
func parseQuery(sectionField string, raw json.RawMessage, depth int) (shardSet, error) {
	var query map[string]json.RawMessage
	if json.Unmarshal(raw, &query) != nil || len(query) != 1 {
		return shardSet{}, badRequestf(typeParsing,
			"[query] malformed: an object with the one name of a query is wanted")
	}
	if depth > maxQueryDepth {
		return shardSet{}, badRequestf(typeIllegalArgument, "queries are nested deeper than [%d]", maxQueryDepth)
	}
	for kind, content := range query { // exactly one
		var fields map[string]json.RawMessage
		if json.Unmarshal(content, &fields) != nil || fields == nil {
			return shardSet{}, badRequestf(typeParsing, "[%s] query malformed, no start_object after query name", kind)
		}
		aboutSection := fields[sectionField]
		switch {
		case kind == "match_none":
			return exactly(noShard), nil
		case kind == "bool":
			return parseBoolQuery(sectionField, fields, depth)
		case aboutSection != nil && kind == "term":
			return parseTermQuery(aboutSection)
		case aboutSection != nil && kind == "terms":
			return parseTermsQuery(aboutSection)
		case aboutSection != nil && kind == "range":
			return parseRangeQuery(aboutSection)
		case !slices.Contains(leafQueries, kind):
			return shardSet{}, badRequestf(typeParsing, "unknown query [%s]", kind)
		}
	}
	return shardSet{contains: anyShard}, nil
}

// parseBoolQuery checks a bool query and returns its shards: those in all its must and filter clauses, without those
// that a must_not clause excludes entirely. A should clause excludes nothing, since another clause can match in its
// place.
func parseBoolQuery(sectionField string, clauses map[string]json.RawMessage, depth int) (shardSet, error) {
	set := exactly(anyShard)
	for occurrence, raw := range clauses {
		switch occurrence {
		case "minimum_should_match", "boost", "_name", "adjust_pure_negative":
			continue
		case "must", "filter", "should", "must_not":
		default:
			return shardSet{}, badRequestf(typeParsing, "[bool] query does not support [%s]", occurrence)
		}
		queries, err := boolClauses(raw)
		if err != nil {
			return shardSet{}, err
		}
		for _, query := range queries {
			clause, err := parseQuery(sectionField, query, depth+1)
			if err != nil {
				return shardSet{}, err
			}
			switch {
			case occurrence == "must" || occurrence == "filter":
				set.narrow(clause.contains)
				set.exact = set.exact && clause.exact
			case occurrence == "must_not" && clause.exact:
				set.narrow(func(shard int) bool { return !clause.contains(shard) })
			default:
				set.exact = false
			}
		}
	}
	return set, nil
}

// boolClauses returns the clauses of one occurrence of a bool query, which is a list of queries or a single query.
func boolClauses(raw json.RawMessage) ([]json.RawMessage, error) {
	if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		return []json.RawMessage{raw}, nil
	}
	var queries []json.RawMessage
	if json.Unmarshal(raw, &queries) != nil {
		return nil, badRequestf(typeParsing, "[bool] malformed query")
	}
	return queries, nil
}

// parseTermQuery returns the shard of a term query on the section field, in the API's short or long form.
func parseTermQuery(raw json.RawMessage) (shardSet, error) {
	var long struct {
		Value *json.RawMessage `json:"value"`
	}
	if json.Unmarshal(raw, &long) == nil && long.Value != nil {
		raw = *long.Value
	}
	wanted, err := parseSection(raw)
	if err != nil {
		return shardSet{}, err
	}
	return exactly(func(shard int) bool { return shard == wanted }), nil
}

// parseTermsQuery returns the shards of a terms query on the section field.
func parseTermsQuery(raw json.RawMessage) (shardSet, error) {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return shardSet{}, malformedSection()
	}
	var wanted []int
	for _, r := range list {
		shard, err := parseSection(r)
		if err != nil {
			return shardSet{}, err
		}
		wanted = append(wanted, shard)
	}
	return exactly(func(shard int) bool { return slices.Contains(wanted, shard) }), nil
}

// parseRangeQuery returns the shards of a range query on the section field.
func parseRangeQuery(raw json.RawMessage) (shardSet, error) {
	var bounds map[string]json.RawMessage
	if json.Unmarshal(raw, &bounds) != nil {
		return shardSet{}, malformedSection()
	}
	set := exactly(anyShard)
	for name, r := range bounds {
		if name == "boost" { // affects scores only
			continue
		}
		within, known := rangeBounds[name]
		if !known {
			return shardSet{}, badRequestf(typeParsing, "[range] query does not support [%s]", name)
		}
		bound, err := parseSection(r)
		if err != nil {
			return shardSet{}, err
		}
		set.narrow(func(shard int) bool { return within(shard, bound) })
	}
	return set, nil
}

// rangeBounds are the conditions of a range query, by the bound's name.
var rangeBounds = map[string]func(shard, bound int) bool{
	"gte": func(shard, bound int) bool { return shard >= bound },
	"gt":  func(shard, bound int) bool { return shard > bound },
	"lte": func(shard, bound int) bool { return shard <= bound },
	"lt":  func(shard, bound int) bool { return shard < bound },
}

// parseSection parses the number of a section, which clients may also send as a string. It also accepts unbalanced
// quotes, and numbers that no shard of the index has: the caller compares them with the index's shards.
func parseSection(raw json.RawMessage) (shard int, err error) {
	shard, err = strconv.Atoi(strings.Trim(string(raw), `"`))
	if err != nil {
		return 0, malformedSection()
	}
	return shard, nil
}

// malformedSection returns the error for a section that is not a whole number in the range of int, and for a terms or
// range query on the section field whose sections are not in a list or object.
func malformedSection() error { return badRequestf(typeParsing, "sections are whole numbers") }
