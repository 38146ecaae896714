package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/standin"
)

// The two-phase experiment: the same arrivals at a coordinator of one phase and at one of two, each before nodes of
// its own with the same data, changes and failures.
const (
	tpSections = 12
	tpNodes    = 6
	tpReach    = 3
	tpTrails   = 20
	tpRate     = 40.0 // queries a second: one phase keeps the nodes about half busy
	tpTime     = 9 * time.Second
	tpWarm     = time.Second // at the start, not counted: the planner knows nothing yet
	tpUnit     = 500 * time.Microsecond
	tpBudget   = 1500 * time.Millisecond
	tpSlack    = 100 * time.Millisecond // of this machine's own clocks and scheduling, before an answer is called late
)

// morning is how fast the data changes: every so often, so many of the sections.
type morning struct {
	name    string
	every   time.Duration
	share   float64
	trouble bool
}

var tpMornings = []morning{
	{"quiet", 2 * time.Second, 1.0 / tpSections, false},
	{"half", 20 * time.Millisecond, 0.5, false},
	{"all", 20 * time.Millisecond, 1, false},
	{"quiet, failures", 2 * time.Second, 1.0 / tpSections, true},
	{"half, failures", 20 * time.Millisecond, 0.5, true},
	{"all, failures", 20 * time.Millisecond, 1, true},
}

// tpTexts are the queries, the popular ones first: a summary of all, of what is open, of deep snow.
var tpTexts = []map[string]any{
	{"match_all": struct{}{}},
	{"term": map[string]any{"open": true}},
	{"range": map[string]any{"snow_cm": map[string]any{"gte": 60}}},
}

// tally is what came of one run.
type tally struct {
	queries, answers, parts, refused, late, wrong int
	pruned, sections                              int
	units                                         float64
	took                                          *hdrhistogram.Histogram // microseconds
	example                                       string                  // of what is wrong
	fresh                                         map[int]string          // by arrival: answers during which nothing changed
}

func (t *tally) share() float64 { return float64(t.pruned) / math.Max(1, float64(t.sections)) }

func (t *tally) p(q float64) time.Duration {
	return time.Duration(t.took.ValueAtPercentile(q)) * time.Microsecond
}

// tpTroubles has a node silent, one failing at once, one slow, one whose answers cannot be read; the last two lag.
func tpTroubles(node int, since time.Duration) standin.Reply {
	during := func(from, to float64) bool { return since.Seconds() >= from && since.Seconds() < to }
	switch {
	case node == 0 && during(1.5, 3):
		return standin.Reply{Kind: standin.Silent}
	case node == 1 && during(3, 4.5):
		return standin.Reply{Kind: standin.Fail}
	case node == 2 && during(4.5, 6):
		return standin.Reply{Kind: standin.Serve, After: 80 * time.Millisecond}
	case node == 3 && during(6, 7):
		return standin.Reply{Kind: standin.Spoil}
	case node == 4 && during(7, 8):
		return standin.Reply{Kind: standin.Break}
	}
	return standin.Reply{}
}

// playMorning plays the arrivals of a seed.
func playMorning(m morning, two bool, seed uint64) (*tally, error) {
	truth := Truth{Cells: tpNodes, Reach: tpReach, Floor: 0.7}
	mountain := NewMountain(seed, tpSections, tpTrails)
	began := time.Now()
	for i := range tpNodes {
		n := &Node{ID: fmt.Sprint("node", i), Cell: i}
		n.Data, n.Unit, n.Cores = mountain.Data(true), tpUnit, 2
		if m.trouble {
			n.Script = func(int, int) standin.Reply { return tpTroubles(i, time.Since(began)) }
		}
		truth.Nodes = append(truth.Nodes, n)
	}
	c, err := Site{Settings: summaries(tpNodes, tpReach), Sections: tpSections, Indices: indices(two), Memory: 4 << 20, Nodes: truth.Nodes}.Start()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var changes sync.WaitGroup
	changes.Go(func() { tpChange(ctx, m, truth.Nodes, seed) })
	var all []int
	for s := range tpSections {
		all = append(all, s)
	}
	t := &tally{took: hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3), fresh: map[int]string{}}
	var mu sync.Mutex
	var queries sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 0x717565))
	unitsAtStart, due := 0.0, time.Duration(0)
	for i := 0; due < tpTime; i++ { // arrivals are drawn ahead and wait for nothing
		due += time.Duration(rng.ExpFloat64() / tpRate * float64(time.Second))
		query, warm := tpTexts[min(len(tpTexts)-1, int(rng.ExpFloat64()))], due < tpWarm
		time.Sleep(time.Until(began.Add(due)))
		if warm {
			unitsAtStart = unitsOf(truth.Nodes)
		}
		queries.Go(func() {
			from := time.Now()
			status, body := c.Search(fmt.Sprintf("/%s/_search?size=1000&timeout=%dms", conditions, tpBudget.Milliseconds()), map[string]any{"query": query})
			to := time.Now()
			faults := []string{}
			if status == 200 {
				faults = truth.Check(query, all, body, from, to)
			}
			mu.Lock()
			defer mu.Unlock()
			t.add(i, warm, status, body, to.Sub(from), faults)
			if status == 200 && still(truth, query, all, from, to) {
				t.fresh[i] = hitsOf(body)
			}
		})
	}
	queries.Wait()
	t.units = unitsOf(truth.Nodes) - unitsAtStart
	cancel()
	changes.Wait()
	return t, nil
}

