package endtoend

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/platform"
	"harepass/internal/test/fakedata"
)

// startModelSite starts nodes with the data of the model, the first frameNodes of which speak frames, and a two-phase
// coordinator that queries them.
func startModelSite(t *testing.T, frameNodes int) (*Coordinator, Truth) {
	truth := Truth{RingSize: modelNodes, ReplicationFactor: modelNodes, MinFraction: 0.7}
	for i := range modelNodes {
		n := &Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data, n.WorkUnit, n.Cores = fakedata.New(1, modelSections, 5).Data(true), ms, 2
		if i < frameNodes {
			n.Scheme = platform.Scheme
		}
		truth.Nodes = append(truth.Nodes, n)
	}
	c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections,
		Indices: SummaryIndices(true), CacheBytes: 1 << 20, Nodes: truth.Nodes}.Start()
	if err != nil {
		t.Fatal(err)
	}
	return c, truth
}

// searchAndCheck searches for all hits of a query text and checks the answer against the truth.
func searchAndCheck(t *testing.T, c *Coordinator, truth Truth, text int) (a Answer) {
	t.Helper()
	from := time.Now()
	status, body := c.Search("/conditions/_search?size=1000&timeout=1s", map[string]any{"query": queryTexts[text]})
	if status != 200 {
		t.Fatalf("search: status %d, body %s", status, body)
	}
	for _, fault := range truth.Check(queryTexts[text], []int{0, 1, 2, 3, 4}, body, from, time.Now()) {
		t.Error(fault)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return a
}

// A change of any kind between two queries appears in the answer to the second one. While nothing changes, all sections
// are pruned.
func TestEachChangeShows(t *testing.T) {
	for _, kind := range []string{"put", "delete", "newest", "back", "unversioned", "word", "clear"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, truth := startModelSite(t, 0)
				for range 3 {
					searchAndCheck(t, c, truth, 0)
				}
				if a := searchAndCheck(t, c, truth, 0); a.Shards.Skipped != modelSections {
					t.Errorf("%d of %d sections pruned although nothing changed", a.Shards.Skipped, modelSections)
				}
				for i := range 3 { // the second change modifies what the first one wrote
					for _, n := range truth.Nodes {
						change{section: 2, kind: kind, doc: 1}.apply(n.Data, float64(100+i))
					}
					for range 6 { // enough queries for the section to be worth a first phase again
						if a := searchAndCheck(t, c, truth, 0); a.Shards.Skipped < modelSections-1 {
							t.Errorf("only %d sections pruned although a single one changed", a.Shards.Skipped)
						}
					}
				}
				c.Close()
			})
		})
	}
}

// Two query texts never share a retained value, and each is pruned independently.
func TestTextsKeepApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, truth := startModelSite(t, 0)
		pruned := 0
		for i := range 30 {
			pruned += searchAndCheck(t, c, truth, i%len(queryTexts)).Shards.Skipped
		}
		if pruned < 100 {
			t.Errorf("%d of 150 sections pruned, want at least 100", pruned)
		}
		c.Close()
	})
}

// Sections with a holder that speaks frames are queried in one phase: none of them is pruned, and that holder gets no
// request that it cannot understand.
func TestMixedHolders(t *testing.T) {
	for frameNodes, most := range []int{5 * modelSections, 0} {
		synctest.Test(t, func(t *testing.T) {
			c, truth := startModelSite(t, frameNodes)
			pruned := 0
			for range 6 {
				pruned += searchAndCheck(t, c, truth, 0).Shards.Skipped
			}
			if pruned > most || most > 0 && pruned == 0 {
				t.Errorf("%d nodes that speak frames: %d sections pruned, want at most %d, and some unless that is 0",
					frameNodes, pruned, most)
			}
			c.Close()
		})
	}
}
