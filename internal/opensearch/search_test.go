package opensearch_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"harepass/internal/test/fake"
)

// The shards that a search needs follow from its query and its preference. Replicas receive it for these shards only.
func TestSearchNeedsShardsOfQueryAndPreference(t *testing.T) {
	for _, tc := range []struct{ params, body, want string }{
		{"", "", "[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"match_all":{}}}`, "[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"term":{"section":3}}}`, "[3]"},
		{"", `{"query":{"term":{"section":{"value":"3"}}}}`, "[3]"},
		{"", `{"query":{"range":{"section":{"gt":2,"lte":4}}}}`, "[3 4]"},
		{"", `{"query":{"bool":{"filter":[{"range":{"section":{"gte":7}}},{"match":{"surface":"powder"}}],` +
			`"must_not":{"term":{"section":8}}}}}`, "[7 9]"},
		{"", `{"query":{"bool":{"should":[{"term":{"section":1}}],"must_not":[{"match":{"surface":"ice"}}]}}}`,
			"[0 1 2 3 4 5 6 7 8 9]"},
		{"", `{"query":{"match_none":{}}}`, "[]"},
		{"&preference=_shards:4,2", `{"query":{"range":{"section":{"lt":4}}}}`, "[2]"},
		{"&preference=_local", `{"query":{"term":{"section":6}}}`, "[6]"},
		{"&q=powder", "", "[0 1 2 3 4 5 6 7 8 9]"},
	} {
		withAPIFront(t, served, func(fx *frontFixture) {
			status, _, data := fx.do("GET", "/trails/_search?size=100"+tc.params, tc.body, nil)
			var a searchAnswer
			if err := json.Unmarshal(data, &a); err != nil || status != 200 || a.TimedOut {
				t.Fatalf("%s: status %d, answer %s; want a complete answer", tc.body, status, data)
			}
			var got []int
			for _, h := range a.Hits.Hits {
				got = append(got, h.Source.Section)
			}
			slices.Sort(got)
			if fmt.Sprint(got) != tc.want || a.Shards.Total != len(got) {
				t.Errorf("%s %s: shards %v of %d, want %s", tc.params, tc.body, got, a.Shards.Total, tc.want)
			}
		})
	}
}

// A page of hits is cut from the hits of all shards, and each replica is asked for all hits that could be on the page.
func TestPageIsCutFromHitsOfAllShards(t *testing.T) {
	withAPIFront(t, served, func(fx *frontFixture) {
		_, _, data := fx.do("POST", "/_search?from=2", `{"size":3,"query":{"match_all":{}}}`, nil)
		var a searchAnswer
		if err := json.Unmarshal(data, &a); err != nil || len(a.Hits.Hits) != 3 || a.Hits.Total.Value != shards ||
			a.Hits.Hits[0].ID != "d2" {
			t.Errorf("answer %s, want a page of 3 hits from d2 on", data)
		}
		const want = "POST /conditions/_search?preference=_shards:"
		if seen := fx.fleet.Received(); len(seen) != shards || !strings.HasPrefix(seen[0], want) {
			t.Errorf("replicas received %q, want one search for each shard", seen)
		}
	})
}

// Replicas fail all attempts of some shards. The class requires 70% of the weight: the shards' weights count, not the
// number of shards. A client that accepts no partial answer is rejected whichever shard is missing.
func TestMinimumFractionGoesByShardWeights(t *testing.T) {
	for _, tc := range []struct {
		name           string
		heavy          float64 // weight of shard 0
		partialAllowed string
		failed         []int
		status         int
	}{
		{"three light ones of ten failed", 1, "true", []int{1, 2, 3}, 200},
		{"a heavy one failed", 5, "true", []int{0}, 429},
		{"four light ones failed beside a heavy one", 5, "true", []int{1, 2, 3, 4}, 200},
		{"one failed where none may be", 1, "false", []int{1}, 429},
		{"none failed where none may be", 1, "false", nil, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withAPIFront(t, firstAttempts(99, fake.Fail, tc.failed...), func(fx *frontFixture) {
				fx.setWeight("conditions", 0, tc.heavy)
				target := "/conditions/_search?allow_partial_search_results=" + tc.partialAllowed
				status, h, data := fx.do("GET", target, "", nil)
				if status != tc.status {
					t.Fatalf("status %d, answer %s; want status %d", status, data, tc.status)
				}
				if status == 429 {
					if h.Get("Retry-After") != "1" {
						t.Errorf("Retry-After is %q, want 1", h.Get("Retry-After"))
					}
					return
				}
				var a searchAnswer
				if err := json.Unmarshal(data, &a); err != nil || a.TimedOut != (len(tc.failed) > 0) ||
					a.Shards.Failed != len(tc.failed) || a.Shards.Successful != shards-len(tc.failed) {
					t.Errorf("unexpected completeness or shard counts: %s", data)
				}
			})
		})
	}
}

// A page whose bounds alone are beyond the result window is refused with 400, even if their sum overflows, and the
// process continues.
func TestPageBeyondResultWindowIsRefused(t *testing.T) {
	for _, tc := range []struct{ params, body string }{
		{"?from=9223372036854775807", ""},
		{"?size=9223372036854775807", ""},
		{"?from=9999999999999999999999", ""},
		{"?from=-9999999999999999999999", ""},
		{"?from=9223372036854775807&size=9223372036854775807", ""},
		{"", `{"from":5000000000000000000,"size":5000000000000000000}`},
		{"", `{"from":"9223372036854775800","size":10}`},
		{"?from=10001&size=0", ""},
		{"?from=9991&size=10", ""},
	} {
		withAPIFront(t, served, func(fx *frontFixture) {
			if status, _, data := fx.do("POST", "/trails/_search"+tc.params, tc.body, nil); status != 400 {
				t.Errorf("%s %s: status %d, answer %s; want status 400", tc.params, tc.body, status, data)
			}
			if seen := fx.fleet.Received(); len(seen) > 0 {
				t.Errorf("%s %s: replicas received %q, want nothing", tc.params, tc.body, seen)
			}
			if status, _, data := fx.do("GET", "/trails/_search?from=9990", "", nil); status != 200 {
				t.Errorf("largest page: status %d, answer %s; want status 200", status, data)
			}
		})
	}
}
