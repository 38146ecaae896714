package harepass

import (
	"cmp"
	"slices"
	"time"

	"harepass/internal/decide/subsetting"
)

// This file finds replicas and shards by their cell, and keeps count of them, so that a changed entry costs what it and its
// neighbours do, however long the list is. No decision is here.

// cell is one position of the ring.
type cell struct {
	replicas  []*replica // whatever their state, in order of first listing
	shards    []*shard   // in use, whose first holders are here
	unsettled bool       // the ranks of its replicas may have changed
}

// ring is all cells that anything is known of. Cell c of a replica is at position c modulo size.
type ring struct {
	size, reach int
	cells       map[int]*cell
	unsettled   []*cell
}

func newRing(size, reach int) ring { return ring{size: size, reach: reach, cells: map[int]*cell{}} }

// at is the cell of a number.
func (g *ring) at(no int) *cell {
	no = mod(no, g.size)
	c := g.cells[no]
	if c == nil {
		c = &cell{}
		g.cells[no] = c
	}
	return c
}

func (g *ring) unsettle(c *cell) {
	if !c.unsettled {
		c.unsettled = true
		g.unsettled = append(g.unsettled, c)
	}
}

// add enters a replica by its cell.
func (g *ring) add(r *replica) {
	c := g.at(r.Cell)
	c.replicas = insertInOrder(c.replicas, r)
	g.unsettle(c)
}

// remove takes a replica out, be it for another cell.
func (g *ring) remove(r *replica) {
	c := g.at(r.Cell)
	c.replicas = removeInOrder(c.replicas, r)
	g.unsettle(c)
}

// addShard enters a shard that comes into use.
func (g *ring) addShard(s *shard) {
	c := g.at(s.no)
	c.shards = append(c.shards, s)
}

// shardsOf calls f with each shard in use that a replica of this cell may hold.
func (g *ring) shardsOf(no int, f func(*shard)) {
	for j := range g.reach {
		if c := g.cells[mod(no-j, g.size)]; c != nil {
			for _, s := range c.shards {
				f(s)
			}
		}
	}
}

// holders calls f with each replica that may hold a shard, whatever its state.
func (g *ring) holders(no int, f func(*replica)) {
	for j := range g.reach {
		if c := g.cells[mod(no+j, g.size)]; c != nil {
			for _, r := range c.replicas {
				f(r)
			}
		}
	}
}

// neighbours lists the other replicas that may hold a shard in common with one, in order of first listing.
func (g *ring) neighbours(r *replica) (list []*replica) {
	first, count := r.Cell-g.reach+1, min(2*g.reach-1, g.size)
	for j := range count {
		if c := g.cells[mod(first+j, g.size)]; c != nil {
			for _, o := range c.replicas {
				if o != r {
					list = append(list, o)
				}
			}
		}
	}
	slices.SortFunc(list, byListing)
	return list
}

// resize gives a list of n entries, in the same space where that is enough. The entries are whatever they were.
func resize(list *[]float64, n int) []float64 {
	*list = slices.Grow((*list)[:0], n)[:n]
	return *list
}

// byListing compares replicas by when they were first listed.
func byListing(x, y *replica) int { return cmp.Compare(x.no, y.no) }

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

// newcomer enters a replica that was not listed before. It counts as gone until relist says what it is.
func (a *Aggregator) newcomer(e Replica) *replica {
	r := newReplica(Replica{ID: e.ID, Cell: e.Cell, State: Gone}, len(a.classes))
	a.lastNo++
	r.no = a.lastNo
	a.byID[r.ID] = r
	a.replicas = append(a.replicas, r)
	a.ring.add(r)
	a.relate(r)
	return r
}

// relist takes over what the list says of a replica.
func (a *Aggregator) relist(r *replica, e Replica) {
	a.work.replicas++
	was, moved := r.Replica, mod(r.Cell, a.ring.size) != mod(e.Cell, a.ring.size)
	a.unready(r)
	if moved {
		a.ring.remove(r)
	}
	a.apart = a.apart || was.Cell != e.Cell
	r.Replica = e
	if moved {
		a.ring.add(r)
	} else if was.State != e.State || was.Cell != e.Cell || was.Since != e.Since {
		a.ring.unsettle(a.ring.at(e.Cell))
	}
	if was.State == Ready {
		a.running--
	}
	if e.State == Ready {
		a.running++
	}
	a.reready(r)
	if e.State != Gone {
		r.goneAt = 0
	} else if r.goneAt == 0 {
		r.goneAt = a.now
		if !r.mayForget {
			r.mayForget = true
			a.gone = append(a.gone, r)
		}
	}
}

// drop takes a replica that is over out of everything.
func (a *Aggregator) drop(r *replica) {
	for _, o := range r.siblings {
		o.siblings = slices.DeleteFunc(o.siblings, func(x *replica) bool { return x == r })
	}
	delete(a.byID, r.ID)
	a.replicas = removeInOrder(a.replicas, r)
	a.ring.remove(r)
}

// setSuspect enters whether a replica is a suspect.
func (a *Aggregator) setSuspect(r *replica, suspect bool) {
	a.unready(r)
	r.suspect = suspect
	a.reready(r)
}

// unready takes a replica out of the count of the ready ones before its standing changes, and reready puts it back after.
func (a *Aggregator) unready(r *replica) {
	if r.ready() {
		a.ready--
	}
}

