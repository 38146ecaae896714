package core

import (
	"maps"
	"slices"
	"sync"

	"harepass/internal/decide/scatter"
)

// Endpoint is a replica with the way to reach it.
type Endpoint struct {
	scatter.Replica
	Address string
	Scheme  string // names the Caller that speaks to it
}

// listedEndpoint is an endpoint with the source that listed it last.
type listedEndpoint struct {
	Endpoint
	source string
}

// endpointTable holds the endpoints that the sources list. The coordinator's goroutine alone writes to it, and reads it
// without the lock; other goroutines may call contains.
type endpointTable struct {
	mu                sync.RWMutex
	byID              map[string]listedEndpoint
	ring              ringIndex    // of byID
	firstPhaseSupport map[int]bool // of supportsFirstPhase, by the shard's ring position
}

func newEndpointTable(ringSize, replicationFactor int) endpointTable {
	return endpointTable{byID: map[string]listedEndpoint{}, ring: newRingIndex(ringSize, replicationFactor, nil),
		firstPhaseSupport: map[int]bool{}}
}

// put enters an endpoint, in the place of what was listed under its id.
func (t *endpointTable) put(e listedEndpoint) {
	t.remove(e.ID)
	t.mu.Lock()
	t.byID[e.ID] = e
	t.mu.Unlock()
	t.ring.add(e)
	t.forgetShardsOf(e)
}

// remove takes an endpoint off the table, if it is there.
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

// forgetShardsOf drops what is remembered of the shards that an endpoint holds.
func (t *endpointTable) forgetShardsOf(e listedEndpoint) {
	t.ring.forShards(e.RingPosition, func(shard int) { delete(t.firstPhaseSupport, shard) })
}

// forgetFirstPhaseSupport drops what is remembered of all shards: endpoints may count otherwise than before.
func (t *endpointTable) forgetFirstPhaseSupport() { clear(t.firstPhaseSupport) }

// resizeRing indexes the endpoints anew, if the ring has changed.
func (t *endpointTable) resizeRing(ringSize, replicationFactor int) {
	if ringSize != t.ring.size || replicationFactor != t.ring.replicationFactor {
		t.ring = newRingIndex(ringSize, replicationFactor, t.byID)
	}
}

// ids lists the ids of all endpoints in order.
func (t *endpointTable) ids() []string { return slices.Sorted(maps.Keys(t.byID)) }

// contains reports whether some source lists an endpoint. Any goroutine may call it.
func (t *endpointTable) contains(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, listed := t.byID[id]
	return listed
}

// HasEndpoint reports whether some source lists an endpoint. Any goroutine may call it.
func (c *Coordinator) HasEndpoint(id string) bool { return c.endpoints.contains(id) }
