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

// mornings starts nodes that hold the model's mountain, and a coordinator of two phases before them.
func mornings(t *testing.T, frames int) (*Coordinator, Truth) {
	truth := Truth{Cells: modelNodes, Reach: modelNodes, Floor: 0.7}
	for i := range modelNodes {
		n := &Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data, n.WorkUnit, n.Cores = fakedata.New(1, modelSections, 5).Data(true), ms, 2
		if i < frames {
			n.Scheme = platform.Scheme
		}
		truth.Nodes = append(truth.Nodes, n)
	}
	c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections, Indices: SummaryIndices(true), Memory: 1 << 20, Nodes: truth.Nodes}.Start()
	if err != nil {
		t.Fatal(err)
	}
	return c, truth
}

// ask asks for all hits of a text and holds the answer against the truth.
func ask(t *testing.T, c *Coordinator, truth Truth, text int) (a Answer) {
	t.Helper()
	from := time.Now()
	status, body := c.Search("/conditions/_search?size=1000&timeout=1s", map[string]any{"query": texts[text]})
	if status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	for _, fault := range truth.Check(texts[text], []int{0, 1, 2, 3, 4}, body, from, time.Now()) {
		t.Error(fault)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return a
}

// Each kind of change between two queries shows in the second one's answer; where nothing changed, all is pruned.
func TestEachChangeShows(t *testing.T) {
	for _, kind := range []string{"put", "delete", "newest", "back", "unversioned", "word", "clear"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, truth := mornings(t, 0)
				for range 3 {
					ask(t, c, truth, 0)
				}
				if a := ask(t, c, truth, 0); a.Shards.Skipped != modelSections {
					t.Errorf("%d of %d sections pruned though nothing changed", a.Shards.Skipped, modelSections)
				}
				for i := range 3 { // of which the second alters what the first one wrote
					for _, n := range truth.Nodes {
						change{section: 2, kind: kind, doc: 1}.apply(n.Data, float64(100+i))
					}
					for range 6 { // often enough for the section to be worth a first phase again
						if a := ask(t, c, truth, 0); a.Shards.Skipped < modelSections-1 {
							t.Errorf("%d sections pruned where one changed", a.Shards.Skipped)
						}
					}
				}
				c.Close()
			})
		})
	}
}

// Two texts never share a value, and each is pruned by itself.
func TestTextsKeepApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, truth := mornings(t, 0)
		pruned := 0
		for i := range 30 {
			pruned += ask(t, c, truth, i%len(texts)).Shards.Skipped
		}
		if pruned < 100 {
			t.Errorf("%d of 150 sections pruned", pruned)
		}
		c.Close()
	})
}

// Sections with a holder that speaks frames are asked in one phase: nothing of them is pruned, and nothing is
// asked of that holder that it would not understand.
func TestMixedHolders(t *testing.T) {
	for frames, most := range []int{5 * modelSections, 0} {
		synctest.Test(t, func(t *testing.T) {
			c, truth := mornings(t, frames)
			pruned := 0
			for range 6 {
				pruned += ask(t, c, truth, 0).Shards.Skipped
			}
			if pruned > most || most > 0 && pruned == 0 {
				t.Errorf("%d holders that speak frames: %d sections pruned, %d at most", frames, pruned, most)
			}
			c.Close()
		})
	}
}