func (a *Aggregator) reready(r *replica) {
	if r.ready() {
		a.ready++
	}
}

// engage enters the replica of a new attempt among those with attempts out. watched takes it off.
func (a *Aggregator) engage(at *attempt) {
	if r := at.r; !r.engaged {
		r.engaged = true
		a.engaged = insertInOrder(a.engaged, r)
	}
	a.watchAt = min(a.watchAt, at.silentAt())
}

// silentAt is until when an attempt makes no silent replica, whatever else is known.
func (at *attempt) silentAt() time.Duration {
	return at.sent + scale(at.part.q.cls.overdue, silentFactor)
}

// watched lists the replicas whose standing this step may change: those with attempts out, and at a refill in its time all.
// Until the first attempt has been out for long there is none.
func (a *Aggregator) watched() []*replica {
	timed := a.now >= a.nextRefill
	if !timed && !a.heldUp && !a.dirty && a.watchNo == a.refillNo && a.now <= a.watchAt {
		return nil
	}
	a.engaged = slices.DeleteFunc(a.engaged, (*replica).idle)
	a.watchNo, a.watchAt = a.refillNo, never+a.now
	for _, r := range a.engaged {
		for _, at := range r.out {
			a.watchAt = min(a.watchAt, at.silentAt())
		}
	}
	list := a.engaged
	if timed {
		list = a.replicas
	}
	a.work.replicas += len(list)
	return list
}

// idle tells whether a replica has no attempt out, and is then no longer engaged.
func (r *replica) idle() bool {
	r.engaged = len(r.out) > 0
	return !r.engaged
}

// relate makes a replica that comes last and those listed before it siblings where they hold a shard in common.
func (a *Aggregator) relate(r *replica) {
	r.siblings = a.ring.neighbours(r)
	for _, o := range r.siblings {
		o.siblings = append(o.siblings, r)
	}
}

// relateAll does so for all, from nothing.
func (a *Aggregator) relateAll() {
	for _, r := range a.replicas {
		r.siblings = a.ring.neighbours(r)
	}
	a.apart = false
}

// reform makes the ring that of the settings.
func (a *Aggregator) reform() {
	if a.ring.size == a.set.Cells && a.ring.reach == a.set.Reach {
		return
	}
	a.ring, a.apart = newRing(a.set.Cells, a.set.Reach), true
	for _, r := range a.replicas {
		a.ring.add(r)
	}
	for _, s := range a.touched {
		a.ring.addShard(s)
	}
}

// settle finds this root's place: its subset of what is listed as running, and the key of each replica there.
func (a *Aggregator) settle() {
	place := subsetting.Place{Me: a.set.Me - 1, Of: a.set.Roots}
	before := a.settled
	a.subset = subsetting.NewSubset(place, subsetting.Ring{Cells: a.set.Cells, Reach: a.set.Reach, Nodes: a.running}, leastKept)
	a.fleet = max(1, a.subset.Share*float64(a.set.Roots)/fewRoots)
	a.settled = settled{a.subset, a.place()}
	if a.settled != before {
		for _, c := range a.ring.cells {
			a.ring.unsettle(c)
		}
	}
	for _, c := range a.ring.unsettled {
		a.settleCell(c)
	}
	a.ring.unsettled = a.ring.unsettled[:0]
}

// settleCell gives the running replicas of a cell their keys, by their rank.
func (a *Aggregator) settleCell(c *cell) {
	c.unsettled = false
	a.work.replicas += len(c.replicas)
	some := slices.DeleteFunc(slices.Clone(c.replicas), func(r *replica) bool { return r.State != Ready })
	slices.SortFunc(some, func(x, y *replica) int {
		return cmp.Or(cmp.Compare(x.Cell, y.Cell), cmp.Compare(x.Since, y.Since), cmp.Compare(x.ID, y.ID))
	})
	rank := 0
	for i, r := range some {
		if rank++; i == 0 || some[i-1].Cell != r.Cell {
			rank = 0
		}
		r.key = a.subset.Key(r.Cell, rank)
		if position := a.subset.Position(a.place(), r.key); !r.positioned || position != r.position {
			r.position, r.positioned, r.sequence = position, true, position.Sequence(subsetting.Salt(r.ID))
		}
	}
}

// hold lists a shard's holders in the order of their keys, and how many of them this root sends to.
func (a *Aggregator) hold(s *shard) {
	s.holders = s.holders[:0]
	a.ring.holders(s.no, func(r *replica) {
		a.work.replicas++
		if r.State == Ready {
			s.holders = append(s.holders, r)
		}
	})
	slices.SortFunc(s.holders, func(x, y *replica) int { return cmp.Or(cmp.Compare(x.key, y.key), byListing(x, y)) })
	keys, ready := a.keys[:0], a.readies[:0]
	for _, r := range s.holders {
		keys, ready = append(keys, r.key), append(ready, r.ready())
	}
	s.kept = a.subset.Among(keys, ready, leastKept)
	a.keys, a.readies = keys, ready
}

// work counts what was looked at, for tests: it is to stay as small as what has changed.
type work struct{ replicas, shards int }

// settled is what the keys of all replicas go by.
type settled struct {
	subset subsetting.Subset
	place  subsetting.Place
}

// basis is what the shares of a refill go by besides ratios, rates and standings.
type basis struct {
	at    time.Duration
	bases []float64 // by class
}
