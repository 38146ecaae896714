package fleetsim

import (
	"fmt"
	"slices"
	"time"

	"harepass/internal/decide/scatter"
)

// openQuery is a query that has arrived and has not yet been answered, rejected or failed.
type openQuery struct {
	arrivedAt      time.Duration
	priorityWeight float64 // sum over all parts
	parts          int
	servedParts    int
}

// receiveQuery draws a coordinator by its traffic, and gives it a lookup or a summary of consecutive shards.
func (f *Fleet) receiveQuery() {
	f.arrivals++
	c := f.drawCoordinator()
	class, parts, partWeight := classLookup, f.config.LookupShards, lookupPriorityWeight
	if f.rng.Float64() < summaryFraction {
		class, parts, partWeight = classSummary, f.config.SummaryShards, summaryPriorityWeight
	}
	q := &openQuery{arrivedAt: f.now, priorityWeight: partWeight * float64(parts), parts: parts}
	id := fmt.Sprint("q", f.arrivals)
	f.openQueries[id] = q
	f.measured.offeredWeight += q.priorityWeight
	shards := f.config.shards()
	first := f.rng.IntN(shards)
	events := []scatter.Event{scatter.QueryArrived{
		ID: id, Number: f.arrivals, Class: class, Expires: f.now + queryDeadline, Parts: parts,
	}}
	for i := range parts {
		// Shards whose numbers differ by the ring size have the same holders.
		events = append(events, scatter.PartArrived{
			ID: fmt.Sprint(id, ".", i), Number: f.arrivals, Shard: (first + i) % shards, Weight: 1 / float64(parts),
		})
	}
	f.step(c, events...)
}

// drawCoordinator draws a coordinator with a probability proportional to its traffic.
func (f *Fleet) drawCoordinator() *coordinator {
	x := f.rng.Float64() * f.coordinators[len(f.coordinators)-1].cumulativeTraffic
	i, _ := slices.BinarySearchFunc(f.coordinators, x, func(c *coordinator, x float64) int {
		if c.cumulativeTraffic < x {
			return -1
		}
		return 1
	})
	return f.coordinators[min(i, len(f.coordinators)-1)]
}
