package opensearch

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// search is a client's search of an index: which shards it needs, and what their replicas receive.
type search struct {
	index          *Index
	sectionField   string        // field of a document that names its section
	shards         []int         // shards that can have hits, in ascending order
	from           int           // hits before the requested page
	size           int           // hits on the requested page
	partialAllowed bool          // the client accepts an answer that lacks shards
	timeout        time.Duration // time-out that the client gave; 0 if it gave none

	body           []byte // search that each replica receives
	firstPhaseBody []byte // search of the first phase; nil if the index has none
	versionedBody  []byte // body that also requests the shard's version; nil if the index has no first phase
	cacheable      bool   // nothing but a shard's documents decides the shard's answer to body; false without first phase
}

const (
	defaultSize     = 10    // hits on a page if the client gives no size; the API's own default
	maxResultWindow = 10000 // the largest from + size; the API's own default
)

// searchParams are the URL parameters that have an effect on a search; Handle reads pretty.
var searchParams = []string{"q", "from", "size", "timeout", "allow_partial_search_results", "preference", "pretty"}

// ignoredSearchParams are the URL parameters that clients of the API send with a search by habit. They are accepted
// without effect: a search names one index, without wildcards, has no aggregations, and requests an exact number of
// hits only by track_total_hits in its body.
var ignoredSearchParams = []string{"track_total_hits", "ignore_unavailable", "allow_no_indices", "expand_wildcards",
	"typed_keys"}

// searchKeys are the keys that the body of a search may have. Aggregations are not among them, so a client's
// aggregations cannot collide with those of the first phase.
var searchKeys = []string{"query", "from", "size", "timeout", "track_total_hits", "_source"}

// parseSearch parses a search of an index from its parameters and body. Its errors are for the client.
func (c *Config) parseSearch(ix *Index, params url.Values, data []byte) (*search, error) {
	s := &search{index: ix, sectionField: c.SectionField, size: defaultSize, partialAllowed: true}
	body, err := searchBody(params, data)
	if err != nil {
		return nil, err
	}
	if err := s.selectShards(params, body["query"]); err != nil {
		return nil, err
	}
	if err := s.parseOptions(params, body); err != nil {
		return nil, err
	}
	// Each replica has to return every hit that could be on the requested page.
	body["from"], body["size"] = json.RawMessage("0"), json.RawMessage(strconv.Itoa(s.from+s.size))
	delete(body, "timeout")        // each attempt has its own, as a URL parameter
	s.body, _ = json.Marshal(body) // raw values of decoded JSON: cannot fail
	if ix.TwoPhase != nil {
		s.firstPhaseBody, s.versionedBody = twoPhaseBodies(ix.TwoPhase.VersionField, body)
		s.cacheable = isCacheableSearch(body)
	}
	return s, nil
}

// searchBody parses the body of a search. The result always has a query: the parameter q overrides the body's query,
// and a search without a query matches all documents.
func searchBody(params url.Values, data []byte) (map[string]json.RawMessage, error) {
	body := map[string]json.RawMessage{}
	if len(bytes.TrimSpace(data)) > 0 {
		if err := json.Unmarshal(data, &body); err != nil || body == nil {
			return nil, badRequestf(typeParsing, "the body is no JSON object")
		}
	}
	for key := range body {
		if !slices.Contains(searchKeys, key) {
			return nil, badRequestf(typeParsing, "unknown key [%s] in a search", key)
		}
	}
	if q := params.Get("q"); q != "" {
		query := map[string]any{"query_string": map[string]string{"query": q}}
		body["query"], _ = json.Marshal(query) // strings only: cannot fail
	}
	if body["query"] == nil {
		body["query"] = json.RawMessage(`{"match_all":{}}`)
	}
	return body, nil
}

// selectShards sets the shards of the index that the query can match and the preference allows.
func (s *search) selectShards(params url.Values, query json.RawMessage) error {
	matched, err := parseQuery(s.sectionField, query, 0)
	if err != nil {
		return err
	}
	preferred, err := parsePreference(params.Get("preference"))
	if err != nil {
		return err
	}
	for shard := s.index.ShardRange[0]; shard <= s.index.ShardRange[1]; shard++ {
		if matched.contains(shard) && (preferred == nil || slices.Contains(preferred, shard)) {
			s.shards = append(s.shards, shard)
		}
	}
	return nil
}

