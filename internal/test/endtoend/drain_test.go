package endtoend

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/loadshed"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

// A coordinator that is told to end in the middle of a rush answers every query that it took, once and in time, and refuses
// the others at once.
func TestDrainInARush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := Truth{Cells: modelNodes, Reach: modelNodes, Floor: 0.7}
		for i := range modelNodes {
			n := &Node{ID: fmt.Sprint("node", i), Cell: i}
			n.Data, n.WorkUnit, n.Cores = fakedata.New(1, modelSections, 5).Data(true), ms, 4
			n.Script = func(_, try int) fake.Reply { return fake.Reply{Kind: fake.Kind(try % 23 / 21)} } // some errors
			truth.Nodes = append(truth.Nodes, n)
		}
		cfg := overload.Config{WaitTarget: 10 * ms, Cores: 1, MemoryBytes: 1 << 30, MaxRetryAfter: 8 * time.Second, Rand: func() float64 { return 0.5 },
			Classes: []overload.Class{{Name: "conditions-summary", PriorityWeight: 3, TypicalParts: modelSections}}}
		g := loadshed.New(cfg, core.SystemClock())
		g.Measure = func() loadshed.Usage { return loadshed.Usage{} }
		began := time.Now()
		g.TickElapsed = func() time.Duration { // behind from a tenth of a second on
			if time.Since(began) > 100*ms {
				return 35 * ms
			}
			return 0
		}
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections, Indices: SummaryIndices(false), Nodes: truth.Nodes, Gate: g}.Start()
		if err != nil {
			t.Fatal(err)
		}
		seen := map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2 * ms)
				from := time.Now()
				status, body := c.Search("/conditions/_search?size=1000&timeout=1200ms", map[string]any{"query": texts[0]})
				mu.Lock()
				defer mu.Unlock()
				seen[status]++
				if took := time.Since(from); took > 1200*ms || status != 200 && status != 429 || status == 429 && took > 1200*ms {
					t.Errorf("%d after %v", status, took)
				}
				if status == 200 {
					for _, fault := range truth.Check(texts[0], []int{0, 1, 2, 3, 4}, body, from, time.Now()) {
						t.Error(fault)
					}
				}
			})
		}
		time.Sleep(400 * ms)
		c.owner.Drain() // SIGTERM: what still comes is taken, or refused, while clients learn of it
		wg.Wait()
		c.Close()
		cancel()
		if seen[200] < 50 || seen[429] < 50 || seen[200]+seen[429] != 400 {
			t.Errorf("%v: the rush is to be both served and refused", seen)
		}
	})
}
