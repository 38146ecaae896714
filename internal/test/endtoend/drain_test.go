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

// A coordinator that starts to drain during a burst answers every query that it admitted, once and in time, and rejects
// the others at once.
func TestDrainInARush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		truth := Truth{RingSize: modelNodes, ReplicationFactor: modelNodes, MinFraction: 0.7}
		for i := range modelNodes {
			n := &Node{ID: fmt.Sprint("node", i), Cell: i}
			n.Data, n.WorkUnit, n.Cores = fakedata.New(1, modelSections, 5).Data(true), ms, 4
			n.Script = func(_, try int) fake.Reply { return fake.Reply{Kind: fake.Kind(try % 23 / 21)} } // 2 in 23 fail
			truth.Nodes = append(truth.Nodes, n)
		}
		cfg := overload.Config{WaitTarget: 10 * ms, Cores: 1, MemoryBytes: 1 << 30, MaxRetryAfter: 8 * time.Second, Rand: func() float64 { return 0.5 },
			Classes: []overload.Class{{Name: "conditions-summary", PriorityWeight: 3, TypicalParts: modelSections}}}
		g := loadshed.New(cfg, core.SystemClock())
		g.Measure = func() loadshed.Usage { return loadshed.Usage{} }
		began := time.Now()
		g.TickElapsed = func() time.Duration { // reports a long tick from 100 ms on
			if time.Since(began) > 100*ms {
				return 35 * ms
			}
			return 0
		}
		ctx, cancel := context.WithCancel(t.Context())
		go g.Run(ctx)
		c, err := Site{Settings: SummarySettings(modelNodes, modelNodes), Sections: modelSections,
			Indices: SummaryIndices(false), Nodes: truth.Nodes, Admitter: g}.Start()
		if err != nil {
			t.Fatal(err)
		}
		answerCounts := map[int]int{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		for i := range 400 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 2 * ms)
				from := time.Now()
				status, body := c.Search("/conditions/_search?size=1000&timeout=1200ms",
					map[string]any{"query": queryTexts[0]})
				mu.Lock()
				defer mu.Unlock()
				answerCounts[status]++
				if took := time.Since(from); took > 1200*ms || status != 200 && status != 429 || status == 429 && took > 1200*ms {
					t.Errorf("status %d after %v, want 200 or 429 within 1.2s", status, took)
				}
				if status == 200 {
					for _, fault := range truth.Check(queryTexts[0], []int{0, 1, 2, 3, 4}, body, from, time.Now()) {
						t.Error(fault)
					}
				}
			})
		}
		time.Sleep(400 * ms)
		c.owner.Drain() // as on SIGTERM: queries that still arrive are admitted or rejected until clients notice
		wg.Wait()
		c.Close()
		cancel()
		if answerCounts[200] < 50 || answerCounts[429] < 50 || answerCounts[200]+answerCounts[429] != 400 {
			t.Errorf("answers by status: %v, want at least 50 with 200, at least 50 with 429, and no others",
				answerCounts)
		}
	})
}
