package twophase

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"harepass/internal/test/endtoend"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

const (
	sectionCount     = 12
	nodeCount        = 6
	reach            = 3 // cells that hold a section; each cell has one node
	floor            = 0.7
	trailsPerSection = 20
	rate             = 40.0 // queries a second: one phase keeps the nodes about half busy
	length           = 9 * time.Second
	warmUpTime       = time.Second // at the start, not counted: the planner knows nothing yet
	workUnit         = 500 * time.Microsecond
	nodeCores        = 2
	retainedBytes    = 4 << 20
	budget           = 1500 * time.Millisecond
	lateSlack        = 100 * time.Millisecond // of this machine's own clocks and scheduling, before an answer is called late
	changeLag        = 300 * time.Millisecond // of the last node, where there are failures
)

// queryTexts are the queries, the popular ones first: a summary of all, of what is open, of deep snow.
var queryTexts = []map[string]any{
	{"match_all": struct{}{}},
	{"term": map[string]any{"open": true}},
	{"range": map[string]any{"snow_cm": map[string]any{"gte": 60}}},
}

// failure is what a node does at a time since the start: one is silent, one fails at once, one is slow, one answers what cannot
// be read, one breaks connections.
func failure(node int, since time.Duration) fake.Reply {
	during := func(from, to float64) bool { return since.Seconds() >= from && since.Seconds() < to }
	switch {
	case node == 0 && during(1.5, 3):
		return fake.Reply{Kind: fake.NoReply}
	case node == 1 && during(3, 4.5):
		return fake.Reply{Kind: fake.Fail}
	case node == 2 && during(4.5, 6):
		return fake.Reply{Kind: fake.Serve, After: 80 * time.Millisecond}
	case node == 3 && during(6, 7):
		return fake.Reply{Kind: fake.Corrupt}
	case node == 4 && during(7, 8):
		return fake.Reply{Kind: fake.Disconnect}
	}
	return fake.Reply{}
}

// newNodes are the nodes of a morning; failures count from an instant.
func newNodes(m morning, began time.Time) (nodes []*endtoend.Node) {
	trails := fakedata.New(m.seed, sectionCount, trailsPerSection)
	for i := range nodeCount {
		n := &endtoend.Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data, n.WorkUnit, n.Cores = trails.Data(true), workUnit, nodeCores
		if m.failures {
			n.Script = func(int, int) fake.Reply { return failure(i, time.Since(began)) }
		}
		nodes = append(nodes, n)
	}
	return nodes
}

// play plays the arrivals of a morning's seed.
func play(m morning, twoPhases bool) (*tally, error) {
	began := time.Now()
	truth := endtoend.Truth{Nodes: newNodes(m, began), Cells: nodeCount, Reach: reach, Floor: floor}
	c, err := endtoend.Site{Settings: endtoend.SummarySettings(nodeCount, reach), Sections: sectionCount, Indices: endtoend.SummaryIndices(twoPhases),
		Memory: retainedBytes, Nodes: truth.Nodes}.Start()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var changes sync.WaitGroup
	changes.Go(func() { m.change(ctx, truth.Nodes) })
	t := newTally()
	var mu sync.Mutex
	var queries sync.WaitGroup
	rng := rand.New(rand.NewPCG(m.seed, 0x717565))
	unitsOfWarmUp, due := 0.0, time.Duration(0)
	for i := 0; due < length; i++ { // arrivals are drawn ahead and wait for nothing
		due += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		query, warmUp := queryTexts[min(len(queryTexts)-1, int(rng.ExpFloat64()))], due < warmUpTime
		time.Sleep(time.Until(began.Add(due)))
		if warmUp {
			unitsOfWarmUp = unitsOf(truth.Nodes)
		}
		queries.Go(func() {
			a := ask(c, truth, query)
			mu.Lock()
			defer mu.Unlock()
			t.add(warmUp, a.status, a.body, a.to.Sub(a.from), a.faults)
			if a.status == 200 && unchanged(truth, query, a.from, a.to) {
				t.unchanged[i] = hitsOf(a.body)
			}
		})
	}
	queries.Wait()
	t.units = unitsOf(truth.Nodes) - unitsOfWarmUp
	cancel()
	changes.Wait()
	return t, nil
}

// answer is one to a query, held against the truth.
type answer struct {
	status   int
	body     []byte
	from, to time.Time // of the query
	faults   []string
}

func ask(c *endtoend.Coordinator, truth endtoend.Truth, query map[string]any) (a answer) {
	a.from = time.Now()
	a.status, a.body = c.Search(fmt.Sprintf("/%s/_search?size=1000&timeout=%dms", endtoend.SummaryIndex, budget.Milliseconds()), map[string]any{"query": query})
	a.to = time.Now()
	if a.status == 200 {
		a.faults = truth.Check(query, allSections(), a.body, a.from, a.to)
	}
	return a
}

func allSections() (sections []int) {
	for s := range sectionCount {
		sections = append(sections, s)
	}
	return sections
}

// unchanged tells whether no holder's value changed between two instants, and all had the same one.
func unchanged(truth endtoend.Truth, query map[string]any, from, to time.Time) bool {
	for _, s := range allSections() {
		if len(truth.Values(query, s, from, to)) != 1 {
			return false
		}
	}
	return true
}

// hitsOf is what a whole answer says of the sections, without the time it took.
func hitsOf(body []byte) string {
	var a struct {
		TimedOut bool `json:"timed_out"`
		Hits     json.RawMessage
	}
	if json.Unmarshal(body, &a) != nil || a.TimedOut {
		return ""
	}
	return string(a.Hits)
}

func unitsOf(nodes []*endtoend.Node) (sum float64) {
	for _, n := range nodes {
		sum += n.WorkDone()
	}
	return sum
}

// change alters sections as the morning has it, until ctx is done; with failures, the last node learns of it late.
func (m morning) change(ctx context.Context, nodes []*endtoend.Node) {
	rng := rand.New(rand.NewPCG(m.seed, 0x636861))
	began, version, next := time.Now(), 1000.0, 0
	changed := max(1, int(m.share*sectionCount))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(time.Duration(n) * m.every))):
		}
		for k := range changed {
			section := k
			if changed == 1 { // now here, now there
				section = next % sectionCount
				next += 5
			}
			version++
			doc := fakedata.Trail{ID: fmt.Sprintf("t%d-%d", section, rng.IntN(trailsPerSection)), Open: rng.IntN(2) > 0, SnowCM: float64(rng.IntN(200)), Version: version}.Doc()
			for i, node := range nodes {
				if m.failures && i == len(nodes)-1 {
					time.AfterFunc(changeLag, func() { node.Data.Put(section, doc) })
				} else {
					node.Data.Put(section, doc)
				}
			}
		}
	}
}
