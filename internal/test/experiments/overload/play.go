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
	replicaCount = 6 // one at each position of the ring
	cores        = 2 // of the coordinator's process
	targetWait   = 10 * time.Millisecond
	answerTime   = 3 * time.Millisecond // of replicas that keep up
)

// replicas are what the emulated replicas of a play do and hold.
type replicas struct {
	script func(shard, attempt int) fake.Reply
	data   *fake.Data
}

// fastReplicas always keep up and hold no documents.
var fastReplicas = replicas{script: func(int, int) fake.Reply {
	return fake.Reply{Kind: fake.Serve, After: answerTime}
}}

// outcome is what came of a play: the clients' side and the coordinator's.
type outcome struct {
	*loadgen.Result
	*coordinatorproc.Stats
}

// total sums up the counts of all classes.
func (o *outcome) total() (sum loadgen.ClassResult) {
	for _, c := range o.Classes {
		sum.Arrived += c.Arrived
		sum.Served += c.Served
		sum.Rejected += c.Rejected
		sum.Late += c.Late
	}
	return sum
}

// config returns a coordinator for a normal rate in queries a second, with overload control or first come, first
// served.
func config(normalRate float64, memoryMB int, controlled bool) coordinatorproc.Config {
	c := coordinatorproc.Config{Settings: settings(normalRate), Cores: cores, MemoryMB: memoryMB}
	if controlled {
		c.WaitTarget = targetWait
	}
	return c
}

// play plays a plan, made for the address of the front, against a coordinator before its replicas. It ends the
// coordinator's process and closes the replicas.
func play(c coordinatorproc.Config, makePlan func(address string) *loadgen.Plan, n replicas) (*outcome, error) {
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
