package opensearch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/http1"
	"harepass/internal/opensearch"
	"harepass/internal/platform"
	"harepass/internal/test/fake"
)

const (
	ms     = time.Millisecond
	cells  = 3
	shards = 10
)

func settings() scatter.Settings {
	return scatter.Settings{Coordinators: 1, RingSize: cells, ReplicationFactor: cells, PartsPerCall: 1, TickInterval: 5 * ms, MaxAttempts: 4, Cancellation: true,
		RetryAfter: time.Second, Classes: []scatter.Class{
			{Name: "route-lookup", LatencyObjective: 1500 * ms, Deadline: 3000 * ms, PriorityWeight: 1, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1},
			{Name: "hazard-report", LatencyObjective: 1500 * ms, Deadline: 5000 * ms, PriorityWeight: 2, LateWeight: 0.1, Idempotency: scatter.NonIdempotent, CompleteFraction: 1, MinFraction: 1},
			{Name: "conditions-summary", LatencyObjective: 1500 * ms, Deadline: 5000 * ms, PriorityWeight: 3, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7},
		}}
}

func config(t *testing.T) *opensearch.Config {
	c := &opensearch.Config{Listen: "front", SectionField: "section", All: "conditions", Indices: map[string]*opensearch.Index{
		"trails": {Class: "route-lookup"}, "conditions": {Class: "conditions-summary"}, "hazards": {Class: "hazard-report", Reports: true}}}
	if err := c.Check(settings(), shards); err != nil {
		t.Fatal(err)
	}
	return c
}

// world is a coordinator with one front before nodes of one kind, on a clock and a network of the test's.
type world struct {
	t      *testing.T
	net    fake.Net
	fleet  *fake.Fleet
	owner  *core.Coordinator
	config *opensearch.Config
	client *http.Client
	ends   []func()
}

func newWorld(t *testing.T, api bool, script func(shard, try int) fake.Reply, down int) *world {
	w := &world{t: t, net: fake.Net{HalfClose: true}, fleet: &fake.Fleet{Script: script}}
	clock := core.SystemClock()
	c := config(t)
	frames := &platform.Caller{CallsPerConn: 32, ConnectTimeout: 250 * ms, ResponseTimeout: 300 * ms, KeepAlive: 30 * time.Second, Dial: w.net.Dial}
	calls := &opensearch.Caller{Config: c, ConnectTimeout: 250 * ms, KeepAlive: 30 * time.Second, Dial: w.net.Dial}
	owner, err := core.New(core.Config{Seed: 1, Settings: settings(), Limits: core.Limits{MaxOpen: 200}, Clock: clock,
		Callers: map[string]core.Caller{platform.Scheme: frames, opensearch.Scheme: calls}, Subscribe: func() {}, PolledSource: "test"})
	if err != nil {
		t.Fatal(err)
	}
	w.config = c
	w.owner, frames.Reporter, calls.Reporter = owner, owner, owner
	go owner.Run()
	var nodes []core.Endpoint
	for i := range cells {
		address := "node" + strconv.Itoa(i)
		n := core.Endpoint{Replica: scatter.Replica{ID: address, RingPosition: i}, Address: address, Scheme: platform.Scheme}
		if api {
			n.Scheme = opensearch.Scheme
		}
		nodes = append(nodes, n)
		if i < down {
			continue
		}
		l := w.net.Listen(address)
		w.ends = append(w.ends, func() { l.Close() })
		if api {
			go w.fleet.API(l)
		} else {
			go w.fleet.Frames(l)
		}
	}
	owner.UpdateEndpoints("test", scatter.FullUpdate, nodes)
	s := &http1.Server{Handler: (&platform.Front{Coordinator: owner, Clock: clock}).Handle, Limits: http1.DefaultLimits}
	if api {
		s = &http1.Server{Handler: (&opensearch.Front{Config: c, Coordinator: owner, Clock: clock}).Handle, ErrorAnswer: opensearch.ErrorResponse,
			Limits: http1.DefaultLimits}
	}
	l := w.net.Listen("front")
	go s.Serve(l)
	tr := &http.Transport{}
	tr.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return w.net.Dial(ctx, "front") }
	w.client = &http.Client{Transport: tr}
	w.ends = append(w.ends, func() {
		tr.CloseIdleConnections()
		l.Close()
		s.Shutdown()
		owner.Stop()
		frames.Close()
		calls.Close()
	})
	synctest.Wait()
	return w
}

// weigh gives a section of an index another weight than 1.
func (w *world) weigh(index string, section int, weight float64) {
	w.config.Indices[index].Weights = map[int]float64{section: weight}
}

func (w *world) close() {
	for _, end := range slices.Backward(w.ends) {
		end()
	}
	synctest.Wait()
}

