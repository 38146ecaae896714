package relay

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/distribution"
)

const (
	quickHeartbeat = 100 * time.Millisecond
	quickStale     = 2 * time.Second // a busy machine may hold a relay up for a while
)

// fronts serves one authority at two addresses, so that what is upstream of one relay can be cut without the other.
func fronts(t *testing.T) (top *Resource, nearAddress, farAddress string, cutNear func()) {
	t.Helper()
	near, far := authority(5, wideBudget), authority(5, wideBudget)
	far.Endpoints = near.Endpoints
	near.Endpoints.SetStaleness(always)
	nearAddress, cutNear = start(t, near)
	farAddress, _ = start(t, far)
	publish(t, near.Endpoints, nodes(3, 1))
	return near.Endpoints, nearAddress, farAddress, cutNear
}

// ofTwo is the configuration of a reader with a relay in its zone and one elsewhere.
func ofTwo(near, far string) distribution.Config {
	own := failover.Place{Zone: "a", Region: "north"}
	return distribution.Config{Resource: distribution.Endpoints, Place: own, Heartbeat: quickHeartbeat, Allowance: 2 * time.Second,
		StaleAfter: quickStale, Rand: rand.New(rand.NewPCG(1, 2)),
		Sources: []failover.Source{{Address: near, Place: own}, {Address: far, Place: failover.Place{Zone: "a", Region: "south"}}}}
}

// following runs a follower until the test ends.
func following(t *testing.T, config distribution.Config) *distribution.Follower {
	t.Helper()
	config.Apply = func(distribution.Update) {}
	follower := distribution.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return follower
}

// A relay whose own relay is cut off, and still answers, gets the next change from another one.
func TestStaleRelayIsLeft(t *testing.T) {
	t.Parallel()
	top, nearTop, farTop, cut := fronts(t)
	near, nearAddress, _ := chained(t, nearTop)
	far, farAddress, _ := chained(t, farTop)
	waitForHead(t, near.Endpoints, top.Head())
	waitForHead(t, far.Endpoints, top.Head())
	below := NewResource(versionlog.New(0, testRemovals), NewSnapshotBudget(wideBudget))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { below.Follow(ctx, ofTwo(nearAddress, farAddress)); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitForHead(t, below, top.Head())
	if calls := far.Endpoints.Status().Calls; calls > 0 {
		t.Fatalf("%d calls to the far relay", calls)
	}
	cut()
	old := top.Head()
	publish(t, top, nodes(3, 2))
	waitForHead(t, below, top.Head())
	if near.Endpoints.Head() != old {
		t.Errorf("the cut relay is at %+v", near.Endpoints.Head())
	}
}

// A reader returns to the nearer relay once that hears of its sources again, and not before, though it looks.
func TestReturnToFreshRelay(t *testing.T) {
	t.Parallel()
	top, nearTop, farTop, cut := fronts(t)
	near, nearAddress, _ := chained(t, nearTop)
	far, farAddress, _ := chained(t, farTop)
	waitForHead(t, near.Endpoints, top.Head())
	waitForHead(t, far.Endpoints, top.Head())
	reader := following(t, ofTwo(nearAddress, farAddress))
	waitFor(t, "the reader does not follow the near relay", func() bool { return reader.Status().Source == nearAddress })
	cut()
	waitFor(t, "the reader stays with the stale relay", func() bool { return reader.Status().Source == farAddress })
	left := near.Endpoints.Status().Calls
	waitFor(t, "the reader does not look", func() bool { return near.Endpoints.Status().Calls > left })
	publish(t, top, nodes(3, 2))
	waitFor(t, "the change does not come", func() bool { return reader.Status().Version == top.Head() })
	if c := reader.Counters(); c.Switches != 2 || reader.Status().Source != farAddress {
		t.Errorf("it follows %s, %+v", reader.Status().Source, c)
	}
	again := authority(5, wideBudget)
	again.Endpoints = top
	startAt(t, again, nearTop)
	waitFor(t, "the reader does not return", func() bool { return reader.Status().Source == nearAddress })
	if c := reader.Counters(); c.Switches != 3 || near.Endpoints.Head() != top.Head() {
		t.Errorf("%+v, the near relay is at %+v", c, near.Endpoints.Head())
	}
}

// A reader all of whose relays are equally stale stays with the one that it has; it looks at the other one at a bounded pace.
func TestAllRelaysStale(t *testing.T) {
	t.Parallel()
	// firstLooks come at growing pauses; lastPause is the shortest one later on.
	const firstLooks, lastPause = 6, 1500 * time.Millisecond
	near, far := authority(5, wideBudget), authority(5, wideBudget)
	nearAddress, _ := start(t, near)
	farAddress, _ := start(t, far)
	cutAt := time.Now()
	for _, server := range []*Server{near, far} {
		publish(t, server.Endpoints, nodes(3, 1))
		server.Endpoints.SetStaleness(func() time.Duration { return time.Since(cutAt) })
	}
	reader := following(t, ofTwo(nearAddress, farAddress))
	waitFor(t, "the reader does not look", func() bool { return far.Endpoints.Status().Calls >= 4 })
	heartbeats := near.Endpoints.Status().Heartbeats
	waitFor(t, "the reader gets no heartbeats", func() bool { return near.Endpoints.Status().Heartbeats > heartbeats+20 })
	looks := far.Endpoints.Status().Calls
	if most := firstLooks + int64(time.Since(cutAt)/lastPause); looks > most {
		t.Errorf("%d looks in %v", looks, time.Since(cutAt))
	}
	if c := reader.Counters(); c.Switches != 1 || reader.Status().Source != nearAddress {
		t.Errorf("it follows %s, %+v", reader.Status().Source, c)
	}
}
