package overload

import (
	"maps"
	"slices"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/loadgen"
)

const (
	shards            = 24
	replicationFactor = 3 // ring positions that hold a shard
	lookupShards      = 8 // consecutive shards that a lookup needs

	latencyObjective = 1500 * time.Millisecond // of all classes
	clientTimeout    = 3 * time.Second         // time after which a client gives up
	clientRetries    = 2                       // retries of a rejected client

	// quotaFactor is each tenant's quota as a multiple of its normal traffic.
	quotaFactor = 1.1
	// overQuotaWeight is the share of the priority weight that a query beyond the quota keeps.
	overQuotaWeight = 0.05
	// floodingTenant is the tenant that sends more than its quota.
	floodingTenant = "momiji-dake"
)

// The query classes, and the index that selects each of them.
const (
	routeLookup       = "route-lookup"
	hazardReport      = "hazard-report"
	conditionsSummary = "conditions-summary"

	lookupIndex  = "trails"
	reportIndex  = "hazards"
	summaryIndex = "conditions"
)

// The priority weights of the classes.
const (
	lookupWeight  = 1
	reportWeight  = 2
	summaryWeight = 3
)

// trafficShares are the tenants' shares of normal traffic.
var trafficShares = map[string]float64{"kitakaze": 0.42, "shirakaba-yama": 0.41, floodingTenant: 0.17}

func tenantNames() []string { return slices.Sorted(maps.Keys(trafficShares)) }

// indices returns the indices of the front, by name.
func indices() map[string]*opensearch.Index {
	return map[string]*opensearch.Index{
		lookupIndex:  {Class: routeLookup},
		reportIndex:  {Class: hazardReport, TakesDocuments: true},
		summaryIndex: {Class: conditionsSummary},
	}
}

// settings returns the coordinator's settings. The quotas follow from normalRate, in queries per second.
func settings(normalRate float64) scatter.Settings {
	s := scatter.Settings{
		Coordinators:      1,
		RingSize:          replicaCount,
		ReplicationFactor: replicationFactor,
		PartsPerCall:      1,
		TickInterval:      5 * time.Millisecond,
		MaxAttempts:       4,
		Cancellation:      true,
		RetryAfter:        time.Second,
		OverQuotaWeight:   overQuotaWeight,
		Classes: []scatter.Class{
			{
				Name: routeLookup, LatencyObjective: latencyObjective, Deadline: 3 * time.Second,
				PriorityWeight: lookupWeight, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1,
			},
			{
				Name: hazardReport, LatencyObjective: latencyObjective, Deadline: 5 * time.Second,
				PriorityWeight: reportWeight, LateWeight: 0.1, CompleteFraction: 1, MinFraction: 1,
				Idempotency: scatter.NonIdempotent,
			},
			{
				Name: conditionsSummary, LatencyObjective: latencyObjective, Deadline: 5 * time.Second,
				PriorityWeight: summaryWeight, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7,
			},
		},
	}
	for _, name := range tenantNames() {
		s.Tenants = append(s.Tenants, scatter.Tenant{Name: name, Quota: quota(name, normalRate)})
	}
	return s
}

// plan returns the plan of traffic at a rate, in queries per second, for the front at an address.
func plan(address string, rate float64, duration time.Duration) *loadgen.Plan {
	p := &loadgen.Plan{
		Target: "http://" + address, Duration: duration, Rate: rate, Seed: 1, Retries: clientRetries,
		Classes: []loadgen.Class{
			{
				Name: routeLookup, Share: 0.55, Index: lookupIndex, ShardsPerQuery: lookupShards, Shards: shards,
				PriorityWeight: lookupWeight, LatencyObjective: latencyObjective, Timeout: clientTimeout,
			},
			{
				Name: hazardReport, Share: 0.225, Index: reportIndex, SendsDocument: true, Shards: shards,
				PriorityWeight: reportWeight, LatencyObjective: latencyObjective, Timeout: clientTimeout,
			},
			{
				Name: conditionsSummary, Share: 0.225, Index: summaryIndex, Shards: shards,
				PriorityWeight: summaryWeight, LatencyObjective: latencyObjective, Timeout: clientTimeout,
			},
		},
	}
	for _, name := range tenantNames() {
		p.Tenants = append(p.Tenants, loadgen.Tenant{
			Name: name, Caller: name, Share: trafficShares[name], Quota: quota(name, rate),
		})
	}
	return p
}

// quota returns a tenant's quota in queries per second. normalRate is the normal rate of all tenants together.
func quota(tenant string, normalRate float64) float64 {
	return quotaFactor * normalRate * trafficShares[tenant]
}
