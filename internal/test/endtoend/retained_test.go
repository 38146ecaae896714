package endtoend

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/test/fake"
)

// Ages of the two pins of each section when the searches begin. The searches' time window reaches back 20 s, so the
// older pin leaves it after 9.5 s, between two searches; the younger one stays in it until the last search.
const (
	olderPinAge   = 10500 * ms
	youngerPinAge = 500 * ms
)

// startPinSite starts nodes that hold two pins in each section, and a coordinator that searches them in two phases or
// in one. No document changes later.
func startPinSite(t *testing.T, twoPhase bool) (c *Coordinator, data *fake.Data) {
	data = &fake.Data{}
	for section := range modelSections {
		for i, age := range []time.Duration{olderPinAge, youngerPinAge} {
			data.Put(section, fake.Document{ID: fmt.Sprintf("pin%d-%d", section, i), Version: float64(1 + i),
				Fields: map[string]any{"noted_at": float64(time.Now().Add(-age).UnixMilli()),
					"resort": []string{"teine", "furano"}[i]}})
		}
	}
	data.SetTerms("open-resorts", "teine", "furano")
	var nodes []*Node
	for i := range modelNodes {
		n := &Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data, n.WorkUnit, n.Cores = data, ms, 2
		nodes = append(nodes, n)
	}
	c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections,
		Indices: SummaryIndices(twoPhase), CacheBytes: 1 << 20, Nodes: nodes}.Start()
	if err != nil {
		t.Fatal(err)
	}
	return c, data
}

// searchHits searches with a query and returns the sorted IDs of its hits and the number of pruned sections.
func searchHits(t *testing.T, c *Coordinator, query string) (ids []string, pruned int) {
	t.Helper()
	status, body := c.Search("/conditions/_search?size=1000&timeout=1s", map[string]any{"query": json.RawMessage(query)})
	var a Answer
	if err := json.Unmarshal(body, &a); status != 200 || err != nil || a.TimedOut {
		t.Fatalf("search: status %d, body %s", status, body)
	}
	for _, hit := range a.Hits.Hits {
		ids = append(ids, hit.ID)
	}
	slices.Sort(ids)
	return ids, a.Shards.Skipped
}

// Searches whose answers something else than the section's documents decides: the clock, or another document.
var undocumentedInputs = map[string]string{
	"range with date math":        `{"range":{"noted_at":{"gte":"now-20s"}}}`,
	"escaped date math":           `{"range":{"noted_at":{"gte":"\u006eow-20s"}}}`,
	"date math within bool":       `{"bool":{"filter":[{"match_all":{}},{"range":{"noted_at":{"gte":"now-20s"}}}]}}`,
	"as many pins enter as leave": `{"range":{"noted_at":{"gte":"now-20s","lt":"now-10s"}}}`,
	"query_string with date math": `{"query_string":{"query":"noted_at:>=now-20s"}}`,
	"terms lookup":                `{"terms":{"resort":{"index":"resorts","id":"open-resorts","path":"names"}}}`,
}

// A client repeats a search while a pin leaves its time window, or while the document that it refers to changes. No
// document of the sections changes, so a retained value would be given out for good: answers in two phases must be
// those of one phase all the same (review/2).
func TestTwoPhasesAnswerAsOnePhaseWhenMoreThanDocumentsDecides(t *testing.T) {
	for name, query := range undocumentedInputs {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, oneData := startPinSite(t, false)
				two, twoData := startPinSite(t, true)
				for second := range 20 {
					if second == 10 {
						oneData.SetTerms("open-resorts", "furano")
						twoData.SetTerms("open-resorts", "furano")
					}
					want, _ := searchHits(t, one, query)
					got, _ := searchHits(t, two, query)
					if !slices.Equal(got, want) {
						t.Errorf("second %d: hits %v in two phases, %v in one", second, got, want)
					}
					time.Sleep(time.Second - time.Duration(time.Now().Nanosecond()))
				}
				one.Close()
				two.Close()
			})
		})
	}
}

// A repeated search that only the documents decide, with a fixed time window, is still pruned in all sections.
func TestFixedTimeWindowIsPruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := startPinSite(t, true)
		const filters = `{"range":{"noted_at":{"gte":%d}}},{"terms":{"resort":["teine","furano"]}}`
		query := fmt.Sprintf(`{"bool":{"filter":[`+filters+`]}}`, time.Now().Add(-20*time.Second).UnixMilli())
		pruned := 0
		for range 5 {
			_, pruned = searchHits(t, c, query)
			time.Sleep(time.Second)
		}
		if pruned != modelSections {
			t.Errorf("%d of %d sections pruned although nothing changed", pruned, modelSections)
		}
		c.Close()
	})
}
