package subsetting

import "math"

// Ring is how shards lie on replicas: shard s is held by the replicas at the ring positions s, s+1 to
// s+ReplicationFactor-1, modulo Size.
type Ring struct {
	Size              int // number of ring positions
	ReplicationFactor int // ring positions that hold a shard
	Replicas          int // number of replicas at all positions together that are listed as running
}

// holdersPerShard is the number of replicas that hold a shard, taking each position to have the mean number of
// replicas, rounded down and at least 1. 400 replicas at 200 positions are two at each; 399 count as one at each.
func (r Ring) holdersPerShard() int { return r.ReplicationFactor * max(1, r.Replicas/r.Size) }

// Subset tells which replicas one coordinator sends to, has connections with and learns about.
//
// A replica's key is its distance on the circle from the member, by its ring position and its rank among the replicas
// there. The subset contains the keys below Fraction. Each ring position is Fraction further on the circle than the one
// before it, so any successive positions have that fraction of their replicas contained, rounded up or down: enough
// holders of each shard. Members lie at equal distances, so each replica is in the subsets of that fraction of the
// coordinators, rounded up or down.
//
// One coordinator more or less moves each member by less than the distance between two. Its subset changes only by
// replicas whose keys lie that near to a bound. A replica that takes another's ring position and rank takes its key.
// Fraction is a whole number of holders of a shard, so it mostly stays as it is while a fleet or its replicas come and
// go. It does change where the mean number of replicas at a position falls below a whole number above 1.
type Subset struct {
	Fraction float64 // of the replicas that the subset contains, in (0, 1]; 1 contains all

	memberAt float64 // where the member lies on the circle; 0 if Fraction is 1
}

const (
	// maxLoadDeviation is the standard deviation of a replica's load that subsets may add, as a fraction of the mean.
	// A replica in all subsets has the mean load of all coordinators. One in a fraction f of the subsets of n
	// coordinators deviates by sqrt((1-f)/(f*n)) of the deviation of their traffic.
	maxLoadDeviation = 0.05
	// trafficDeviation is the standard deviation of the coordinators' traffic, as a fraction of the mean. Some
	// coordinators see several times as much as others.
	trafficDeviation = 0.8
)

// evenFraction is the fraction of the replicas that each subset of a fleet contains if a replica's load deviates by
// maxLoadDeviation: it solves the equation there for f, with trafficDeviation as the deviation of the traffic.
func evenFraction(fleetSize int) float64 {
	return 1 / (1 + maxLoadDeviation*maxLoadDeviation/(trafficDeviation*trafficDeviation)*float64(fleetSize))
}

// NewSubset returns a member's subset, with at least minHolders holders of each shard that has so many. The subsets of
// a small fleet, and of a coordinator without peers, contain all replicas.
func NewSubset(m Member, r Ring, minHolders int) Subset {
	all := Subset{Fraction: 1}
	if !m.HasPeers() || r.Size < 1 {
		return all
	}
	holders := r.holdersPerShard()
	contained := max(minHolders, int(math.Ceil(evenFraction(m.FleetSize)*float64(holders))))
	// A whole number of rounds on the circle for the whole ring joins the ring's end to its beginning.
	rounds := (contained*r.Size + holders - 1) / holders
	if rounds >= r.Size {
		return all
	}
	return Subset{Fraction: float64(rounds) / float64(r.Size), memberAt: m.at()}
}

// Key returns a replica's key, by its ring position and its rank among the replicas there. The order of their keys is
// also that in which the holders of a shard join the subset while contained ones are not ready.
func (s Subset) Key(ringPosition, rank int) float64 {
	if s.Fraction == 1 {
		return 0
	}
	return onCircle(float64(ringPosition)*s.Fraction + float64(rank)*goldenRatio + s.memberAt)
}

// Contains reports whether the subset contains the replica with a key.
func (s Subset) Contains(key float64) bool { return key < s.Fraction }

// Offset returns the member's offset among the coordinators whose subsets contain the replica with a key.
func (s Subset) Offset(m Member, key float64) Offset {
	if s.Fraction == 1 {
		return m.Offset()
	}
	return Offset(onCircle(key / s.Fraction))
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
