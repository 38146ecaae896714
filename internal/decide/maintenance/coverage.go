package maintenance

import (
	"maps"
	"slices"

	"harepass/internal/decide/scatter"
)

// ring describes how shards are placed on replicas: a shard is held by the replicas at replicationFactor consecutive
// ring positions, of which the first is the shard's number modulo size.
type ring struct {
	size, replicationFactor int
}

// position returns the ring position of a number, which may be negative: the number modulo the ring size.
func (g ring) position(number int) int { return (number%g.size + g.size) % g.size }

// shardsAt calls f for each shard below shards that the replicas at a ring position hold.
func (g ring) shardsAt(ringPosition, shards int, f func(shard int)) {
	for j := range g.replicationFactor {
		for s := g.position(ringPosition - j); s < shards; s += g.size {
			f(s)
		}
	}
}

// UncoveredShards returns the shards, in order, whose ready holders are all out for maintenance. A query that needs one
// of these shards cannot be answered completely. A shard without any holder that is listed as Ready is not included.
// Shards are numbered from 0 to shards-1. For each shard held by a replica that is out, the list must contain all
// holders of the shard.
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

// coveredBy reports whether a shard has a holder at one of the given positions.
func (g ring) coveredBy(positions map[int]bool, shard int) bool {
	for j := range g.replicationFactor {
		if positions[g.position(shard+j)] {
			return true
		}
	}
	return false
}
