package fleetsim

import (
	"time"

	"harepass/internal/decide/scatter"
)

// Config is the size of a simulated fleet, its traffic and the slow start of its replicas.
type Config struct {
	Coordinators        int
	Replicas            int
	ReplicationFactor   int               // ring positions that hold a shard
	ReplicasPerPosition int               // replicas at each ring position
	ShardsPerPosition   int               // shards whose holders start at the same ring position
	QueryRate           float64           // queries per second, over the whole fleet
	LookupShards        int               // consecutive shards that a lookup needs
	SummaryShards       int               // consecutive shards that a summary needs
	TrafficSkew         float64           // standard deviation of the logarithm of a coordinator's traffic
	KnowOrdinals        bool              // whether each coordinator knows its ordinal in the fleet
	Seed                uint64            // seeds all random draws
	SlowStart           scatter.SlowStart // of the replicas; DefaultSlowStart if its OverloadFactor is 0
}

// The two query classes, with their weights and time limits.
const (
	classLookup  = "lookup"
	classSummary = "summary"

	summaryFraction = 0.22 // share of the queries that are summaries; the others are lookups

	lookupPriorityWeight  = 1.0
	summaryPriorityWeight = 3.0
	lateWeight            = 0.3 // share of the priority weight that remains after the latency objective
	summaryMinFraction    = 0.7 // least share of a summary's weight that an incomplete answer must have

	latencyObjective = 380 * time.Millisecond
	queryDeadline    = time.Second
)

// replicaPartRate is the load that BusyConfig puts on each replica, in parts per second: two thirds of its capacity.
const replicaPartRate = 47.0

// DefaultSlowStart is the slow start of the replicas if Config.SlowStart.OverloadFactor is 0.
var DefaultSlowStart = scatter.SlowStart{
	InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond,
}

// BusyConfig returns the Config of a fleet whose replicas run at two thirds of their capacity, and whose coordinators
// do not know their ordinals.
func BusyConfig(coordinators, replicas, replicasPerPosition int) Config {
	c := Config{
		Coordinators:        coordinators,
		Replicas:            replicas,
		ReplicationFactor:   3,
		ReplicasPerPosition: replicasPerPosition,
		ShardsPerPosition:   2,
		LookupShards:        17,
		SummaryShards:       min(100, replicas/replicasPerPosition),
		TrafficSkew:         0.7,
		Seed:                7,
	}
	partsPerQuery := (1-summaryFraction)*float64(c.LookupShards) + summaryFraction*float64(c.SummaryShards)
	c.QueryRate = replicaPartRate * float64(replicas) / partsPerQuery
	return c
}

func (c Config) ringSize() int { return c.Replicas / c.ReplicasPerPosition }

func (c Config) shards() int { return c.ShardsPerPosition * c.ringSize() }

// settings returns the settings of the coordinator with the given number, counted from 0. They state fleetSize as the
// fleet size.
func (c Config) settings(number, fleetSize int) scatter.Settings {
	s := scatter.Settings{
		Coordinators:      fleetSize,
		RingSize:          c.ringSize(),
		ReplicationFactor: c.ReplicationFactor,
		PartsPerCall:      1,
		TickInterval:      time.Millisecond,
		MaxAttempts:       4,
		Cancellation:      true,
		RetryAfter:        time.Second,
		Classes: []scatter.Class{
			queryClass(classLookup, lookupPriorityWeight, 1),
			queryClass(classSummary, summaryPriorityWeight, summaryMinFraction),
		},
		SlowStart: c.SlowStart,
	}
	if c.KnowOrdinals {
		s.Ordinal = number + 1
	}
	return s
}

func queryClass(name string, priorityWeight, minFraction float64) scatter.Class {
	return scatter.Class{
		Name: name, LatencyObjective: latencyObjective, Deadline: queryDeadline, PriorityWeight: priorityWeight,
		LateWeight: lateWeight, CompleteFraction: 1, MinFraction: minFraction,
	}
}
