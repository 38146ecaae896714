package subsetting

import "math"

// Ring is how shards lie on replicas: shard s is held by the replicas at the ring positions s, s+1 to
// s+ReplicationFactor-1, modulo Size.
type Ring struct {
	Size              int // number of ring positions
	ReplicationFactor int // ring positions that hold a shard
	Replicas          int // number of replicas at all positions together
}

// holdersPerShard is the number of replicas that hold a shard, at the full positions of an even ring.
func (r Ring) holdersPerShard() int { return r.ReplicationFactor * max(1, r.Replicas/r.Size) }

// Subset tells which replicas one coordinator sends to, has connections with and learns about.
//
// A replica's key is its distance on the circle from the member, by its ring position and its rank among the replicas
// there. The subset contains the keys below Share. Each ring position is Share further on the circle than the one
// before it, so any successive positions have that share of their replicas contained, rounded up or down: enough
// holders of each shard. Members lie at equal distances, so each replica is in the subsets of that share of the
// coordinators, rounded up or down.
//
// One coordinator more or less moves each member by less than the distance between two. Its subset changes only by
// replicas whose keys lie that near to a bound. A replica that takes another's ring position and rank takes its key.
// Share is a whole number of holders of a shard, so it mostly stays as it is while a fleet or its replicas come and go.
type Subset struct {
	Share float64 // of the replicas that the subset contains, in (0, 1]; 1 contains all

	memberAt float64 // where the member lies on the circle; 0 if Share is 1
}

const (
	// maxLoadDeviation is the standard deviation of a replica's load that subsets may add, as a share of the mean. A
	// replica in all subsets has the mean load of all coordinators. One in a share f of the subsets of n coordinators
	// deviates by sqrt((1-f)/(f*n)) of the deviation of their traffic.
	maxLoadDeviation = 0.05
	// trafficDeviation is the standard deviation of the coordinators' traffic, as a share of the mean. Some
	// coordinators see several times as much as others.
	trafficDeviation = 0.8
)

// NewSubset returns a member's subset, with at least minHolders holders of each shard that has so many. The subsets of
// a small fleet, and of a coordinator without peers, contain all replicas.
func NewSubset(m Member, r Ring, minHolders int) Subset {
	all := Subset{Share: 1}
	if !m.HasPeers() || r.Size < 1 {
		return all
	}
	holders := r.holdersPerShard()
	// At this share f a replica's load deviates by maxLoadDeviation: it solves the equation there for f.
	evenShare := 1 / (1 + maxLoadDeviation*maxLoadDeviation/(trafficDeviation*trafficDeviation)*float64(m.FleetSize))
	contained := max(minHolders, int(math.Ceil(evenShare*float64(holders))))
	// A whole number of rounds on the circle for the whole ring joins the ring's end to its beginning.
	rounds := (contained*r.Size + holders - 1) / holders
	if rounds >= r.Size {
		return all
	}
	return Subset{Share: float64(rounds) / float64(r.Size), memberAt: m.at()}
}

// Key returns a replica's key, by its ring position and its rank among the replicas there. The order of their keys is
// also that in which the holders of a shard join the subset while contained ones are not ready.
func (s Subset) Key(ringPosition, rank int) float64 {
	if s.Share == 1 {
		return 0
	}
	return onCircle(float64(ringPosition)*s.Share + float64(rank)*goldenRatio + s.memberAt)
}

// Contains reports whether the subset contains the replica with a key.
func (s Subset) Contains(key float64) bool { return key < s.Share }

// Position returns the member's position among the coordinators whose subsets contain the replica with a key.
func (s Subset) Position(m Member, key float64) Position {
	if s.Share == 1 {
		return m.Position()
	}
	return Position(onCircle(key / s.Share))
}

// HolderCount returns how many of a shard's holders, in the order of their keys, the coordinator sends to: those that
// the subset contains, and as many more as it takes for minReady of them to be ready. That depends on nothing but the
// present state, so a holder that fails is made up for at once, and its substitute leaves at once when it is back.
func (s Subset) HolderCount(keys []float64, ready []bool, minReady int) (count int) {
	readyCount := 0
	for count < len(keys) && (s.Contains(keys[count]) || readyCount < minReady) {
		if ready[count] {
			readyCount++
		}
		count++
	}
	return count
}
