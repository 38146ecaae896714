package opensearch_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

// result is what a client observes of an answer, in one form for both fronts.
type result struct {
	Verdict    string // complete, partial, rejected or failed
	Shards     []int  // in the answer
	Values     []string
	RetryAfter string // the header
	Latency    time.Duration
	Runs       []int // how often replicas executed the part, for each shard of the query
}

// verdicts are the verdicts on served queries, by whether the answer is complete.
var verdicts = map[bool]string{true: "complete", false: "partial"}

// query sends a query in the protocol of the scheme's front.
func (fx *frontFixture) query(scheme, class string, shards []int, timeout time.Duration) (r result) {
	startedAt := time.Now()
	if scheme == opensearch.Scheme {
		r = fx.queryAPI(class, shards, timeout)
	} else {
		r = fx.queryPlatform(class, shards, timeout)
	}
	r.Latency = time.Since(startedAt)
	slices.Sort(r.Shards)
	slices.Sort(r.Values)
	time.Sleep(10 * time.Second) // long enough for any attempt that should not be made
	for _, s := range shards {
		r.Runs = append(r.Runs, fx.fleet.Executions(s))
	}
	return r
}

// queryPlatform sends a query in the platform's protocol.
func (fx *frontFixture) queryPlatform(class string, shards []int, timeout time.Duration) (r result) {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(shards))))
	}
	body := `{"slices":[` + strings.Join(parts, ",") + `],"filter":"c41e77d0"}`
	status, h, data := fx.do("POST", "/api", body, map[string]string{
		"X-Call-Id": "9b1f03aa5c7e2d41", "X-Call-Class": class, "X-Budget": fmt.Sprintf("%dm", timeout.Milliseconds())})
	switch status {
	case 200:
	case 429:
		return result{Verdict: "rejected", RetryAfter: h.Get("Retry-After")}
	default:
		return result{Verdict: "failed"}
	}
	var a struct {
		Entire bool
		Items  []struct {
			Slice int
			Body  string
		}
	}
	if err := json.Unmarshal(data, &a); err != nil {
		fx.t.Fatal(err)
	}
	r.Verdict = verdicts[a.Entire]
	for _, it := range a.Items {
		r.Shards, r.Values = append(r.Shards, it.Slice), append(r.Values, it.Body)
	}
	return r
}

// queryAPI sends a query through the API: a report, or a search of the class's index.
func (fx *frontFixture) queryAPI(class string, shards []int, timeout time.Duration) result {
	var status int
	var h http.Header
	var data []byte
	if class == "hazard-report" {
		status, h, data = fx.do("POST", fmt.Sprintf("/hazards/_doc?timeout=%dms", timeout.Milliseconds()),
			fmt.Sprintf(`{"section":%d,"pin":"cornice"}`, shards[0]), nil)
	} else {
		index := map[string]string{"route-lookup": "trails", "conditions-summary": "conditions"}[class]
		list, _ := json.Marshal(shards)
		status, h, data = fx.do("POST", fmt.Sprintf("/%s/_search?timeout=%dms&size=100", index, timeout.Milliseconds()),
			`{"query":{"terms":{"section":`+string(list)+`}}}`, nil)
	}
	switch status {
	case 200:
		return fx.searchResult(data)
	case 201:
		return result{Verdict: "complete", Shards: shards, Values: []string{fmt.Sprintf("v%d", shards[0])}}
	case 429:
		return result{Verdict: "rejected", RetryAfter: h.Get("Retry-After")}
	case 500:
		return result{Verdict: "failed"}
	}
	fx.t.Fatalf("unexpected status %d: %s", status, data)
	return result{}
}

// searchResult parses the answer to a search. Some clients recognize a partial answer by timed_out, others by the
// failed shards, so both must mark it.
func (fx *frontFixture) searchResult(data []byte) (r result) {
	var a searchAnswer
	if err := json.Unmarshal(data, &a); err != nil {
		fx.t.Fatal(err)
	}
	complete := !a.TimedOut && a.Shards.Failed == 0 && a.Shards.Successful == a.Shards.Total
	if !complete && (!a.TimedOut || a.Shards.Failed == 0 || len(a.Shards.Failures) != a.Shards.Failed) {
		fx.t.Errorf("partial answer looks complete to some clients: %s", data)
	}
	r.Verdict = verdicts[complete]
	for _, h := range a.Hits.Hits {
		r.Shards, r.Values = append(r.Shards, h.Source.Section), append(r.Values, h.Source.Body)
	}
	if a.Hits.Total.Value != len(r.Shards) || a.Shards.Successful != len(r.Shards) {
		fx.t.Errorf("counts do not match the hits: %s", data)
	}
	return r
}

// parityCase is a query and its expected result at both fronts.
type parityCase struct {
	name        string
	class       string
	shards      []int
	timeout     time.Duration
	script      func(shard, try int) fake.Reply
	unreachable int // replicas that refuse connections

	verdict    string
	answered   int           // shards in the answer
	maxLatency time.Duration // of the final answer
	runs       int           // executions of the first shard's part; -1 for any number
}

