package opensearch

import (
	"bytes"
	"encoding/json"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// search is a search as understood: which sections it needs and what their nodes are asked.
type search struct {
	index    *Index
	field    string // that names the section
	sections []int
	from     int
	size     int
	partial  bool // an answer in part will do
	timeout  time.Duration
	body     []byte // for each node
	first    []byte // where the index has two phases: the first one's, and body with the section's version
	signed   []byte
}

const (
	defaultSize = 10
	resultLimit = 10000 // from + size, the API's own default
)

var searchParams = []string{"q", "from", "size", "timeout", "allow_partial_search_results", "preference",
	"pretty", "track_total_hits", "ignore_unavailable", "allow_no_indices", "expand_wildcards", "typed_keys"}

var searchKeys = []string{"query", "from", "size", "timeout", "track_total_hits", "_source"}

// leafQueries are the kinds of query whose inside is for the nodes alone, unless it is about the section.
var leafQueries = []string{"match_all", "match", "match_phrase", "match_phrase_prefix", "multi_match", "query_string",
	"simple_query_string", "term", "terms", "range", "exists", "prefix", "wildcard", "regexp", "fuzzy", "ids",
	"geo_bounding_box", "geo_distance", "geo_polygon", "geo_shape"}

// parseSearch reads a search of an index from its parameters and body.
func (c *Config) parseSearch(ix *Index, params url.Values, data []byte) (*search, *apiError) {
	s := &search{index: ix, field: c.SectionField, size: defaultSize, partial: true}
	body := map[string]json.RawMessage{}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := json.Unmarshal(data, &body); err != nil || body == nil {
			return nil, bad("parsing_exception", "the body is no JSON object")
		}
	}
	for key := range body {
		if !slices.Contains(searchKeys, key) {
			return nil, bad("parsing_exception", "unknown key [%s] in a search", key)
		}
	}
	if q := params.Get("q"); q != "" {
		body["query"], _ = json.Marshal(map[string]any{"query_string": map[string]string{"query": q}}) // cannot fail
	}
	if body["query"] == nil {
		body["query"] = json.RawMessage(`{"match_all":{}}`)
	}
	chosen, err := c.walk(ix, body["query"], 0)
	if err != nil {
		return nil, err
	}
	preferred, err := preference(params.Get("preference"))
	if err != nil {
		return nil, err
	}
	for n := ix.Sections[0]; n <= ix.Sections[1]; n++ {
		if chosen.has(n) && (preferred == nil || slices.Contains(preferred, n)) {
			s.sections = append(s.sections, n)
		}
	}
	if err := s.options(params, body); err != nil {
		return nil, err
	}
	// Each node is asked for all that could be among the wanted hits.
	body["from"], body["size"] = json.RawMessage("0"), json.RawMessage(strconv.Itoa(s.from+s.size))
	delete(body, "timeout")
	s.body, _ = json.Marshal(body) // raw parts of what was JSON: cannot fail
	if ix.TwoPhase != nil {
		s.first, s.signed = phases(ix.TwoPhase.Version, body)
	}
	return s, nil
}

// options reads what stands in the parameters or, unless there, in the body.
func (s *search) options(params url.Values, body map[string]json.RawMessage) *apiError {
	get := func(key string) string {
		if params.Has(key) {
			return params.Get(key)
		}
		return strings.Trim(string(body[key]), `"`)
	}
	for key, field := range map[string]*int{"from": &s.from, "size": &s.size} {
		if v := get(key); v != "" {
			n, err := strconv.Atoi(v)
			if err != nil || n < 0 {
				return bad("illegal_argument_exception", "[%s] parameter cannot be [%s]", key, v)
			}
			*field = n
		}
	}
	if s.from+s.size > resultLimit {
		return bad("illegal_argument_exception", "result window is too large: from + size is over [%d]", resultLimit)
	}
	var err *apiError
	if s.timeout, err = parseTime(get("timeout")); err != nil {
		return err
	}
	switch v := params.Get("allow_partial_search_results"); v {
	case "", "true":
	case "false":
		s.partial = false
	default:
		return bad("illegal_argument_exception", "failed to parse value [%s] as only [true] or [false] are allowed", v)
	}
	return nil
}

