package scatter

import (
	"cmp"
	"slices"
	"time"

	"harepass/internal/decide/subsetting"
)

// replica is the state of one entry of the endpoint list.
type replica struct {
	Replica
	number   int // in order of first listing
	listedBy int // number of the endpoint update that last contained it
	// siblings are the replicas, in any state, that may hold a shard in common with it, in order of first listing.
	// After a replica moves they are stale until Configure.
	siblings []*replica

	subsetKey float64           // decides whether it is in this coordinator's subset
	offset    subsetting.Offset // this coordinator's place among those whose subsets contain the replica
	hasOffset bool              // offset has been set

	latencyRatio float64 // moving mean of its parts' latencies, each relative to its class's mean latency
	siblingRatio memo    // the median latency ratio of its siblings

	attempts  []*attempt // outstanding
	openCalls int        // calls with outstanding attempts
	lastCall  *call
	lastUsed  time.Duration // when an attempt there last began or ended; 0 for never

	health      health
	classHealth []classHealth // by class index
	slowStart   slowStart

	busy           bool          // it is in replicaTable.busy
	removedAt      time.Duration // when it was first seen as removed; 0 while its state is another
	removalPending bool          // it is in replicaTable.removed
}

// usable reports whether a replica takes part in the routing shares: it is listed as Ready and is not ejected.
func (r *replica) usable() bool { return r.State == Ready && !r.health.ejected }

// byListing orders replicas by when they were first listed.
func byListing(x, y *replica) int { return cmp.Compare(x.number, y.number) }

// replicaTable holds all known replicas.
type replicaTable struct {
	all           []*replica // in order of first listing
	byID          map[string]*replica
	ring          ring
	lastNumber    int
	listedReady   int        // listed as Ready, ejected or not
	usable        int        // listed as Ready and not ejected
	busy          []*replica // with attempts outstanding now or since the last dropIdle, in order of first listing
	removed       []*replica // that pruneRemoved may forget later
	siblingsStale bool       // some replica's siblings are not those that the ring gives
}

// count returns the number of known replicas, also removed ones, for which a condition holds, as a
// float64, by which rates are divided.
func (t *replicaTable) count(holds func(*replica) bool) (n float64) {
	for _, r := range t.all {
		if holds(r) {
			n++
		}
	}
	return n
}

// add inserts a replica that was not listed before. Its state is Removed until update sets the listed one.
func (t *replicaTable) add(e Replica, classes int) *replica {
	t.lastNumber++
	r := &replica{
		Replica:     Replica{ID: e.ID, RingPosition: e.RingPosition, State: Removed},
		number:      t.lastNumber,
		classHealth: make([]classHealth, classes),
	}
	t.byID[r.ID] = r
	t.all = append(t.all, r)
	t.ring.add(r)
	r.siblings = t.ring.siblings(r)
	for _, o := range r.siblings { // r was listed last, so it goes to the end
		o.siblings = append(o.siblings, r)
	}
	return r
}

// update applies an entry of the endpoint list to its replica. A slot is found by the position modulo the ring's size,
// but rank and key depend on the position itself.
func (t *replicaTable) update(r *replica, e Replica) {
	old := r.Replica
	moved := mod(old.RingPosition, t.ring.size) != mod(e.RingPosition, t.ring.size)
	t.siblingsStale = t.siblingsStale || old.RingPosition != e.RingPosition
	if moved {
		t.ring.remove(r)
	}
	t.change(r, func() { r.Replica = e })
	switch {
	case moved:
		t.ring.add(r)
	case old.State != e.State || old.RingPosition != e.RingPosition || old.StartedAt != e.StartedAt:
		t.ring.markUnranked(t.ring.at(e.RingPosition))
	}
	if old.State == Ready {
		t.listedReady--
	}
	if e.State == Ready {
		t.listedReady++
	}
}

// markRemoved records when a replica was first seen as removed, or that it is not removed.
func (t *replicaTable) markRemoved(r *replica, now time.Duration) {
	if r.State != Removed {
		r.removedAt = 0
		return
	}
	if r.removedAt != 0 {
		return
	}
	r.removedAt = now
	if !r.removalPending {
		r.removalPending = true
		t.removed = append(t.removed, r)
	}
}

// forget deletes a replica from the table, from the ring and from its siblings' lists.
func (t *replicaTable) forget(r *replica) {
	for _, o := range r.siblings {
		o.siblings = slices.DeleteFunc(o.siblings, func(x *replica) bool { return x == r })
	}
	delete(t.byID, r.ID)
	t.all = removeInOrder(t.all, r)
	t.ring.remove(r)
}

// setEjected sets whether a replica is ejected.
func (t *replicaTable) setEjected(r *replica, ejected bool) {
	t.change(r, func() { r.health.ejected = ejected })
}

// change applies a change that may affect whether a replica is usable, and updates the count of usable replicas.
func (t *replicaTable) change(r *replica, change func()) {
	if r.usable() {
		t.usable--
	}
	change()
	if r.usable() {
		t.usable++
	}
}

// markBusy adds a replica that has an outstanding attempt to the busy replicas.
func (t *replicaTable) markBusy(r *replica) {
	if !r.busy {
		r.busy = true
		t.busy = insertInOrder(t.busy, r)
	}
}

// dropIdle removes replicas without outstanding attempts from the busy replicas.
func (t *replicaTable) dropIdle() {
	t.busy = slices.DeleteFunc(t.busy, func(r *replica) bool {
		r.busy = len(r.attempts) > 0
		return !r.busy
	})
}

// updateSiblings recomputes the siblings of all replicas.
func (t *replicaTable) updateSiblings() {
	for _, r := range t.all {
		r.siblings = t.ring.siblings(r)
	}
	t.siblingsStale = false
}

// insertInOrder inserts a replica into a list in order of first listing.
func insertInOrder(list []*replica, r *replica) []*replica {
	i, _ := slices.BinarySearchFunc(list, r, byListing)
	return slices.Insert(list, i, r)
}

// removeInOrder removes a replica from a list in order of first listing.
func removeInOrder(list []*replica, r *replica) []*replica {
	if i, found := slices.BinarySearchFunc(list, r, byListing); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
