package scatter

import (
	"cmp"
	"slices"
	"time"

	"harepass/internal/decide/subsetting"
)

// replica is what the machine knows of one entry of the endpoint list.
type replica struct {
	Replica
	number   int        // in order of first listing
	listedBy int        // number of the endpoint update that named it last
	siblings []*replica // those that hold a shard in common with it, in order of first listing

	subsetKey float64           // decides whether it is in this coordinator's subset
	offset    subsetting.Offset // of this coordinator among those that keep it
	hasOffset bool              // offset has been set

	latencyRatio float64 // its latency, as a multiple of the mean one of each class
	siblingRatio memo    // the median latency ratio of its siblings

	attempts  []*attempt // outstanding
	openCalls int        // calls with attempts outstanding
	lastCall  *call
	lastUsed  time.Duration // when an attempt last began or ended there; 0 for never

	health      health
	classHealth []classHealth // by class index
	slowStart   slowStart

	busy           bool          // it is listed as busy
	removedAt      time.Duration // since when it is listed as removed; 0 if it is not
	removalPending bool          // it is among those that may be forgotten in time
}

// usable reports whether a replica takes part in the routing shares: the list has it as Ready, and it is not ejected.
func (r *replica) usable() bool { return r.State == Ready && !r.health.ejected }

// byListing orders replicas by when they were first listed.
func byListing(x, y *replica) int { return cmp.Compare(x.number, y.number) }

// replicaTable holds all replicas that are known.
type replicaTable struct {
	all           []*replica // in order of first listing
	byID          map[string]*replica
	ring          ring
	lastNumber    int
	listedReady   int        // listed as Ready, ejected or not
	usable        int        // listed as Ready and not ejected
	busy          []*replica // with attempts outstanding now or since the last dropIdle; in order of first listing
	removed       []*replica // that may be forgotten in time
	siblingsStale bool       // some replica's siblings are not those by the ring
}

// count counts the replicas for which a condition holds.
func (t *replicaTable) count(holds func(*replica) bool) (n float64) {
	for _, r := range t.all {
		if holds(r) {
			n++
		}
	}
	return n
}

// add enters a replica that was not listed before. It counts as removed until update says what it is.
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
	for _, o := range r.siblings { // r comes last in their order
		o.siblings = append(o.siblings, r)
	}
	return r
}

// update takes over what the endpoint list says of a replica.
func (t *replicaTable) update(r *replica, e Replica) {
	was := r.Replica
	moved := mod(was.RingPosition, t.ring.size) != mod(e.RingPosition, t.ring.size)
	t.siblingsStale = t.siblingsStale || was.RingPosition != e.RingPosition
	if moved {
		t.ring.remove(r)
	}
	t.change(r, func() { r.Replica = e })
	switch {
	case moved:
		t.ring.add(r)
	case was.State != e.State || was.RingPosition != e.RingPosition || was.StartedAt != e.StartedAt:
		t.ring.markUnranked(t.ring.at(e.RingPosition))
	}
	if was.State == Ready {
		t.listedReady--
	}
	if e.State == Ready {
		t.listedReady++
	}
}

// markRemoved notes since when a replica is listed as removed.
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

// forget takes a replica out of everything.
func (t *replicaTable) forget(r *replica) {
	for _, o := range r.siblings {
		o.siblings = slices.DeleteFunc(o.siblings, func(x *replica) bool { return x == r })
	}
	delete(t.byID, r.ID)
	t.all = removeInOrder(t.all, r)
	t.ring.remove(r)
}

// setEjected enters whether a replica is ejected.
func (t *replicaTable) setEjected(r *replica, ejected bool) {
	t.change(r, func() { r.health.ejected = ejected })
}

// change applies a change of what makes a replica usable, and keeps the count of those that are.
func (t *replicaTable) change(r *replica, change func()) {
	if r.usable() {
		t.usable--
	}
	change()
	if r.usable() {
		t.usable++
	}
}

// markBusy enters a replica that has an attempt outstanding.
func (t *replicaTable) markBusy(r *replica) {
	if !r.busy {
		r.busy = true
		t.busy = insertInOrder(t.busy, r)
	}
}

// dropIdle takes the replicas without attempts out of those that are busy.
func (t *replicaTable) dropIdle() {
	t.busy = slices.DeleteFunc(t.busy, func(r *replica) bool {
		r.busy = len(r.attempts) > 0
		return !r.busy
	})
}

// relateAll finds the siblings of all replicas anew.
func (t *replicaTable) relateAll() {
	for _, r := range t.all {
		r.siblings = t.ring.siblings(r)
	}
	t.siblingsStale = false
}

// insertInOrder enters a replica into a list in order of first listing.
func insertInOrder(list []*replica, r *replica) []*replica {
	i, _ := slices.BinarySearchFunc(list, r, byListing)
	return slices.Insert(list, i, r)
}

// removeInOrder takes a replica out of such a list.
func removeInOrder(list []*replica, r *replica) []*replica {
	if i, found := slices.BinarySearchFunc(list, r, byListing); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}