// parseTime reads a time value; 0 stands for none given.
func parseTime(v string) (time.Duration, *apiError) {
	if v == "" || v == "-1" {
		return 0, nil
	}
	units := []struct {
		suffix string
		unit   time.Duration
	}{{"nanos", time.Nanosecond}, {"micros", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second},
		{"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour}}
	for _, u := range units {
		if number, ok := strings.CutSuffix(v, u.suffix); ok {
			n, err := strconv.ParseUint(number, 10, 32)
			if err != nil || n == 0 {
				break
			}
			return min(time.Duration(n), 24*time.Hour/u.unit+1) * u.unit, nil
		}
	}
	return 0, bad("illegal_argument_exception",
		"failed to parse setting [timeout] with value [%s] as a time value: unit is missing or unrecognized", v)
}

// preference reads _shards:1,2; other preferences choose among copies, which is for the module to do.
func preference(v string) ([]int, *apiError) {
	list, ok := strings.CutPrefix(v, "_shards:")
	if !ok {
		return nil, nil
	}
	list, _, _ = strings.Cut(list, "|")
	sections := []int{}
	for word := range strings.SplitSeq(list, ",") {
		n, err := strconv.Atoi(word)
		if err != nil || n < 0 {
			return nil, bad("illegal_argument_exception", "bad shard [%s] in the preference", word)
		}
		sections = append(sections, n)
	}
	return sections, nil
}

// choice is a set of sections, as a predicate.
type choice struct {
	has  func(int) bool
	pure bool // about sections only
}

var everySection = choice{func(int) bool { return true }, false}

const deepest = 20 // of queries within queries

// walk checks a query and finds the sections that can have hits for it.
func (c *Config) walk(ix *Index, raw json.RawMessage, depth int) (choice, *apiError) {
	var q map[string]json.RawMessage
	if json.Unmarshal(raw, &q) != nil || len(q) != 1 {
		return choice{}, bad("parsing_exception", "[query] malformed: an object with the one name of a query is wanted")
	}
	if depth > deepest {
		return choice{}, bad("illegal_argument_exception", "queries are nested deeper than [%d]", deepest)
	}
	for kind, inside := range q {
		var fields map[string]json.RawMessage
		if json.Unmarshal(inside, &fields) != nil || fields == nil {
			return choice{}, bad("parsing_exception", "[%s] query malformed, no start_object after query name", kind)
		}
		about := fields[c.SectionField]
		switch {
		case kind == "match_none":
			return choice{func(int) bool { return false }, true}, nil
		case kind == "bool":
			return c.walkBool(ix, fields, depth)
		case about != nil && kind == "term":
			return termChoice(about)
		case about != nil && kind == "terms":
			return termsChoice(about)
		case about != nil && kind == "range":
			return rangeChoice(about)
		case !slices.Contains(leafQueries, kind):
			return choice{}, bad("parsing_exception", "unknown query [%s]", kind)
		}
	}
	return everySection, nil
}

func (c *Config) walkBool(ix *Index, clauses map[string]json.RawMessage, depth int) (choice, *apiError) {
	all := choice{func(int) bool { return true }, true}
	for name, raw := range clauses {
		switch name {
		case "minimum_should_match", "boost", "_name", "adjust_pure_negative":
			continue
		case "must", "filter", "should", "must_not":
		default:
			return choice{}, bad("parsing_exception", "[bool] query does not support [%s]", name)
		}
		list := []json.RawMessage{raw}
		if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
			list = nil
			if json.Unmarshal(raw, &list) != nil {
				return choice{}, bad("parsing_exception", "[bool] malformed query")
			}
		}
		for _, clause := range list {
			x, err := c.walk(ix, clause, depth+1)
			if err != nil {
				return choice{}, err
			}
			before := all.has
			switch {
			case name == "must" || name == "filter":
				all.has = func(n int) bool { return before(n) && x.has(n) }
				all.pure = all.pure && x.pure
			case name == "must_not" && x.pure:
				all.has = func(n int) bool { return before(n) && !x.has(n) }
			default:
				all.pure = false
			}
		}
	}
	return all, nil
}

func malformedSection() *apiError {
	return bad("parsing_exception", "sections are whole numbers")
}

func termChoice(raw json.RawMessage) (choice, *apiError) {
	var long struct {
		Value *json.RawMessage `json:"value"`
	}
	if json.Unmarshal(raw, &long) == nil && long.Value != nil {
		raw = *long.Value
	}
	n, err := section(raw)
	return choice{func(x int) bool { return x == n }, true}, err
}

func termsChoice(raw json.RawMessage) (choice, *apiError) {
	var list []json.RawMessage
	if json.Unmarshal(raw, &list) != nil {
		return choice{}, malformedSection()
	}
	var wanted []int
	for _, r := range list {
		n, err := section(r)
		if err != nil {
			return choice{}, err
		}
		wanted = append(wanted, n)
	}
	return choice{func(x int) bool { return slices.Contains(wanted, x) }, true}, nil
}

func rangeChoice(raw json.RawMessage) (choice, *apiError) {
	var bounds map[string]json.RawMessage
	if json.Unmarshal(raw, &bounds) != nil {
		return choice{}, malformedSection()
	}
	ch := choice{func(int) bool { return true }, true}
	for name, r := range bounds {
		n, err := section(r)
		before := ch.has
		switch name {
		case "gte":
			ch.has = func(x int) bool { return before(x) && x >= n }
		case "gt":
			ch.has = func(x int) bool { return before(x) && x > n }
		case "lte":
			ch.has = func(x int) bool { return before(x) && x <= n }
		case "lt":
			ch.has = func(x int) bool { return before(x) && x < n }
		case "boost":
			err = nil
		default:
			err = bad("parsing_exception", "[range] query does not support [%s]", name)
		}
		if err != nil {
			return choice{}, err
		}
	}
	return ch, nil
}

// section reads a section's number, which clients also write as a string.
func section(raw json.RawMessage) (int, *apiError) {
	n, err := strconv.Atoi(strings.Trim(string(raw), `"`))
	if err != nil {
		return 0, malformedSection()
	}
	return n, nil
}
