package endtoend

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"harepass/internal/platform"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

const ms = time.Millisecond

// TestMain fixes the seed, so that rapid draws the same scripts every time. Other seeds serve to search for more
// faults.
func TestMain(m *testing.M) {
	flag.Set("rapid.seed", "7") // a flag on the command line overrides it
	os.Exit(m.Run())
}

// Sizes of the model: few sections and nodes, so that states and query texts often meet.
const (
	modelSections = 5
	modelNodes    = 3
	modelTime     = 4 * time.Second
	queryTimeout  = 1200 * ms
)

// script is everything that a run of the model does. It is drawn in advance, so that a run can be repeated.
type script struct {
	frames     bool // the last node speaks frames
	changes    []change
	nodeFaults []nodeFault
	queries    []timedQuery
}

// change modifies a section, at each node after a lag of its own.
type change struct {
	at      time.Duration
	section int
	kind    string
	doc     int
	lags    []time.Duration
}

// nodeFault makes a node give one kind of reply for some time.
type nodeFault struct {
	node     int
	from, to time.Duration
	reply    fake.Reply
}

// timedQuery is a search that the script sends at an instant.
type timedQuery struct {
	at           time.Duration
	text         int
	completeOnly bool // the client accepts no partial answer
}

var queryTexts = []map[string]any{
	{"match_all": struct{}{}},
	{"term": map[string]any{"open": true}},
	{"bool": map[string]any{"filter": []any{map[string]any{"range": map[string]any{"snow_cm": map[string]any{"gte": 100}}}}}},
}

func drawScript(t *rapid.T) (p script) {
	span := func(most time.Duration, what string) time.Duration {
		return time.Duration(rapid.IntRange(0, int(most/ms)).Draw(t, what)) * ms
	}
	p.frames = rapid.IntRange(0, 4).Draw(t, "frames") == 0
	for range rapid.IntRange(0, 14).Draw(t, "changes") {
		c := change{at: span(modelTime, "at"), section: rapid.SampledFrom([]int{0, 0, 0, 1, 1, 2, 3}).Draw(t, "section"),
			kind: rapid.SampledFrom([]string{"put", "put", "delete", "newest", "back", "unversioned", "word", "clear"}).Draw(t, "kind"),
			doc:  rapid.IntRange(0, 2).Draw(t, "doc")}
		for range modelNodes {
			c.lags = append(c.lags, rapid.SampledFrom([]time.Duration{0, 0, 7 * ms, 300 * ms, time.Second}).Draw(t, "lag"))
		}
		p.changes = append(p.changes, c)
	}
	for range rapid.IntRange(0, 4).Draw(t, "troubles") {
		from := span(modelTime, "from")
		p.nodeFaults = append(p.nodeFaults, nodeFault{rapid.IntRange(0, modelNodes-1).Draw(t, "node"),
			from, from + span(modelTime, "for"),
			fake.Reply{Kind: fake.Kind(rapid.IntRange(int(fake.Serve), int(fake.Corrupt)).Draw(t, "trouble")), After: span(400*ms, "after")}})
	}
	for range rapid.IntRange(1, 30).Draw(t, "queries") {
		p.queries = append(p.queries, timedQuery{span(modelTime, "asked"),
			rapid.IntRange(0, len(queryTexts)-1).Draw(t, "text"),
			rapid.Bool().Draw(t, "whole")})
	}
	return p
}

// apply makes the change in the data of a node.
func (c change) apply(d *fake.Data, version float64) {
	docs := d.Docs(c.section)
	id := fmt.Sprintf("t%d-%d", c.section, c.doc)
	fields := map[string]any{"open": int(version)%2 == 0, "snow_cm": float64(int(version*37) % 200)}
	switch c.kind {
	case "put":
		d.Put(c.section, fake.Document{ID: id, Version: version, Fields: fields})
	case "delete":
		d.Delete(c.section, id)
	case "newest": // lowers the maximum of the versions
		newest := fake.Document{}
		for _, doc := range docs {
			if v, _ := doc.Version.(float64); v > 0 && (newest.ID == "" || v > newest.Version.(float64)) {
				newest = doc
			}
		}
		d.Delete(c.section, newest.ID)
	case "back": // the node restarts with its initial data
		d.Set(c.section, fakedata.New(1, modelSections, 5).Data(false).Docs(c.section))
	case "unversioned":
		d.Put(c.section, fake.Document{ID: id, Version: "", Fields: fields})
	case "word":
		d.Put(c.section, fake.Document{ID: id, Version: "v" + id, Fields: fields})
	case "clear":
		d.Set(c.section, nil)
	}
}

