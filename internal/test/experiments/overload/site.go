package overload

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/coordinatorproc"
	"harepass/internal/test/fake"
	"harepass/internal/test/loadgen"
)

const (
	sections       = 24
	nodeCount      = 6
	reach          = 3 // cells that hold a section
	cores          = 2
	target         = 10 * time.Millisecond // of overload control
	answerTime     = 3 * time.Millisecond  // of the nodes, which always keep up
	quotaOverUsual = 1.1                   // of each tenant's quota over its usual traffic
	flooder        = "momiji-dake"         // the tenant that sends too much
)

// The classes of queries.
const (
	routeLookup       = "route-lookup"
	hazardReport      = "hazard-report"
	conditionsSummary = "conditions-summary"
)

// trafficShares are the tenants' shares of normal traffic.
var trafficShares = map[string]float64{"kitakaze": 0.42, "shirakaba-yama": 0.41, flooder: 0.17}

func tenantNames() []string { return slices.Sorted(maps.Keys(trafficShares)) }

// settings are the Co-operative's classes, with quotas a tenth over normal traffic, in queries a second.
func settings(normal float64) scatter.Settings {
	s := scatter.Settings{Coordinators: 1, RingSize: nodeCount, ReplicationFactor: reach, PartsPerCall: 1, TickInterval: 5 * time.Millisecond, MaxAttempts: 4, Cancellation: true,
		RetryAfter: time.Second, OverQuotaWeight: 0.05, Classes: []scatter.Class{
			{Name: routeLookup, LatencyObjective: 1500 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1},
			{Name: hazardReport, LatencyObjective: 1500 * time.Millisecond, Deadline: 5 * time.Second, PriorityWeight: 2, LateWeight: 0.1, CompleteFraction: 1, MinFraction: 1, Idempotency: scatter.NonIdempotent},
			{Name: conditionsSummary, LatencyObjective: 1500 * time.Millisecond, Deadline: 5 * time.Second, PriorityWeight: 3, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7}}}
	for _, name := range tenantNames() {
		s.Tenants = append(s.Tenants, scatter.Tenant{Name: name, Quota: quotaOverUsual * normal * trafficShares[name]})
	}
	return s
}

// plan is traffic of a rate, in queries a second, against a front at an address.
func plan(address string, rate float64, length time.Duration) *loadgen.Plan {
	p := &loadgen.Plan{Target: "http://" + address, Duration: length, Rate: rate, Seed: 1, Retries: 2, Classes: []loadgen.Class{
		{Name: routeLookup, Share: 0.55, Index: "trails", ShardsPerQuery: 8, Shards: sections, PriorityWeight: 1, LatencyObjective: 1500 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: hazardReport, Share: 0.225, Index: "hazards", SendsDocument: true, Shards: sections, PriorityWeight: 2, LatencyObjective: 1500 * time.Millisecond, Timeout: 3 * time.Second},
		{Name: conditionsSummary, Share: 0.225, Index: "conditions", Shards: sections, PriorityWeight: 3, LatencyObjective: 1500 * time.Millisecond, Timeout: 3 * time.Second}}}
	for _, name := range tenantNames() {
		p.Tenants = append(p.Tenants, loadgen.Tenant{Name: name, Caller: name, Share: trafficShares[name], Quota: quotaOverUsual * rate * trafficShares[name]})
	}
	return p
}

// config is a coordinator with overload control or first come, first served.
func config(normal float64, memoryMB int, controlled bool) coordinatorproc.Config {
	c := coordinatorproc.Config{Settings: settings(normal), Cores: cores, MemoryMB: memoryMB}
	if controlled {
		c.WaitTarget = target
	}
	return c
}

// nodes are what the emulated nodes of a play do and hold.
type nodes struct {
	script func(section, try int) fake.Reply
	data   *fake.Data
}

// soundNodes always keep up and hold nothing.
var soundNodes = nodes{script: func(int, int) fake.Reply { return fake.Reply{Kind: fake.Serve, After: answerTime} }}

// outcome is what came of a play.
type outcome struct {
	*loadgen.Result
	*coordinatorproc.Stats
}

// play plays a plan, made for the address of the front, against a coordinator before its nodes.
func play(c coordinatorproc.Config, makePlan func(address string) *loadgen.Plan, n nodes) (*outcome, error) {
	c.Shards = sections
	c.Indices = map[string]*opensearch.Index{"trails": {Class: routeLookup}, "hazards": {Class: hazardReport, TakesDocuments: true}, "conditions": {Class: conditionsSummary}}
	c.TenantsByUser = map[string]string{}
	for _, name := range tenantNames() {
		c.TenantsByUser[name] = name
	}
	for i := range nodeCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		go (&fake.Replicas{Script: n.script, Data: n.data}).ServeAPI(l)
		id := fmt.Sprint("node", i)
		c.Endpoints = append(c.Endpoints, core.Endpoint{Replica: scatter.Replica{ID: id, RingPosition: i}, Address: l.Addr().String(), Scheme: opensearch.Scheme})
	}
	process, err := c.Start()
	if err != nil {
		return nil, err
	}
	res, err := makePlan(process.Address).Run(context.Background(), nil)
	stats, stopped := process.Stop()
	if err = errors.Join(err, stopped); err != nil {
		return nil, err
	}
	res.Levels, res.Waits = stats.Levels, stats.MaxWaits
	return &outcome{res, stats}, nil
}

// total sums the classes of a load up.
func total(res *loadgen.Result) (sum loadgen.ClassResult) {
	for _, c := range res.Classes {
		sum.Arrived, sum.Served, sum.Rejected, sum.Late = sum.Arrived+c.Arrived, sum.Served+c.Served, sum.Rejected+c.Rejected, sum.Late+c.Late
	}
	return sum
}
