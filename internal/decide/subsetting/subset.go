package subsetting

import "math"

// Ring is how sections lie on nodes: section s is held by the nodes of the cells s, s+1 .. s+Reach-1, modulo Cells.
type Ring struct {
	Size, ReplicationFactor int
	Replicas                int // in all cells together
}

// Subset tells which nodes a coordinator keeps: those that it sends to, holds connections with and learns about.
//
// A node's key is its distance on a circle from the coordinator's place, by its cell and by its rank among the nodes
// there; kept are keys under Share. A step from cell to cell is as long as the share, so any so many cells in a row have
// that share of their nodes kept, rounded up or down: each section keeps enough holders. The places lie at equal
// distances, so each node is kept by that share of the coordinators, rounded up or down.
//
// One coordinator more or less moves each place by less than the distance between two: it goes on with all nodes but those
// whose key lies so near to a bound. A node that takes another's cell and rank takes its key. The share itself goes by
// whole holders of a section, so that it stays as it is while a fleet or its nodes come and go.
type Subset struct {
	Share float64 // of the nodes; 1 keeps all

	at float64
}

const (
	// uneven is the deviation of a node's load that a subset may add, as a share of the mean. The traffic of members differs;
	// a node that all keep has the mean of them all, one that a share f of M keeps deviates by root((1-f)/(f M)) of their spread.
	uneven = 0.05
	// spread is the deviation of the members' traffic, as a share of the mean: some see several times as much as others.
	spread = 0.8
)

// NewSubset is the subset of a place that leaves each section least holders, where it has so many. A small fleet keeps all.
func NewSubset(p Member, r Ring, least int) Subset {
	s := Subset{Share: 1}
	if !p.HasPeers() || r.Size < 1 {
		return s
	}
	holders := r.ReplicationFactor * max(1, r.Replicas/r.Size)
	fair := 1 / (1 + uneven*uneven/(spread*spread)*float64(p.FleetSize))
	kept := max(least, int(math.Ceil(fair*float64(holders))))
	// Whole turns of the circle round the ring, so that its end joins its beginning.
	if steps := (kept*r.Size + holders - 1) / holders; steps < r.Size {
		s.Share, s.at = float64(steps)/float64(r.Size), p.at()
	}
	return s
}

// Key is a node's, by its cell and its rank among the nodes there. The keys of a section's holders are also the order in
// which they are taken into the subset where kept ones fail.
func (s Subset) Key(cell, rank int) float64 {
	if s.Share == 1 {
		return 0
	}
	return frac(float64(cell)*s.Share + float64(rank)*golden + s.at)
}

// Contains tells whether a node with that key is kept.
func (s Subset) Contains(key float64) bool { return key < s.Share }

// Position is the coordinator's among those that keep a node with that key.
func (s Subset) Position(p Member, key float64) Position {
	if s.Share == 1 {
		return p.Position()
	}
	return Position(frac(key / s.Share))
}

// HolderCount is how many of a section's holders, in the order of their keys, belong to the subset: those that are kept, and as
// many more as it takes for least of them to be ready. It widens in the step in which one fails and narrows in that in
// which it is back, with nothing to remember.
func (s Subset) HolderCount(keys []float64, ready []bool, least int) (n int) {
	sound := 0
	for n < len(keys) && (s.Contains(keys[n]) || sound < least) {
		if ready[n] {
			sound++
		}
		n++
	}
	return n
}
