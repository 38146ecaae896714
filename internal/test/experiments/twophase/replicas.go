package twophase

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"harepass/internal/test/endtoend"
	"harepass/internal/test/fake"
	"harepass/internal/test/fakedata"
)

const (
	shards            = 12
	replicaCount      = 6 // one at each ring position
	replicationFactor = 3 // ring positions that hold a shard
	trailsPerShard    = 20
	maxSnowCM         = 200
	workUnit          = 500 * time.Microsecond // time for a unit of work
	coresPerReplica   = 2

	// replicationLag is the delay with which the last replica gets each change, in a morning with faults.
	replicationLag = 300 * time.Millisecond
	// slowAnswer is the answer time of the slow replica.
	slowAnswer = 80 * time.Millisecond
	// shardStep is the distance between the shards of successive changes, if each change touches one shard.
	shardStep = 5
	// firstVersion is the version before that of the first change. It is greater than all versions of the initial data.
	firstVersion = 1000
	// changeStream separates the random draws of changes from those of other generators with the same seed.
	changeStream = 0x636861
)

// newReplicas returns the replicas of a morning. The times of their faults count from began.
func newReplicas(m morning, began time.Time) (replicas []*endtoend.Node) {
	trails := fakedata.New(m.seed, shards, trailsPerShard)
	for i := range replicaCount {
		r := &endtoend.Node{ID: fmt.Sprint("node", i), Cell: i}
		r.Data, r.WorkUnit, r.Cores = trails.Data(true), workUnit, coresPerReplica
		if m.faults {
			r.Script = func(int, int) fake.Reply { return fault(i, time.Since(began)) }
		}
		replicas = append(replicas, r)
	}
	return replicas
}

// fault returns the behaviour of a replica at a time since the start. One replica after another does not reply, fails
// at once, is slow, sends unreadable answers, and closes connections.
func fault(replica int, since time.Duration) fake.Reply {
	during := func(from, to float64) bool { return since.Seconds() >= from && since.Seconds() < to }
	switch {
	case replica == 0 && during(1.5, 3):
		return fake.Reply{Kind: fake.NoReply}
	case replica == 1 && during(3, 4.5):
		return fake.Reply{Kind: fake.Fail}
	case replica == 2 && during(4.5, 6):
		return fake.Reply{Kind: fake.Serve, After: slowAnswer}
	case replica == 3 && during(6, 7):
		return fake.Reply{Kind: fake.Corrupt}
	case replica == 4 && during(7, 8):
		return fake.Reply{Kind: fake.Disconnect}
	}
	return fake.Reply{}
}

// workDone returns the total units of work that the replicas have done.
func workDone(replicas []*endtoend.Node) (sum float64) {
	for _, r := range replicas {
		sum += r.WorkDone()
	}
	return sum
}

// change changes the data of shards at the morning's interval and for its share of the shards, until ctx ends.
func (m morning) change(ctx context.Context, replicas []*endtoend.Node) {
	rng := rand.New(rand.NewPCG(m.seed, changeStream))
	began, version, next := time.Now(), float64(firstVersion), 0
	changed := max(1, int(m.changedShare*shards))
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(time.Duration(n) * m.interval))):
		}
		for shard := range changed {
			if changed == 1 {
				shard = next % shards
				next += shardStep
			}
			version++
			m.put(replicas, shard, drawTrail(rng, shard, version))
		}
	}
}

// drawTrail draws one of a shard's trails and a new state for it.
func drawTrail(rng *rand.Rand, shard int, version float64) fake.Document {
	return fakedata.Trail{
		ID:      fmt.Sprintf("t%d-%d", shard, rng.IntN(trailsPerShard)),
		Open:    rng.IntN(2) > 0,
		SnowCM:  float64(rng.IntN(maxSnowCM)),
		Version: version,
	}.Doc()
}

// put gives a document to all replicas. In a morning with faults, the last replica gets it after replicationLag.
func (m morning) put(replicas []*endtoend.Node, shard int, doc fake.Document) {
	for i, r := range replicas {
		if m.faults && i == len(replicas)-1 {
			time.AfterFunc(replicationLag, func() { r.Data.Put(shard, doc) })
		} else {
			r.Data.Put(shard, doc)
		}
	}
}
