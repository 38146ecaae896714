package maintenance

import (
	"maps"
	"slices"

	"harepass/internal/decide/scatter"
)

// ring is how shards are placed: a shard is held by the replicas at replicationFactor positions from its own on.
type ring struct {
	size, replicationFactor int
}

// position is where a number of any size lies, from 0 to below the ring's size.
func (g ring) position(number int) int { return (number%g.size + g.size) % g.size }

// shardsAt calls f for each of the first shards that the replicas at a ring position hold.
func (g ring) shardsAt(ringPosition, shards int, f func(shard int)) {
	for j := range g.replicationFactor {
		for s := g.position(ringPosition - j); s < shards; s += g.size {
			f(s)
		}
	}
}

// UncoveredShards returns the shards, in order, whose ready holders are all out for maintenance: no query that needs
// one of them can be answered completely. A shard that lacks a ready holder by the list alone is not among them.
// Shards are numbered from 0 to below shards. The list has to name all holders of each shard that a replica which is
// out holds.
func (r Register) UncoveredShards(list []scatter.Replica, ringSize, replicationFactor, shards int) (uncovered []int) {
	g := ring{ringSize, replicationFactor}
	covered := map[int]bool{}  // ring positions with a ready replica that is not out
	affected := map[int]bool{} // shards with a ready replica that is out
	for _, listed := range list {
		switch {
		case listed.State != scatter.Ready:
		case r[listed.ID].Out:
			g.shardsAt(listed.RingPosition, shards, func(shard int) { affected[shard] = true })
		default:
			covered[g.position(listed.RingPosition)] = true
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(affected)) {
		if !g.coveredBy(covered, shard) {
			uncovered = append(uncovered, shard)
		}
	}
	return uncovered
}

// coveredBy reports whether one of a shard's holders stands at one of some positions.
func (g ring) coveredBy(positions map[int]bool, shard int) bool {
	for j := range g.replicationFactor {
		if positions[g.position(shard+j)] {
			return true
		}
	}
	return false
}
