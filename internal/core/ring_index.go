package core

import "slices"

// ringIndex finds the endpoints that hold a shard. These are the endpoints at the ring positions that start at the
// shard's number, as many positions as the replication factor, modulo the ring size.
type ringIndex struct {
	size              int
	replicationFactor int
	ids               map[int][]string // by ring position, in no particular order
}

// newRingIndex builds the index of the given endpoints.
func newRingIndex(size, replicationFactor int, endpoints map[string]listedEndpoint) ringIndex {
	x := ringIndex{size: size, replicationFactor: replicationFactor, ids: map[int][]string{}}
	for _, e := range endpoints {
		x.add(e)
	}
	return x
}

// position maps the number of an endpoint or a shard, which may be negative or beyond the ring size, to a ring
// position.
func (x *ringIndex) position(number int) int { return (number%x.size + x.size) % x.size }

func (x *ringIndex) add(e listedEndpoint) {
	position := x.position(e.RingPosition)
	x.ids[position] = append(x.ids[position], e.ID)
}

func (x *ringIndex) remove(e listedEndpoint) {
	position := x.position(e.RingPosition)
	rest := slices.DeleteFunc(x.ids[position], func(id string) bool { return id == e.ID })
	if x.ids[position] = rest; len(rest) == 0 {
		delete(x.ids, position)
	}
}

// holders returns the ids of the endpoints that hold a shard, in any state.
func (x *ringIndex) holders(shard int) (ids []string) {
	for j := range x.replicationFactor {
		ids = append(ids, x.ids[x.position(shard+j)]...)
	}
	return ids
}

// forShards calls f with the ring position of each shard that endpoints at the given position hold.
func (x *ringIndex) forShards(ringPosition int, f func(shard int)) {
	for j := range x.replicationFactor {
		f(x.position(ringPosition - j))
	}
}

// sharingShards returns the ids of the endpoints that share at least one shard with endpoints at the given ring
// positions. These include the endpoints at those positions.
func (x *ringIndex) sharingShards(ringPositions []int) (ids []string) {
	seen := map[int]bool{}
	for _, endpointPosition := range ringPositions {
		for distance := 1 - x.replicationFactor; distance < x.replicationFactor; distance++ {
			if position := x.position(endpointPosition + distance); !seen[position] {
				seen[position] = true
				ids = append(ids, x.ids[position]...)
			}
		}
	}
	return ids
}
