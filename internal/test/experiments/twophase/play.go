package twophase

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"harepass/internal/test/endtoend"
)

const (
	minFraction   = 0.7  // share of a summary's weight that suffices for an incomplete answer
	queryRate     = 40.0 // queries a second, which keep the replicas about half busy in one phase
	duration      = 9 * time.Second
	warmUp        = time.Second // at the start, while the planner has no experience; most counts begin after it
	retainedBytes = 4 << 20     // memory of the coordinator for first phases
	deadline      = 1500 * time.Millisecond

	// lateSlack is how much later than the deadline an answer may come before it counts as late. It covers delays of
	// this process.
	lateSlack = 100 * time.Millisecond
	// arrivalStream keeps the draws of arrivals apart from others with their seed.
	arrivalStream = 0x717565
)

// queryTexts are the queries, the popular ones first: a summary of all, of what is open, of deep snow.
var queryTexts = []map[string]any{
	{"match_all": struct{}{}},
	{"term": map[string]any{"open": true}},
	{"range": map[string]any{"snow_cm": map[string]any{"gte": 60}}},
}

// player is a play that runs.
type player struct {
	coordinator *endtoend.Coordinator
	truth       endtoend.Truth

	mu    sync.Mutex
	tally *tally
}

// play plays a morning against a coordinator of one phase or of two, and waits for all that it started.
func play(m morning, twoPhases bool) (*tally, error) {
	began := time.Now()
	truth := endtoend.Truth{
		Nodes: newReplicas(m, began), Cells: replicaCount, Reach: replicationFactor, Floor: minFraction,
	}
	c, err := endtoend.Site{
		Settings: endtoend.SummarySettings(replicaCount, replicationFactor),
		Sections: shards,
		Indices:  endtoend.SummaryIndices(twoPhases),
		Memory:   retainedBytes,
		Nodes:    truth.Nodes,
	}.Start()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var changes sync.WaitGroup
	changes.Go(func() { m.change(ctx, truth.Nodes) })
	p := &player{coordinator: c, truth: truth, tally: newTally()}
	workInWarmUp := p.playArrivals(m.seed, began)
	p.tally.workUnits = workDone(truth.Nodes) - workInWarmUp
	cancel()
	changes.Wait()
	return p.tally, nil
}

// playArrivals sends the queries of a seed when they are due, whatever became of earlier ones, and waits for their
// answers. It returns the work that the replicas had done when the last query of the warm-up began.
func (p *player) playArrivals(seed uint64, began time.Time) (workInWarmUp float64) {
	var queries sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, arrivalStream))
	due := time.Duration(0)
	for number := 0; due < duration; number++ {
		due += time.Duration(rng.ExpFloat64() / queryRate * float64(time.Second))
		query, inWarmUp := queryTexts[min(len(queryTexts)-1, int(rng.ExpFloat64()))], due < warmUp
		time.Sleep(time.Until(began.Add(due)))
		if inWarmUp {
			workInWarmUp = workDone(p.truth.Nodes)
		}
		queries.Go(func() { p.query(number, query, inWarmUp) })
	}
	queries.Wait()
	return workInWarmUp
}

// query sends a query and counts its answer.
func (p *player) query(number int, query map[string]any, inWarmUp bool) {
	a := p.search(query)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tally.add(a, inWarmUp)
	if a.status == http.StatusOK && isUnchanged(p.truth, query, a.from, a.to) {
		p.tally.unchanged[number] = completeHits(a.body)
	}
}

// answer is the answer to a query.
type answer struct {
	status     int // HTTP status
	body       []byte
	from, to   time.Time // when the query began and its answer ended
	violations []string  // how the answer differs from what the replicas held
}

func (a answer) latency() time.Duration { return a.to.Sub(a.from) }

// search sends a query and checks its answer against what the replicas held in the meantime.
func (p *player) search(query map[string]any) (a answer) {
	path := fmt.Sprintf("/%s/_search?size=1000&timeout=%dms", endtoend.SummaryIndex, deadline.Milliseconds())
	a.from = time.Now()
	a.status, a.body = p.coordinator.Search(path, map[string]any{"query": query})
	a.to = time.Now()
	if a.status == http.StatusOK {
		a.violations = p.truth.Check(query, allShards(), a.body, a.from, a.to)
	}
	return a
}

func allShards() (numbers []int) {
	for s := range shards {
		numbers = append(numbers, s)
	}
	return numbers
}

// isUnchanged reports whether no holder's value of a query changed between two instants, and all had one value.
func isUnchanged(truth endtoend.Truth, query map[string]any, from, to time.Time) bool {
	for _, s := range allShards() {
		if len(truth.Values(query, s, from, to)) != 1 {
			return false
		}
	}
	return true
}

// completeHits returns the hits of a complete answer; "" for an incomplete one. The time that the query took is not
// among them.
func completeHits(body []byte) string {
	var a struct {
		TimedOut bool `json:"timed_out"`
		Hits     json.RawMessage
	}
	if json.Unmarshal(body, &a) != nil || a.TimedOut {
		return ""
	}
	return string(a.Hits)
}