func (w *world) do(method, path, body string, header map[string]string) (status int, h http.Header, answer []byte) {
	w.t.Helper()
	req, err := http.NewRequest(method, "http://front"+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := w.client.Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	defer res.Body.Close()
	if answer, err = io.ReadAll(res.Body); err != nil {
		w.t.Fatal(err)
	}
	return res.StatusCode, res.Header, answer
}

// result is what a client can tell of an answer, in the same words on both fronts.
type result struct {
	Verdict  string // whole, part, refused or failed
	Sections []int
	Values   []string
	Retry    string
	After    time.Duration
	Runs     []int // of each shard asked for
}

// ask sends a query by the native protocol or by the API.
func (w *world) ask(api bool, class string, sections []int, budget time.Duration) (r result) {
	began := time.Now()
	if api {
		r = w.askAPI(class, sections, budget)
	} else {
		r = w.askNative(class, sections, budget)
	}
	r.After = time.Since(began)
	slices.Sort(r.Sections)
	slices.Sort(r.Values)
	time.Sleep(10 * time.Second) // whatever should not come would have come
	for _, s := range sections {
		r.Runs = append(r.Runs, w.fleet.Runs(s))
	}
	return r
}

func (w *world) askNative(class string, sections []int, budget time.Duration) (r result) {
	var parts []string
	for _, s := range sections {
		parts = append(parts, fmt.Sprintf(`{"slice":%d,"mass":%g}`, s, 1/float64(len(sections))))
	}
	status, h, data := w.do("POST", "/api", `{"slices":[`+strings.Join(parts, ",")+`],"filter":"c41e77d0"}`, map[string]string{
		"X-Call-Id": "9b1f03aa5c7e2d41", "X-Call-Class": class, "X-Budget": fmt.Sprintf("%dm", budget.Milliseconds())})
	switch status {
	case 200:
	case 429:
		return result{Verdict: "refused", Retry: h.Get("Retry-After")}
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
		w.t.Fatal(err)
	}
	r.Verdict = map[bool]string{true: "whole", false: "part"}[a.Entire]
	for _, it := range a.Items {
		r.Sections, r.Values = append(r.Sections, it.Slice), append(r.Values, it.Body)
	}
	return r
}

func (w *world) askAPI(class string, sections []int, budget time.Duration) (r result) {
	var status int
	var h http.Header
	var data []byte
	if class == "hazard-report" {
		status, h, data = w.do("POST", fmt.Sprintf("/hazards/_doc?timeout=%dms", budget.Milliseconds()),
			fmt.Sprintf(`{"section":%d,"pin":"cornice"}`, sections[0]), nil)
	} else {
		index := map[string]string{"route-lookup": "trails", "conditions-summary": "conditions"}[class]
		list, _ := json.Marshal(sections)
		status, h, data = w.do("POST", fmt.Sprintf("/%s/_search?timeout=%dms&size=100", index, budget.Milliseconds()),
			`{"query":{"terms":{"section":`+string(list)+`}}}`, nil)
	}
	switch status {
	case 200, 201:
	case 429:
		return result{Verdict: "refused", Retry: h.Get("Retry-After")}
	case 500:
		return result{Verdict: "failed"}
	default:
		w.t.Fatalf("status %d: %s", status, data)
	}
	if status == 201 {
		return result{Verdict: "whole", Sections: sections, Values: []string{fmt.Sprintf("v%d", sections[0])}}
	}
	var a answer
	if err := json.Unmarshal(data, &a); err != nil {
		w.t.Fatal(err)
	}
	whole := !a.TimedOut && a.Shards.Failed == 0 && a.Shards.Successful == a.Shards.Total
	if !whole && (!a.TimedOut || a.Shards.Failed == 0 || len(a.Shards.Failures) != a.Shards.Failed) {
		w.t.Errorf("an answer in part that looks whole to some clients: %s", data)
	}
	r.Verdict = map[bool]string{true: "whole", false: "part"}[whole]
	for _, h := range a.Hits.Hits {
		r.Sections, r.Values = append(r.Sections, h.Source.Section), append(r.Values, h.Source.Body)
	}
	if a.Hits.Total.Value != len(r.Sections) || a.Shards.Successful != len(r.Sections) {
		w.t.Errorf("counts do not fit: %s", data)
	}
	return r
}

type answer struct {
	Took     int  `json:"took"`
	TimedOut bool `json:"timed_out"`
	Shards   struct {
		Total, Successful, Skipped, Failed int
		Failures                           []json.RawMessage
	} `json:"_shards"`
	Hits struct {
		Total struct{ Value int }
		Hits  []struct {
			ID     string `json:"_id"`
			Source struct {
				Section int
				Body    string
			} `json:"_source"`
		}
	}
}

func all() (list []int) {
	for s := range shards {
		list = append(list, s)
	}
	return list
}

// after staggers the nodes' replies, so that no two come at once and both paths see the same order.
func after(shard int) time.Duration { return 150*ms + time.Duration(shard)*ms }

func serve(shard int) fake.Reply { return fake.Reply{Kind: fake.Serve, After: after(shard)} }

// first has the given shards go another way at their first tries.
func first(tries int, kind fake.Kind, odd ...int) func(shard, try int) fake.Reply {
	return func(shard, try int) fake.Reply {
		if slices.Contains(odd, shard) && try < tries {
			return fake.Reply{Kind: kind, After: after(shard)}
		}
		return serve(shard)
	}
}

// The same table through both fronts: answers, refusals, the times of both and what the nodes were made to
// run are the same.
func TestBothFrontsAlike(t *testing.T) {
	for _, tc := range []struct {
		name     string
		class    string
		sections []int
		budget   time.Duration
		script   func(shard, try int) fake.Reply
		down     int // nodes that refuse connections
		want     string
		least    int // sections in the answer
		most     time.Duration
		runs     int // of the first section, -1 for any
	}{
		{"route served", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(0, 0), 0, "whole", 3, 200 * ms, 1},
		{"route after an error", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(1, fake.Fail, 1), 0, "whole", 3, 500 * ms, 2},
		{"route after a rejection", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(1, fake.Reject, 1), 0, "whole", 3, 600 * ms, 1},
		{"route after a reset", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(1, fake.Break, 1), 0, "whole", 3, time.Second, 2},
		{"route never whole", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(9, fake.Fail, 1), 0, "refused", 0, 3 * time.Second, -1},
		{"route out of time", "route-lookup", []int{1, 2, 3}, 120 * ms, first(0, 0), 0, "refused", 0, 120 * ms, -1},
		{"route with a silent node", "route-lookup", []int{1, 2}, 3 * time.Second, first(9, fake.Silent, 1), 0, "refused", 0, 3 * time.Second, -1},
		{"route with a node down", "route-lookup", []int{1, 2, 3}, 3 * time.Second, first(0, 0), 1, "whole", 3, 600 * ms, 1},
		{"all nodes down", "route-lookup", []int{1}, 3 * time.Second, first(0, 0), 3, "refused", 0, 3 * time.Second, 0},
		{"conditions whole", "conditions-summary", all(), 5 * time.Second, first(0, 0), 0, "whole", shards, 200 * ms, 1},
		{"conditions of eight in ten", "conditions-summary", all(), 5 * time.Second, first(9, fake.Silent, 0, 5), 0, "part", 8, 1500 * ms, -1},
		{"conditions of seven in ten", "conditions-summary", all(), 5 * time.Second, first(9, fake.Fail, 0, 4, 5), 0, "part", 7, 1500 * ms, -1},
		{"conditions of six in ten", "conditions-summary", all(), 5 * time.Second, first(9, fake.Fail, 0, 4, 5, 6), 0, "refused", 0, 5 * time.Second, -1},
		{"hazard stored", "hazard-report", []int{4}, 5 * time.Second, first(0, 0), 0, "whole", 1, 200 * ms, 1},
		{"hazard after rejections", "hazard-report", []int{4}, 5 * time.Second, first(2, fake.Reject, 4), 0, "whole", 1, 1500 * ms, 1},
		{"hazard after an error", "hazard-report", []int{4}, 5 * time.Second, first(1, fake.Fail, 4), 0, "failed", 0, 5 * time.Second, 1},
		{"hazard after a reset", "hazard-report", []int{4}, 5 * time.Second, first(1, fake.Break, 4), 0, "failed", 0, 5 * time.Second, 1},
		{"hazard never answered", "hazard-report", []int{4}, 5 * time.Second, first(1, fake.Silent, 4), 0, "failed", 0, 5 * time.Second, 1},
		{"hazard with all nodes down", "hazard-report", []int{4}, 5 * time.Second, first(0, 0), 3, "refused", 0, 5 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got [2]result
			for i, api := range []bool{false, true} {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, api, tc.script, tc.down)
					got[i] = w.ask(api, tc.class, tc.sections, tc.budget)
					w.close()
				})
			}
			if !reflect.DeepEqual(got[0], got[1]) {
				t.Errorf("native %+v\n   api %+v", got[0], got[1])
			}
			r := got[0]
			if r.Verdict != tc.want || len(r.Sections) != tc.least || r.After > tc.most || tc.runs >= 0 && r.Runs[0] != tc.runs {
				t.Errorf("%+v, want %s of %d sections within %v, the first run %d times", r, tc.want, tc.least, tc.most, tc.runs)
			}
		})
	}
}
