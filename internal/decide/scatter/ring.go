package scatter

import "slices"

// ring finds replicas and shards by their ring position, so that the cost of a changed entry of the endpoint list
// depends on its neighbours only, not on the length of the list. Shard s is held by the replicas at the positions from
// s on, as many positions as the replication factor, modulo the ring's size.
type ring struct {
	size, replicationFactor int
	slots                   map[int]*slot // by position; positions without replicas or shards may have none
	unranked                []*slot       // those whose replicas' ranks may have changed
}

// slot is one position of the ring.
type slot struct {
	replicas []*replica // in any state, in order of first listing
	shards   []*shard   // shards in use whose first holders are here
	unranked bool       // it is in ring.unranked
}

func newRing(size, replicationFactor int) ring {
	return ring{size: size, replicationFactor: replicationFactor, slots: map[int]*slot{}}
}

// at returns the slot of a position, which may be any number.
func (g *ring) at(position int) *slot {
	position = mod(position, g.size)
	c := g.slots[position]
	if c == nil {
		c = &slot{}
		g.slots[position] = c
	}
	return c
}

// markUnranked records that the ranks of a slot's replicas may have changed.
func (g *ring) markUnranked(c *slot) {
	if !c.unranked {
		c.unranked = true
		g.unranked = append(g.unranked, c)
	}
}

// add inserts a replica at its position.
func (g *ring) add(r *replica) {
	c := g.at(r.RingPosition)
	c.replicas = insertInOrder(c.replicas, r)
	g.markUnranked(c)
}

// remove deletes a replica from its position.
func (g *ring) remove(r *replica) {
	c := g.at(r.RingPosition)
	c.replicas = removeInOrder(c.replicas, r)
	g.markUnranked(c)
}

// addShard adds a shard at its first use.
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

// holders calls f with each replica that may hold a shard, in any state; those listed as Ready are the shard's
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

// siblings returns the other replicas that may hold a shard in common with r, in order of first listing.
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
