package choices

import (
	"runtime"
	"slices"
	"sync"
)

// result holds the measurements of one fleet. Each situation sets the fields that it measures.
type result struct {
	partImbalance       float64 // parts sent to the busiest replica, as a multiple of the mean
	partFairness        float64 // Jain's index of the parts sent to the replicas
	connectionImbalance float64 // most connections of a replica, as a multiple of the mean
	connections         float64 // open connections of the whole fleet
	probeImbalance      float64 // most parts sent to an unresponsive replica after detection, over the mean
	overloadedReplicas  int     // replicas that got more parts in their slow start than they tolerate
	slowStartPressure   float64 // most parts that a replica got in its slow start, as a share of what it tolerates
	earnedFraction      float64 // earned share of the offered priority weight in normal operation
	zoneLostFraction    float64 // earned share of the offered priority weight during the loss of a zone and after
	partsSent           [][]int // parts by second and replica
}

// add merges the result of another situation into r. Only overloadedReplicas is set by several situations.
func (r *result) add(o result) {
	r.partImbalance += o.partImbalance
	r.partFairness += o.partFairness
	r.connectionImbalance += o.connectionImbalance
	r.connections += o.connections
	r.probeImbalance += o.probeImbalance
	r.overloadedReplicas += o.overloadedReplicas
	r.slowStartPressure = max(r.slowStartPressure, o.slowStartPressure)
	r.earnedFraction += o.earnedFraction
	r.zoneLostFraction += o.zoneLostFraction
	if o.partsSent != nil {
		r.partsSent = o.partsSent
	}
}

// comparison holds the results of two fleets of the same size.
type comparison struct {
	without result // coordinators do not know their ordinals
	with    result // coordinators know their ordinals
}

// of returns the result of the fleet whose coordinators know their ordinals, or of the other one.
func (c *comparison) of(knowOrdinals bool) *result {
	if knowOrdinals {
		return &c.with
	}
	return &c.without
}

// simulateAll runs every situation with fleets of all sizes, with at most one simulation per processor at a time. The
// results are in the order of fleetSizes. The error is the first one that a situation returned.
func simulateAll() ([]comparison, error) {
	results := make([]comparison, len(fleetSizes))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, max(1, runtime.NumCPU()))
	for i, size := range slices.Backward(fleetSizes) { // longest simulations first
		for _, knowOrdinals := range []bool{false, true} {
			for _, simulate := range []situation{normalOperation, allRestarted, zoneLost} {
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					r, err := simulate(size, knowOrdinals)
					mu.Lock()
					defer mu.Unlock()
					if firstErr == nil {
						firstErr = err
					}
					results[i].of(knowOrdinals).add(r)
				})
			}
		}
	}
	wg.Wait()
	return results, firstErr
}
