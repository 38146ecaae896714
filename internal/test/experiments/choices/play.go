package choices

import (
	"runtime"
	"slices"
	"sync"
)

// result is what one fleet came to in all situations. A situation sets the fields that it measures.
type result struct {
	partImbalance       float64 // parts sent to the busiest replica, as a multiple of the mean
	partFairness        float64 // Jain's index of the parts sent to the replicas
	connectionImbalance float64 // connections of the replica with most, as a multiple of the mean
	connections         float64 // connections of the whole fleet
	probeImbalance      float64 // parts sent to unresponsive replicas, once they are known: the most, over the mean
	overloadedReplicas  int     // replicas that got more parts in their slow start than they tolerate
	slowStartPressure   float64 // most parts that a replica got in its slow start, as a share of what it tolerates
	earnedFraction      float64 // share of the offered priority weight that was earned at work
	zoneLostFraction    float64 // share of the offered priority weight that was earned while a zone was lost
	partsSent           [][]int // parts by second and replica
}

// add adds what another situation came to.
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

// comparison has the results of two fleets of one size.
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

// playAll plays every situation with fleets of all sizes, as many at a time as there are processors. The results are in
// the order of fleetSizes. The error is the first one that a situation returned.
func playAll() ([]comparison, error) {
	results := make([]comparison, len(fleetSizes))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, max(1, runtime.NumCPU()))
	for i, size := range slices.Backward(fleetSizes) { // the longest first
		for _, knowOrdinals := range []bool{false, true} {
			for _, play := range []situation{atWork, allRestarted, zoneLost} {
				slots <- struct{}{}
				wg.Go(func() {
					defer func() { <-slots }()
					r, err := play(size, knowOrdinals)
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