// still tells whether no holder's value changed between two instants, and all had the same one.
func still(truth Truth, query map[string]any, sections []int, from, to time.Time) bool {
	for _, s := range sections {
		if len(truth.values(query, s, from, to)) != 1 {
			return false
		}
	}
	return true
}

// hitsOf is what an answer says of the sections, without the time it took.
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

func unitsOf(nodes []*Node) (sum float64) {
	for _, n := range nodes {
		sum += n.Units()
	}
	return sum
}

func (t *tally) add(i int, warm bool, status int, body []byte, took time.Duration, faults []string) {
	if t.wrong += len(faults); len(faults) > 0 && t.example == "" {
		t.example = faults[0]
	}
	if took > tpBudget+tpSlack {
		t.late++
	}
	if warm {
		return
	}
	t.queries++
	if status != 200 {
		t.refused++
		return
	}
	t.answers++
	t.took.RecordValue(took.Microseconds())
	var a Answer
	if json.Unmarshal(body, &a) == nil {
		t.pruned += a.Shards.Skipped
		t.sections += a.Shards.Total
		if a.TimedOut {
			t.parts++
		}
	}
}

// tpChange alters sections as the morning has it; with failures, the last node learns of it late.
func tpChange(ctx context.Context, m morning, nodes []*Node, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x636861))
	began, version, first := time.Now(), 1000.0, 0
	changed := max(1, int(m.share*tpSections))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(time.Duration(n) * m.every))):
		}
		for k := range changed {
			section := k
			if changed == 1 { // now here, now there
				section = first % tpSections
				first += 5
			}
			version++
			doc := Trail{ID: fmt.Sprintf("t%d-%d", section, rng.IntN(tpTrails)), Open: rng.IntN(2) > 0, SnowCM: float64(rng.IntN(200)), Version: version}.Doc()
			for i, node := range nodes {
				if m.trouble && i == len(nodes)-1 {
					time.AfterFunc(300*time.Millisecond, func() { node.Data.Put(section, doc) })
				} else {
					node.Data.Put(section, doc)
				}
			}
		}
	}
}

// TwoPhaseExperiment plays the mornings.
var TwoPhaseExperiment = Experiment{
	Name:  "two-phase",
	Short: "the same mornings in one phase and in two, without failures and with",
	Run:   runTwoPhase,
}

func runTwoPhase(r *Report) error {
	results := make([][2]*tally, len(tpMornings))
	for some := range slices.Chunk([]int{0, 1, 2, 3, 4, 5}, 2) { // two at a time: they share this machine
		var wg sync.WaitGroup
		errs := make(chan error, 2*len(some))
		for _, i := range some {
			for k, two := range []bool{false, true} {
				wg.Go(func() {
					t, err := playMorning(tpMornings[i], two, uint64(i%3+1))
					results[i][k] = t
					errs <- err
				})
			}
		}
		wg.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
	}
	r.Table("morning", "phases", "queries", "answered", "in part", "refused", "late", "wrong", "pruned", "units/query", "work", "p50 ms", "p99 ms")
	differ := 0
	for i, m := range tpMornings {
		one, two := results[i][0], results[i][1]
		for k, t := range results[i] {
			r.Row(m.name, k+1, t.queries, t.answers, t.parts, t.refused, t.late, t.wrong, fmt.Sprintf("%.0f%%", 100*t.share()),
				fmt.Sprintf("%.1f", t.units/float64(t.queries)), fmt.Sprintf("%.2f", t.units/one.units), msOf(t.p(50)), msOf(t.p(99)))
			r.Aim(t.late == 0, "%s, %d phases: %d late", m.name, k+1, t.late)
			r.Aim(t.wrong == 0, "%s, %d phases: %d wrong, first: %s", m.name, k+1, t.wrong, t.example)
		}
		same := 0
		for arrival, hits := range one.fresh {
			if other := two.fresh[arrival]; hits != "" && other != "" {
				if same++; hits != other {
					differ++
				}
			}
		}
		r.Aim(m.share == 1 || m.share == 0.5 || same > one.queries/2, "%s: only %d answers to compare", m.name, same)
	}
	work := func(i int) float64 { return results[i][1].units / results[i][0].units }
	quiet := results[0]
	r.Aim(differ == 0, "%d answers differ from those of one phase", differ)
	r.Aim(work(0) <= 0.6, "quiet: %.2f of the work of one phase, at most 0.6 wanted", work(0))
	r.Aim(work(2) <= 1.05, "all changed: %.2f of the work of one phase, at most 1.05 wanted", work(2))
	r.Aim(quiet[1].p(99) <= quiet[0].p(99), "quiet: p99 %v in two phases, %v in one", quiet[1].p(99), quiet[0].p(99))
	r.Key("quiet_saved", "%.2f", 1-work(0))
	r.Key("half_saved", "%.2f", 1-work(1))
	r.Key("all_extra", "%.3f", work(2)-1)
	late, wrong := 0, 0
	for _, pair := range results {
		for _, t := range pair {
			late, wrong = late+t.late, wrong+t.wrong
		}
	}
	r.Key("late", "%d", late)
	r.Key("wrong", "%d", wrong)
	r.Key("differ", "%d", differ)
	r.Key("p99_one_ms", "%s", msOf(quiet[0].p(99)))
	r.Key("p99_two_ms", "%s", msOf(quiet[1].p(99)))
	return nil
}

func msOf(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
