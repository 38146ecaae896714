package subsetting

import "math"

// Ring describes how shards are placed on replicas: shard s is held by the replicas at the ring positions s, s+1 to
// s+ReplicationFactor-1, modulo Size.
type Ring struct {
	Size              int // number of ring positions
	ReplicationFactor int // number of ring positions that hold a shard
	Replicas          int // number of replicas listed as running, at all positions together
}

// holdersPerShard returns the number of replicas that hold a shard. It assumes the mean number of replicas at each
// position, rounded down and at least 1: 400 replicas at 200 positions count as two per position, 399 as one.
func (r Ring) holdersPerShard() int { return r.ReplicationFactor * max(1, r.Replicas/r.Size) }

// Subset determines the replicas that one coordinator sends to, has connections with and learns about.
//
// A replica's key is its distance from the member on the circle. It depends on the replica's ring position and its rank
// among the replicas there. The subset contains the keys below Fraction. Each ring position is Fraction further on the
// circle than the previous one, so of any successive positions the subset contains that fraction of the replicas,
// rounded up or down, and so enough holders of each shard. Members are spaced evenly, so each replica is in the subsets
// of that fraction of the coordinators, rounded up or down.
//
// When the fleet gains or loses a coordinator, each member moves by less than the distance between two members, and its
// subset changes only by replicas whose keys are that close to a bound. A replica that replaces another at its ring
// position and rank gets the same key. Fraction corresponds to a whole number of holders per shard, so it rarely
// changes when coordinators or replicas come and go. It does change when the mean number of replicas per position falls
// below a whole number above 1.
type Subset struct {
	Fraction float64 // fraction of the replicas that the subset contains, in (0, 1]; 1 contains all

	memberAt float64 // the member's position on the circle; 0 if Fraction is 1
}

const (
	// maxLoadDeviation is the largest standard deviation of a replica's load that subsets may add, as a fraction of the
	// mean. A replica in all subsets has the mean load of all coordinators. The load of a replica in a fraction f of
	// the subsets of n coordinators deviates by sqrt((1-f)/(f*n)) times the deviation of the coordinators' traffic.
	maxLoadDeviation = 0.05
	// trafficDeviation is the standard deviation of the coordinators' traffic, as a fraction of the mean. Some
	// coordinators have several times the traffic of others.
	trafficDeviation = 0.8
)

// evenFraction returns the fraction of the replicas that each subset must contain for a replica's load to deviate by
// maxLoadDeviation. It solves the equation given there for f, with trafficDeviation as the deviation of the traffic.
func evenFraction(fleetSize int) float64 {
	return 1 / (1 + maxLoadDeviation*maxLoadDeviation/(trafficDeviation*trafficDeviation)*float64(fleetSize))
}

// NewSubset returns a member's subset. It contains at least minHolders holders of each shard, or all if the shard has
// fewer. In a small fleet, and for a coordinator without peers, it contains all replicas.
func NewSubset(m Member, r Ring, minHolders int) Subset {
	all := Subset{Fraction: 1}
	if !m.HasPeers() || r.Size < 1 {
		return all
	}
	holders := r.holdersPerShard()
	contained := max(minHolders, int(math.Ceil(evenFraction(m.FleetSize)*float64(holders))))
	// The whole ring covers a whole number of rounds on the circle, so that the ring's end meets its beginning.
	rounds := (contained*r.Size + holders - 1) / holders
	if rounds >= r.Size {
		return all
	}
	return Subset{Fraction: float64(rounds) / float64(r.Size), memberAt: m.at()}
}

// Key returns a replica's key, given its ring position and its rank among the replicas there. The holders of a shard
// outside the subset are added in the order of their keys while contained holders are not ready (HolderCount).
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

// HolderCount returns how many of a shard's holders, in the order of their keys, the coordinator sends to: the holders
// in the subset, and as many more as are needed for minReady of them to be ready. The result depends only on the
// present state, so a failed holder is replaced at once, and its substitute is dropped at once when the holder is ready
// again.
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