var parityCases = []parityCase{
	{"route served", "route-lookup", []int{1, 2, 3}, 3 * time.Second, served, 0,
		"complete", 3, 200 * ms, 1},
	{"route after an error", "route-lookup", []int{1, 2, 3}, 3 * time.Second, firstAttempts(1, fake.Fail, 1), 0,
		"complete", 3, 500 * ms, 2},
	{"route after a rejection", "route-lookup", []int{1, 2, 3}, 3 * time.Second, firstAttempts(1, fake.Reject, 1), 0,
		"complete", 3, 600 * ms, 1},
	{"route after a reset", "route-lookup", []int{1, 2, 3}, 3 * time.Second, firstAttempts(1, fake.Disconnect, 1), 0,
		"complete", 3, time.Second, 2},
	{"route never complete", "route-lookup", []int{1, 2, 3}, 3 * time.Second, firstAttempts(9, fake.Fail, 1), 0,
		"rejected", 0, 3 * time.Second, -1},
	{"route out of time", "route-lookup", []int{1, 2, 3}, 120 * ms, served, 0,
		"rejected", 0, 120 * ms, -1},
	{"route with a silent replica", "route-lookup", []int{1, 2}, 3 * time.Second, firstAttempts(9, fake.NoReply, 1), 0,
		"rejected", 0, 3 * time.Second, -1},
	{"route with an unreachable replica", "route-lookup", []int{1, 2, 3}, 3 * time.Second, served, 1,
		"complete", 3, 600 * ms, 1},
	{"all replicas unreachable", "route-lookup", []int{1}, 3 * time.Second, served, 3,
		"rejected", 0, 3 * time.Second, 0},
	{"conditions complete", "conditions-summary", allShards(), 5 * time.Second, served, 0,
		"complete", shards, 200 * ms, 1},
	{"conditions of eight in ten", "conditions-summary", allShards(), 5 * time.Second,
		firstAttempts(9, fake.NoReply, 0, 5), 0, "partial", 8, 1500 * ms, -1},
	{"conditions of seven in ten", "conditions-summary", allShards(), 5 * time.Second,
		firstAttempts(9, fake.Fail, 0, 4, 5), 0, "partial", 7, 1500 * ms, -1},
	{"conditions of six in ten", "conditions-summary", allShards(), 5 * time.Second,
		firstAttempts(9, fake.Fail, 0, 4, 5, 6), 0, "rejected", 0, 5 * time.Second, -1},
	{"hazard stored", "hazard-report", []int{4}, 5 * time.Second, served, 0,
		"complete", 1, 200 * ms, 1},
	{"hazard after rejections", "hazard-report", []int{4}, 5 * time.Second, firstAttempts(2, fake.Reject, 4), 0,
		"complete", 1, 1500 * ms, 1},
	{"hazard after an error", "hazard-report", []int{4}, 5 * time.Second, firstAttempts(1, fake.Fail, 4), 0,
		"failed", 0, 5 * time.Second, 1},
	{"hazard after a reset", "hazard-report", []int{4}, 5 * time.Second, firstAttempts(1, fake.Disconnect, 4), 0,
		"failed", 0, 5 * time.Second, 1},
	{"hazard never answered", "hazard-report", []int{4}, 5 * time.Second, firstAttempts(1, fake.NoReply, 4), 0,
		"failed", 0, 5 * time.Second, 1},
	{"hazard with all replicas unreachable", "hazard-report", []int{4}, 5 * time.Second, served, 3,
		"rejected", 0, 5 * time.Second, 0},
}

// Both fronts receive the same table of queries. Answers, rejections, their latencies, and the parts that replicas
// execute must not differ, whichever protocol a client and the replicas speak.
func TestFrontsAnswerAlike(t *testing.T) {
	for _, tc := range parityCases {
		t.Run(tc.name, func(t *testing.T) {
			var got [2]result
			for i, scheme := range []string{platform.Scheme, opensearch.Scheme} {
				synctest.Test(t, func(t *testing.T) {
					fx := newFrontFixture(t, scheme, tc.script, tc.unreachable)
					got[i] = fx.query(scheme, tc.class, tc.shards, tc.timeout)
					fx.close()
				})
			}
			if !reflect.DeepEqual(got[0], got[1]) {
				t.Errorf("platform %+v\n     api %+v", got[0], got[1])
			}
			r := got[0]
			if r.Verdict != tc.verdict || len(r.Shards) != tc.answered || r.Latency > tc.maxLatency ||
				tc.runs >= 0 && r.Runs[0] != tc.runs {
				t.Errorf("result %+v, want %s with %d shards within %v, first part executed %d times",
					r, tc.verdict, tc.answered, tc.maxLatency, tc.runs)
			}
		})
	}
}
