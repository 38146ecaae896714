package scatter

import "slices"

// ring finds replicas and shards by their position on the ring, so that a changed entry of the endpoint list costs what
// it and its neighbours do, however long the list is. Shard s is held by the replicas of the positions from s on, as
// many as the replication factor, modulo the ring's size.
type ring struct {
	size, replicationFactor int
	slots                   map[int]*slot // by position; positions of which nothing is known have none
	unranked                []*slot       // the ranks of their replicas may have changed
}

// slot is one position of the ring.
type slot struct {
	replicas []*replica // whatever their state, in order of first listing
	shards   []*shard   // in use, whose first holders are here
	unranked bool       // it is listed in ring.unranked
}

func newRing(size, replicationFactor int) ring {
	return ring{size: size, replicationFactor: replicationFactor, slots: map[int]*slot{}}
}

// at is the slot of a position, which may be any number.
func (g *ring) at(position int) *slot {
	position = mod(position, g.size)
	c := g.slots[position]
	if c == nil {
		c = &slot{}
		g.slots[position] = c
	}
	return c
}

// markUnranked notes that the ranks of a slot's replicas may have changed.
func (g *ring) markUnranked(c *slot) {
	if !c.unranked {
		c.unranked = true
		g.unranked = append(g.unranked, c)
	}
}

// add enters a replica at its position.
func (g *ring) add(r *replica) {
	c := g.at(r.RingPosition)
	c.replicas = insertInOrder(c.replicas, r)
	g.markUnranked(c)
}

// remove takes a replica out of its position.
func (g *ring) remove(r *replica) {
	c := g.at(r.RingPosition)
	c.replicas = removeInOrder(c.replicas, r)
	g.markUnranked(c)
}

// addShard enters a shard that comes into use.
func (g *ring) addShard(s *shard) {
	c := g.at(s.number)
	c.shards = append(c.shards, s)
}

// shardsOf calls f with each shard in use that a replica at a position may hold.
func (g *ring) shardsOf(position int, f func(*shard)) {
	for offset := range g.replicationFactor {
		c := g.slots[mod(position-offset, g.size)]
		if c == nil {
			continue
		}
		for _, s := range c.shards {
			f(s)
		}
	}
}

// holders calls f with each replica that may hold a shard, whatever its state; those listed as Ready are the shard's
// readyHolders.
func (g *ring) holders(shard int, f func(*replica)) {
	for offset := range g.replicationFactor {
		c := g.slots[mod(shard+offset, g.size)]
		if c == nil {
			continue
		}
		for _, r := range c.replicas {
			f(r)
		}
	}
}

// siblings lists the other replicas that may hold a shard in common with one, in order of first listing.
func (g *ring) siblings(r *replica) (list []*replica) {
	first, count := r.RingPosition-g.replicationFactor+1, min(2*g.replicationFactor-1, g.size)
	for offset := range count {
		c := g.slots[mod(first+offset, g.size)]
		if c == nil {
			continue
		}
		for _, o := range c.replicas {
			if o != r {
				list = append(list, o)
			}
		}
	}
	slices.SortFunc(list, byListing)
	return list
}