// parsePreference returns the shards that a preference of the form _shards:1,2 names, or nil, meaning all shards, for
// any other preference. Other preferences choose among replicas, which the coordinator does itself.
func parsePreference(v string) ([]int, error) {
	list, ok := strings.CutPrefix(v, "_shards:")
	if !ok {
		return nil, nil
	}
	list, _, _ = strings.Cut(list, "|")
	shards := []int{}
	for number := range strings.SplitSeq(list, ",") {
		shard, err := strconv.Atoi(number)
		if err != nil || shard < 0 {
			return nil, badRequestf(typeIllegalArgument, "bad shard [%s] in the preference", number)
		}
		shards = append(shards, shard)
	}
	return shards, nil
}

// parseOptions reads options from the parameters or, if not there, from the body.
func (s *search) parseOptions(params url.Values, body map[string]json.RawMessage) error {
	get := func(key string) string {
		if params.Has(key) {
			return params.Get(key)
		}
		return strings.Trim(string(body[key]), `"`)
	}
	var err error
	if s.from, err = parseWindowBound("from", get("from"), 0); err != nil {
		return err
	}
	if s.size, err = parseWindowBound("size", get("size"), defaultSize); err != nil {
		return err
	}
	if s.from+s.size > maxResultWindow {
		return errResultWindow()
	}
	if s.timeout, err = parseTimeout(get("timeout")); err != nil {
		return err
	}
	switch v := params.Get("allow_partial_search_results"); v {
	case "", "true":
	case "false":
		s.partialAllowed = false
	default:
		return badRequestf(typeIllegalArgument, "failed to parse value [%s] as only [true] or [false] are allowed", v)
	}
	return nil
}

// parseWindowBound parses a bound of the result window, from or size; fallback is the value if the client gives none. A
// bound may be at most maxResultWindow, so that the sum of two bounds cannot overflow.
func parseWindowBound(key, v string, fallback int) (int, error) {
	if v == "" {
		return fallback, nil
	}
	n, err := strconv.Atoi(v)
	switch {
	case errors.Is(err, strconv.ErrRange) && !strings.HasPrefix(v, "-"), err == nil && n > maxResultWindow:
		return 0, errResultWindow()
	case err != nil || n < 0:
		return 0, badRequestf(typeIllegalArgument, "[%s] parameter cannot be [%s]", key, v)
	}
	return n, nil
}

// errResultWindow is the error of a search for hits beyond the result window.
func errResultWindow() error {
	return badRequestf(typeIllegalArgument, "result window is too large: from + size is over [%d]", maxResultWindow)
}

// maxTimeout bounds a client's time-out, so that no number of units overflows. A class's deadline is far below it.
const maxTimeout = 24 * time.Hour

// timeUnits are the units of the API's time values. A suffix comes before any shorter suffix in which it ends: 12ms
// ends in both ms and s, so ms is tried first.
var timeUnits = []struct {
	suffix string
	unit   time.Duration
}{
	{"nanos", time.Nanosecond}, {"micros", time.Microsecond}, {"ms", time.Millisecond}, {"s", time.Second},
	{"m", time.Minute}, {"h", time.Hour}, {"d", 24 * time.Hour},
}

// parseTimeout parses a time-out in the form of the API. It returns 0 if the client gave none.
func parseTimeout(v string) (time.Duration, error) {
	if v == "" || v == "-1" {
		return 0, nil
	}
	for _, u := range timeUnits {
		if number, ok := strings.CutSuffix(v, u.suffix); ok {
			n, err := strconv.ParseUint(number, 10, 32)
			if err != nil || n == 0 {
				break
			}
			// The result exceeds maxTimeout by at most one unit: 4000000000d, whose nanoseconds overflow, becomes 2d.
			return min(time.Duration(n), maxTimeout/u.unit+1) * u.unit, nil
		}
	}
	return 0, badRequestf(typeIllegalArgument,
		"failed to parse setting [timeout] with value [%s] as a time value: unit is missing or unrecognized", v)
}
