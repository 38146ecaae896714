package core

import "slices"

// ringIndex finds the endpoints that hold a shard: those at the ring positions from the shard's number on, as many
// positions as the replication factor, modulo the ring's size.
type ringIndex struct {
	size              int
	replicationFactor int
	ids               map[int][]string // by ring position, in no particular order
}

// newRingIndex indexes the endpoints of a table.
func newRingIndex(size, replicationFactor int, endpoints map[string]listedEndpoint) ringIndex {
	x := ringIndex{size: size, replicationFactor: replicationFactor, ids: map[int][]string{}}
	for _, e := range endpoints {
		x.add(e)
	}
	return x
}

// position is where a number lies on the ring, be it an endpoint's or a shard's; it may be negative.
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

// holders lists the endpoints that hold a shard, whatever their state.
func (x *ringIndex) holders(shard int) (ids []string) {
	for j := range x.replicationFactor {
		ids = append(ids, x.ids[x.position(shard+j)]...)
	}
	return ids
}

// forShards calls f with the position of each shard that endpoints at a ring position hold.
func (x *ringIndex) forShards(ringPosition int, f func(shard int)) {
	for j := range x.replicationFactor {
		f(x.position(ringPosition - j))
	}
}

// near lists the endpoints that hold a shard in common with those at some ring positions, which are among them.
func (x *ringIndex) near(ringPositions []int) (ids []string) {
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
