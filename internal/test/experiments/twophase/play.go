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
	minFraction   = 0.7  // least share of a summary's weight that an incomplete answer must have
	queryRate     = 40.0 // queries per second, which keep the replicas about half busy in one phase
	duration      = 9 * time.Second
	warmUp        = time.Second // initial time in which the planner has no experience; most counts exclude it
	retainedBytes = 4 << 20     // memory of the coordinator for values retained by first phases
	deadline      = 1500 * time.Millisecond

	// lateSlack is how long after the deadline an answer may arrive without counting as late. It covers delays in this
	// process.
	lateSlack = 100 * time.Millisecond
	// arrivalStream separates the random draws of arrivals from those of other generators with the same seed.
	arrivalStream = 0x717565
)

// queryTexts are the queries, most popular first: summaries of all trails, of open trails, and of deep snow.
var queryTexts = []map[string]any{
	{"match_all": struct{}{}},
	{"term": map[string]any{"open": true}},
	{"range": map[string]any{"snow_cm": map[string]any{"gte": 60}}},
}

// morningRun is the state of one run of a morning.
type morningRun struct {
	coordinator *endtoend.Coordinator
	truth       endtoend.Truth

	mu    sync.Mutex
	tally *tally
}

// runMorning runs a morning against a coordinator that searches in one phase or in two. It waits for all queries and
// for the goroutine that changes the data.
func runMorning(m morning, twoPhases bool) (*tally, error) {
	began := time.Now()
	truth := endtoend.Truth{
		Nodes:    newReplicas(m, began),
		RingSize: replicaCount, ReplicationFactor: replicationFactor, MinFraction: minFraction,
	}
	c, err := endtoend.Site{
		Settings:   endtoend.SummarySettings(replicaCount, replicationFactor),
		Sections:   shards,
		Indices:    endtoend.SummaryIndices(twoPhases),
		CacheBytes: retainedBytes,
		Nodes:      truth.Nodes,
	}.Start()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var changes sync.WaitGroup
	changes.Go(func() { m.change(ctx, truth.Nodes) })
	r := &morningRun{coordinator: c, truth: truth, tally: newTally()}
	workInWarmUp := r.sendArrivals(m.seed, began)
	r.tally.workUnits = workDone(truth.Nodes) - workInWarmUp
	cancel()
	changes.Wait()
	return r.tally, nil
}

// sendArrivals sends each query of a seed when it is due, without waiting for earlier queries, and then waits for all
// answers. It returns the work that the replicas had done when the last query of the warm-up started.
func (r *morningRun) sendArrivals(seed uint64, began time.Time) (workInWarmUp float64) {
	var queries sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, arrivalStream))
	due := time.Duration(0)
	for number := 0; due < duration; number++ {
		due += time.Duration(rng.ExpFloat64() / queryRate * float64(time.Second))
		query, inWarmUp := queryTexts[min(len(queryTexts)-1, int(rng.ExpFloat64()))], due < warmUp
		time.Sleep(time.Until(began.Add(due)))
		if inWarmUp {
			workInWarmUp = workDone(r.truth.Nodes)
		}
		queries.Go(func() { r.query(number, query, inWarmUp) })
	}
	queries.Wait()
	return workInWarmUp
}

// query sends a query and counts its answer. It keeps the hits of the answer if the data did not change while the query
// ran.
func (r *morningRun) query(number int, query map[string]any, inWarmUp bool) {
	a := r.search(query)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.add(a, inWarmUp)
	if a.status == http.StatusOK && isUnchanged(r.truth, query, a.from, a.to) {
		r.tally.unchanged[number] = completeHits(a.body)
	}
}

// answer is the answer to a query, with the result of its check.
type answer struct {
	status     int // HTTP status
	body       []byte
	from, to   time.Time // start of the query and end of its answer
	violations []string  // differences between the answer and the replicas' data
}

func (a answer) latency() time.Duration { return a.to.Sub(a.from) }

// search sends a query and checks its answer against the data that the replicas held while it ran.
func (r *morningRun) search(query map[string]any) (a answer) {
	path := fmt.Sprintf("/%s/_search?size=1000&timeout=%dms", endtoend.SummaryIndex, deadline.Milliseconds())
	a.from = time.Now()
	a.status, a.body = r.coordinator.Search(path, map[string]any{"query": query})
	a.to = time.Now()
	if a.status == http.StatusOK {
		a.violations = r.truth.Check(query, allShards(), a.body, a.from, a.to)
	}
	return a
}

func allShards() (numbers []int) {
	for s := range shards {
		numbers = append(numbers, s)
	}
	return numbers
}

// isUnchanged reports whether, for each shard, all holders gave a query the same value throughout the time between two
// instants.
func isUnchanged(truth endtoend.Truth, query map[string]any, from, to time.Time) bool {
	for _, s := range allShards() {
		if len(truth.Values(query, s, from, to)) != 1 {
			return false
		}
	}
	return true
}

// completeHits returns the hits of a complete answer, or "" for an incomplete one. The time that the query took is
// not part of the hits.
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
