package core

import "slices"

// cellIndex finds the nodes that hold a shard: those of the cells from the shard's number on, reach of them, modulo size.
type cellIndex struct {
	size, reach int
	nodes       map[int][]string // ids by cell, in no particular order
}

// newCellIndex indexes all nodes of a list.
func newCellIndex(size, reach int, nodes map[string]listedNode) cellIndex {
	x := cellIndex{size: size, reach: reach, nodes: map[int][]string{}}
	for _, n := range nodes {
		x.add(n)
	}
	return x
}

// position is where a cell or shard of any number lies.
func (x *cellIndex) position(no int) int { return (no%x.size + x.size) % x.size }

func (x *cellIndex) add(n listedNode) {
	at := x.position(n.RingPosition)
	x.nodes[at] = append(x.nodes[at], n.ID)
}

func (x *cellIndex) remove(n listedNode) {
	at := x.position(n.RingPosition)
	rest := slices.DeleteFunc(x.nodes[at], func(id string) bool { return id == n.ID })
	if x.nodes[at] = rest; len(rest) == 0 {
		delete(x.nodes, at)
	}
}

// holders lists the nodes that hold a shard, whatever their state.
func (x *cellIndex) holders(shard int) (ids []string) {
	for j := range x.reach {
		ids = append(ids, x.nodes[x.position(shard+j)]...)
	}
	return ids
}

// forShards calls f with the position of each shard that the nodes of a cell hold.
func (x *cellIndex) forShards(cell int, f func(shard int)) {
	for j := range x.reach {
		f(x.position(cell - j))
	}
}

// near lists the nodes that hold a shard in common with those of some cells, which are among them.
func (x *cellIndex) near(cells []int) (ids []string) {
	seen := map[int]bool{}
	for _, cell := range cells {
		for d := 1 - x.reach; d < x.reach; d++ {
			if at := x.position(cell + d); !seen[at] {
				seen[at] = true
				ids = append(ids, x.nodes[at]...)
			}
		}
	}
	return ids
}
