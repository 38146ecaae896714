package overload

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/opensearch"
	"harepass/internal/test/coordinatorproc"
	"harepass/internal/test/fake"
	"harepass/internal/test/loadgen"
)

const (
	replicaCount = 6 // one at each ring position
	cores        = 2 // of the coordinator's process
	targetWait   = 10 * time.Millisecond
	answerTime   = 3 * time.Millisecond // answer time of replicas that keep up
)

// replicas defines the behaviour and the documents of a run's emulated replicas.
type replicas struct {
	script func(shard, attempt int) fake.Reply
	data   *fake.Data
}

// fastReplicas are replicas that always keep up and hold no documents.
var fastReplicas = replicas{script: func(int, int) fake.Reply {
	return fake.Reply{Kind: fake.Serve, After: answerTime}
}}

// outcome holds the results of a run: those of the clients and those of the coordinator.
type outcome struct {
	*loadgen.Result
	*coordinatorproc.Stats
}

// total returns the sums over all classes.
func (o *outcome) total() (sum loadgen.ClassResult) {
	for _, c := range o.Classes {
		sum.Arrived += c.Arrived
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Late += c.Late
	}
	return sum
}

// config returns the configuration of a coordinator for a normal rate in queries per second. Without controlled, the
// coordinator has no overload control.
func config(normalRate float64, memoryMB int, controlled bool) coordinatorproc.Config {
	c := coordinatorproc.Config{Settings: settings(normalRate), Cores: cores, MemoryMB: memoryMB}
	if controlled {
		c.WaitTarget = targetWait
	}
	return c
}

// runPlan starts replicas and a coordinator, runs the plan that makePlan returns for the address of the front, and ends
// the coordinator's process and the replicas.
func runPlan(c coordinatorproc.Config, makePlan func(address string) *loadgen.Plan, n replicas) (*outcome, error) {
	c.Shards = shards
	c.Indices = indices()
	c.TenantsByUser = map[string]string{}
	for _, name := range tenantNames() {
		c.TenantsByUser[name] = name
	}
	for i := range replicaCount {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		go (&fake.Replicas{Script: n.script, Data: n.data}).ServeAPI(l)
		c.Endpoints = append(c.Endpoints, core.Endpoint{
			Replica: scatter.Replica{ID: fmt.Sprint("node", i), RingPosition: i},
			Address: l.Addr().String(), Scheme: opensearch.Scheme,
		})
	}
	process, err := c.Start()
	if err != nil {
		return nil, err
	}
	res, err := makePlan(process.Address).Run(context.Background(), nil)
	stats, stopErr := process.Stop()
	if err = errors.Join(err, stopErr); err != nil {
		return nil, err
	}
	res.Levels, res.Waits = stats.Levels, stats.MaxWaits
	return &outcome{res, stats}, nil
}
