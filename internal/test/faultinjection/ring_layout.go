package faultinjection

const (
	// holdersPerShard is how many ring positions in a row hold a shard, where replicas form no sets.
	holdersPerShard = 3
	// shardsPerSet is how many shards there are for each set of replicas.
	shardsPerSet = 6
)

// ringPosition is that of a replica, by its number: one of its own, or that of its set.
func (s *Scenario) ringPosition(replica int) int {
	if len(s.ReplicaSets) == 0 {
		return replica
	}
	for set, size := range s.ReplicaSets {
		if replica -= size; replica < 0 {
			return set
		}
	}
	return len(s.ReplicaSets)
}

// ringSize is how many ring positions there are.
func (s *Scenario) ringSize() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return len(s.ReplicaSets)
}

// replicationFactor is how many ring positions hold a shard.
func (s *Scenario) replicationFactor() int {
	if len(s.ReplicaSets) == 0 {
		return holdersPerShard
	}
	return 1
}

// shards is how many shards there are.
func (s *Scenario) shards() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return shardsPerSet * len(s.ReplicaSets)
}

// holds reports whether a replica is a holder of a shard: its ring position is among the replicationFactor positions
// from the shard's own on.
func (s *Scenario) holds(r *fleetReplica, shard int) bool {
	size := s.ringSize()
	return ((s.ringPosition(r.number)-shard)%size+size)%size < s.replicationFactor()
}

func sum(list []int) (n int) {
	for _, x := range list {
		n += x
	}
	return n
}
