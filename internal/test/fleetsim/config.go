package fleetsim

import (
	"time"

	"harepass/internal/decide/scatter"
)

// Config is the size of a fleet and the traffic that it gets.
type Config struct {
	Coordinators        int
	Replicas            int
	ReplicationFactor   int               // ring positions that hold a shard
	ReplicasPerPosition int               // replicas at a position of the ring
	ShardsPerPosition   int               // shards whose holders begin at a position of the ring
	QueryRate           float64           // queries a second that arrive at the whole fleet
	LookupShards        int               // consecutive shards that a lookup needs
	SummaryShards       int               // consecutive shards that a summary asks for
	TrafficSkew         float64           // standard deviation of the logarithm of a coordinator's traffic
	KnowOrdinals        bool              // whether each coordinator knows its ordinal in the fleet
	Seed                uint64            // source of all draws
	SlowStart           scatter.SlowStart // how replicas start; DefaultSlowStart if its OverloadFactor is 0
}

// The two classes of query.
const (
	classLookup  = "lookup"
	classSummary = "summary"

	summaryFraction = 0.22 // share of the queries that are summaries; the others are lookups

	lookupPriorityWeight  = 1.0
	summaryPriorityWeight = 3.0
	lateWeight            = 0.3 // share of the priority weight that is left after the latency objective
	summaryMinFraction    = 0.7 // share of a summary's weight that suffices for an incomplete answer

	latencyObjective = 380 * time.Millisecond
	queryDeadline    = time.Second
)

// replicaPartRate is the rate, in parts a second, at which BusyConfig loads each replica: two thirds of its capacity.
const replicaPartRate = 47.0

// DefaultSlowStart is how replicas start where a Config does not say it.
var DefaultSlowStart = scatter.SlowStart{
	InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond,
}

// BusyConfig returns the Config of a fleet whose replicas are two thirds busy. Its coordinators do not know their
// ordinals.
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

// settings returns the settings of the coordinator with a number from 0, which takes the fleet to have fleetSize
// coordinators.
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
