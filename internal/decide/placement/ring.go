// Package placement says which replicas hold a shard: those at consecutive ring positions, of which the first is the
// shard's number modulo the size of the ring.
package placement

// Ring is a ring of positions. The zero value is not valid: both fields are at least 1.
type Ring struct {
	Size              int // number of positions
	ReplicationFactor int // number of consecutive positions that hold a shard, at most Size
}

// Position returns the ring position of a number, which may be negative: the number modulo the ring's size.
func (r Ring) Position(number int) int { return (number%r.Size + r.Size) % r.Size }

// EachShardAt calls f for each shard below shards that the replicas at a ring position hold.
func (r Ring) EachShardAt(position, shards int, f func(shard int)) {
	for offset := range r.ReplicationFactor {
		for shard := r.Position(position - offset); shard < shards; shard += r.Size {
			f(shard)
		}
	}
}

// HeldAt reports whether a shard has a holder at one of the given positions. All keys are from 0 to Size-1.
func (r Ring) HeldAt(positions map[int]bool, shard int) bool {
	for offset := range r.ReplicationFactor {
		if positions[r.Position(shard+offset)] {
			return true
		}
	}
	return false
}

// ShardsWithoutHolder returns, in order, the shards below shards that replicas at the given positions leave without a
// holder.
func (r Ring) ShardsWithoutHolder(positions []int, shards int) (missing []int) {
	occupied := map[int]bool{}
	for _, position := range positions {
		occupied[r.Position(position)] = true
	}
	for shard := range shards {
		if !r.HeldAt(occupied, shard) {
			missing = append(missing, shard)
		}
	}
	return missing
}
