package maintenance

import (
	"maps"
	"slices"

	"harepass/internal/decide/placement"
	"harepass/internal/decide/scatter"
)

// UncoveredShards returns the shards, in order, whose ready holders are all out for maintenance. A query that needs one
// of these shards cannot be answered completely. A shard without any holder that is listed as Ready is not included.
// Shards are numbered from 0 to shards-1. For each shard held by a replica that is out, the list must contain all
// holders of the shard.
func (r Register) UncoveredShards(list []scatter.Replica, ringSize, replicationFactor, shards int) (uncovered []int) {
	ring := placement.Ring{Size: ringSize, ReplicationFactor: replicationFactor}
	covered := map[int]bool{}  // ring positions with a ready replica that is not out
	affected := map[int]bool{} // shards with a ready replica that is out
	for _, listed := range list {
		switch {
		case listed.State != scatter.Ready:
		case r[listed.ID].Out:
			ring.EachShardAt(listed.RingPosition, shards, func(shard int) { affected[shard] = true })
		default:
			covered[ring.Position(listed.RingPosition)] = true
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(affected)) {
		if !ring.HeldAt(covered, shard) {
			uncovered = append(uncovered, shard)
		}
	}
	return uncovered
}
