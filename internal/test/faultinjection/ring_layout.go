package faultinjection

const (
	// holdersPerShard is how many consecutive ring positions hold a shard if the replicas form no sets.
	holdersPerShard = 3
	// shardsPerSet is the number of shards per set of replicas.
	shardsPerSet = 6
)

// ringPosition is the ring position of a replica, given by its number: its own position, or that of its set if the
// scenario has sets.
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

// ringSize is the number of ring positions.
func (s *Scenario) ringSize() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return len(s.ReplicaSets)
}

// replicationFactor is the number of ring positions that hold a shard.
func (s *Scenario) replicationFactor() int {
	if len(s.ReplicaSets) == 0 {
		return holdersPerShard
	}
	return 1
}

// shards is the number of shards.
func (s *Scenario) shards() int {
	if len(s.ReplicaSets) == 0 {
		return s.Replicas
	}
	return shardsPerSet * len(s.ReplicaSets)
}

// holds reports whether a replica is a holder of a shard. A shard's holders are at replicationFactor consecutive ring
// positions, the first of which is the shard's own.
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