// runScript runs a script against a whole coordinator. It returns the faults of the answers, and the number of answers
// by status; "pruned" counts those with pruned sections.
func runScript(p script) (faults []string, answerCounts map[string]int) {
	trails := fakedata.New(1, modelSections, 5)
	began := time.Now()
	truth := Truth{RingSize: modelNodes, ReplicationFactor: modelNodes, MinFraction: 0.7}
	for i := range modelNodes {
		n := &Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data = trails.Data(true)
		n.WorkUnit, n.Cores = ms, 2
		n.Script = func(int, int) fake.Reply {
			now := time.Since(began)
			for _, fault := range p.nodeFaults {
				if fault.node == i && now >= fault.from && now < fault.to {
					return fault.reply
				}
			}
			return fake.Reply{}
		}
		if p.frames && i == modelNodes-1 {
			n.Scheme = platform.Scheme
		}
		truth.Nodes = append(truth.Nodes, n)
	}
	c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections,
		Indices: SummaryIndices(true), CacheBytes: 1 << 20, Nodes: truth.Nodes}.Start()
	if err != nil {
		return []string{err.Error()}, nil
	}
	var all []int
	for s := range modelSections {
		all = append(all, s)
	}
	for i, ch := range p.changes {
		for n, lag := range ch.lags {
			time.AfterFunc(ch.at+lag, func() { ch.apply(truth.Nodes[n].Data, float64(100+i)) })
		}
	}
	answerCounts = map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, q := range p.queries {
		wg.Go(func() {
			time.Sleep(q.at)
			from := time.Now()
			status, body := c.Search(fmt.Sprintf(
				"/conditions/_search?size=1000&timeout=%dms&allow_partial_search_results=%t",
				queryTimeout.Milliseconds(), !q.completeOnly),
				map[string]any{"query": queryTexts[q.text]})
			to := time.Now()
			var wrong []string
			if status == 200 {
				wrong = truth.Check(queryTexts[q.text], all, body, from, to)
				if q.completeOnly && strings.Contains(string(body), `"timed_out":true`) {
					wrong = append(wrong, "partial answer to a query that allows none")
				}
			} else if status != 429 {
				wrong = append(wrong, fmt.Sprintf("unexpected status %d: %s", status, body))
			}
			if took := to.Sub(from); took > queryTimeout {
				wrong = append(wrong, fmt.Sprintf("status %d after %v, which is past the time-out", status, took))
			}
			mu.Lock()
			defer mu.Unlock()
			answerCounts[fmt.Sprint(status)]++
			if strings.Contains(string(body), `"skipped":`) && !strings.Contains(string(body), `"skipped":0`) {
				answerCounts["pruned"]++
			}
			for _, w := range wrong {
				faults = append(faults, fmt.Sprintf("query at %v: %s", q.at, w))
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * queryTimeout) // let abandoned attempts end
	c.Close()
	return faults, answerCounts
}

// For any data changes, node faults and delays: each section's value in an answer is one that a holder had between the
// query's arrival and its answer, the stated completeness is correct, and no answer is late.
func TestAnswersAreTrue(t *testing.T) {
	answerCounts := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		p := drawScript(rt)
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			var got map[string]int
			faults, got = runScript(p)
			for k, n := range got {
				answerCounts[k] += n
			}
		})
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
	if answerCounts["200"] < 100 || answerCounts["429"] == 0 || answerCounts["pruned"] < 50 {
		t.Errorf("answers by status: %v, want at least 100 with 200, one with 429 and 50 pruned: draws too narrow",
			answerCounts)
	}
	t.Log(answerCounts)
}
