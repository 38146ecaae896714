package opensearch

import (
	"net/url"
	"testing"
)

// Searches whose answers may be cached, because a shard's documents alone decide them.
var cacheableSearches = []string{
	``,
	`{"query":{"match_all":{"boost":2}},"from":10,"size":5,"track_total_hits":true,"_source":["name"],"timeout":"1s"}`,
	`{"query":{"match":{"text":"know the snow"}}}`,
	`{"query":{"match":{"text":{"query":"snow","operator":"and"}}}}`,
	`{"query":{"term":{"open":{"value":true,"boost":2}}}}`,
	`{"query":{"terms":{"resort":["teine","furano"],"boost":2}}}`,
	`{"query":{"range":{"noted_at":{"gte":1764806400000,"lt":"2026-12-04||+1d/d","format":"strict_date_optional_time"}}}}`,
	`{"query":{"ids":{"values":["a","b"]}}}`,
	`{"query":{"exists":{"field":"noted_at"}}}`,
	`{"query":{"multi_match":{"query":"snow","fields":["text","name^2"]}}}`,
	`{"query":{"geo_distance":{"distance":"2km","at":{"lat":43.1,"lon":141.2}}}}`,
	`{"query":{"geo_bounding_box":{"at":{"top_left":[141,44],"bottom_right":[142,43]},"validation_method":"STRICT"}}}`,
	`{"query":{"geo_shape":{"area":{"shape":{"type":"point","coordinates":[141.2,43.1]},"relation":"intersects"}}}}`,
	`{"query":{"bool":{"must":{"term":{"open":true}},"must_not":[{"prefix":{"name":"old"}}],"minimum_should_match":0}}}`,
}

// Searches whose answers the clock, another document or something unknown may decide.
var uncacheableSearches = []string{
	`{"query":{"range":{"noted_at":{"gte":"now-20s"}}}}`,
	`{"query":{"range":{"noted_at":{"gte":0,"lt":" Now/d"}}}}`,
	`{"query":{"range":{"noted_at":{"gte":"\u006eow-1d"}}}}`,
	`{"query":{"term":{"noted_at":"now/d"}}}`,
	`{"query":{"term":{"noted_at":{"value":"now/d"}}}}`,
	`{"query":{"terms":{"noted_at":["2026-12-04","now/d"]}}}`,
	`{"query":{"match":{"noted_at":{"query":"now/d"}}}}`,
	`{"query":{"match_phrase":{"noted_at":"now/d"}}}`,
	`{"query":{"multi_match":{"query":"now/d","fields":["noted_at"]}}}`,
	`{"query":{"query_string":{"query":"noted_at:[now-1d TO now]"}}}`,
	`{"query":{"query_string":{"query":"open:true"}}}`,
	`{"query":{"simple_query_string":{"query":"now","fields":["noted_at"]}}}`,
	`{"query":{"terms":{"resort":{"index":"resorts","id":"1","path":"names"}}}}`,
	`{"query":{"terms":{"resort":["teine"],"value_type":"bitmap"}}}`,
	`{"query":{"geo_shape":{"area":{"indexed_shape":{"index":"areas","id":"teine"}}}}}`,
	`{"query":{"geo_shape":{"area":{"shape":{"type":"point","source":"teine"}}}}}`,
	`{"query":{"match_all":{"seed":"clock"}}}`,
	`{"query":{"range":{"noted_at":{"gte":0,"shifted_by":"1d"}}}}`,
	`{"query":{"bool":{"should":[{"match_all":{}},{"bool":{"filter":{"term":{"noted_at":"now/d"}}}}]}}}`,
}

// A cached answer is given out until a document of its shard changes. Answers that anything else decides, such as the
// clock, must not be cached (review/2).
func TestOnlySearchesDecidedByDocumentsAreCacheable(t *testing.T) {
	c := &Config{SectionField: "section"}
	ix := &Index{name: "conditions", ShardRange: []int{0, 3}, TwoPhase: &TwoPhase{VersionField: "updated"}}
	check := func(params url.Values, body string, want bool) {
		t.Helper()
		if s, err := c.parseSearch(ix, params, []byte(body)); err != nil {
			t.Errorf("%s: %v", body, err)
		} else if s.cacheable != want {
			t.Errorf("%s %v: cacheable is %t, want %t", body, params, s.cacheable, want)
		}
	}
	for _, body := range cacheableSearches {
		check(nil, body, true)
	}
	for _, body := range uncacheableSearches {
		check(nil, body, false)
	}
	check(url.Values{"q": {"noted_at:>now-1d"}}, "", false)
}

// A kind of query that the front accepts but that no table lists is not cached.
func TestUnknownKindOfQueryIsNotCacheable(t *testing.T) {
	for _, query := range []string{`{"script":{"source":"true"}}`, `{"match_all":{},"script":{}}`, `[]`, ``} {
		if isCacheableQuery([]byte(query)) {
			t.Errorf("%s is cacheable", query)
		}
	}
}
