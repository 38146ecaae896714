package core

import (
	"maps"
	"slices"
	"sync"

	"harepass/internal/decide/placement"
	"harepass/internal/decide/scatter"
)

// Endpoint is a replica and how to reach it.
type Endpoint struct {
	scatter.Replica
	Address string
	Scheme  string // selects the Caller that sends to the endpoint
}

// listedEndpoint is an endpoint and the source that listed it last.
type listedEndpoint struct {
	Endpoint
	source string
}

// endpointTable holds the endpoints that the sources list. Only the coordinator's goroutine writes to it, and that
// goroutine reads it without the lock; other goroutines may call contains.
type endpointTable struct {
	mu                sync.RWMutex
	byID              map[string]listedEndpoint
	ring              ringIndex    // index of byID by ring position
	firstPhaseSupport map[int]bool // cached results of supportsFirstPhase, by the shard's ring position
}

func newEndpointTable(ringSize, replicationFactor int) endpointTable {
	return endpointTable{byID: map[string]listedEndpoint{}, ring: newRingIndex(ringSize, replicationFactor, nil),
		firstPhaseSupport: map[int]bool{}}
}

// put adds an endpoint and replaces any entry with the same id.
func (t *endpointTable) put(e listedEndpoint) {
	t.remove(e.ID)
	t.mu.Lock()
	t.byID[e.ID] = e
	t.mu.Unlock()
	t.ring.add(e)
	t.forgetShardsOf(e)
}

// remove deletes an endpoint from the table if it is listed.
func (t *endpointTable) remove(id string) {
	e, listed := t.byID[id]
	if !listed {
		return
	}
	t.mu.Lock()
	delete(t.byID, id)
	t.mu.Unlock()
	t.ring.remove(e)
	t.forgetShardsOf(e)
}

// forgetShardsOf invalidates the cached first-phase support of the shards that an endpoint holds.
func (t *endpointTable) forgetShardsOf(e listedEndpoint) {
	t.ring.forShards(e.RingPosition, func(shard int) { delete(t.firstPhaseSupport, shard) })
}

// forgetFirstPhaseSupport invalidates the cached first-phase support of all shards, after endpoints may have changed
// their effective state or the ring may have changed.
func (t *endpointTable) forgetFirstPhaseSupport() { clear(t.firstPhaseSupport) }

// resizeRing rebuilds the ring index if the ring size or the replication factor has changed.
func (t *endpointTable) resizeRing(ringSize, replicationFactor int) {
	if ringSize != t.ring.size || replicationFactor != t.ring.replicationFactor {
		t.ring = newRingIndex(ringSize, replicationFactor, t.byID)
	}
}

// ids returns the ids of all endpoints, sorted.
func (t *endpointTable) ids() []string { return slices.Sorted(maps.Keys(t.byID)) }

// contains reports whether any source lists an endpoint. Any goroutine may call it.
func (t *endpointTable) contains(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, listed := t.byID[id]
	return listed
}

// HasEndpoint reports whether any source lists an endpoint. Any goroutine may call it.
func (c *Coordinator) HasEndpoint(id string) bool { return c.endpoints.contains(id) }

// ShardsLosingHolders returns the shards, in order, that have a Ready holder in some source's list now, and would have
// none if source listed only the given endpoints. It returns nil if the number of shards is unknown. Any goroutine may
// call it.
func (c *Coordinator) ShardsLosingHolders(source string, listed []Endpoint) (losing []int) {
	s := c.inForce()
	ring := placement.Ring{Size: s.RingSize, ReplicationFactor: s.ReplicationFactor}
	fromSource, fromOthers := c.endpoints.readyPositions(source)
	missingNow := ring.ShardsWithoutHolder(slices.Concat(fromSource, fromOthers), s.limits.Shards)
	next := fromOthers
	for _, e := range listed {
		next = append(next, e.RingPosition)
	}
	for _, shard := range ring.ShardsWithoutHolder(next, s.limits.Shards) {
		if _, missing := slices.BinarySearch(missingNow, shard); !missing {
			losing = append(losing, shard)
		}
	}
	return losing
}

// readyPositions returns the ring positions of the endpoints that are listed as Ready, by a source and by all others.
// Any goroutine may call it.
func (t *endpointTable) readyPositions(source string) (fromSource, fromOthers []int) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, e := range t.byID {
		switch {
		case e.State != scatter.Ready:
		case e.source == source:
			fromSource = append(fromSource, e.RingPosition)
		default:
			fromOthers = append(fromOthers, e.RingPosition)
		}
	}
	return fromSource, fromOthers
}
