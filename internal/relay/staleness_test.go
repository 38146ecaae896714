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
	quickHeartbeat  = 100 * time.Millisecond
	quickStaleAfter = 2 * time.Second // longer than a busy machine delays a heartbeat
)

// startAuthorityTwice serves one authority's list at two addresses, so that the source of one relay can be cut off
// without that of another.
func startAuthorityTwice(t *testing.T) (top *Resource, nearAddress, farAddress string, cutNear func()) {
	t.Helper()
	near, far := newAuthorityServer(5, wideBudget), newAuthorityServer(5, wideBudget)
	far.Endpoints = near.Endpoints
	near.Endpoints.SetStaleness(alwaysFresh)
	nearAddress, cutNear = start(t, near)
	farAddress, _ = start(t, far)
	mustPublish(t, near.Endpoints, endpointChanges(3, 1))
	return near.Endpoints, nearAddress, farAddress, cutNear
}

// twoSources returns the configuration of a reader with a relay in its zone and one elsewhere.
func twoSources(near, far string) distribution.Config {
	own := failover.Locality{Zone: "a", Region: "north"}
	elsewhere := failover.Locality{Zone: "a", Region: "south"}
	return distribution.Config{Resource: distribution.Endpoints, Locality: own, Heartbeat: quickHeartbeat,
		Allowance:  2 * time.Second,
		StaleAfter: quickStaleAfter, Rand: rand.New(rand.NewPCG(1, 2)),
		Sources: []failover.Source{{Address: near, Locality: own}, {Address: far, Locality: elsewhere}}}
}

// runFollower runs a follower until the test ends.
func runFollower(t *testing.T, config distribution.Config) *distribution.Follower {
	t.Helper()
	config.Apply = func(distribution.Update) {}
	follower := distribution.New(config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return follower
}

// A relay is cut off from its sources and still answers, with heartbeats and an old list. The relay behind it gets
// the next change from another one.
func TestStaleRelayIsLeft(t *testing.T) {
	t.Parallel()
	top, nearTop, farTop, cut := startAuthorityTwice(t)
	near, nearAddress, _ := startRelay(t, nearTop)
	far, farAddress, _ := startRelay(t, farTop)
	waitForHead(t, near.Endpoints, top.Head())
	waitForHead(t, far.Endpoints, top.Head())
	below := NewResource(versionlog.New(0, testRemovals), NewSnapshotBudget(wideBudget))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { below.Follow(ctx, twoSources(nearAddress, farAddress)); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitForHead(t, below, top.Head())
	if calls := far.Endpoints.Status().Calls; calls > 0 {
		t.Fatalf("%d calls to the far relay", calls)
	}
	cut()
	old := top.Head()
	mustPublish(t, top, endpointChanges(3, 2))
	waitForHead(t, below, top.Head())
	if near.Endpoints.Head() != old {
		t.Errorf("the cut relay is at %+v", near.Endpoints.Head())
	}
}

// A reader has left the relay in its zone because that was stale. It probes that relay, and returns once the relay
// hears of its sources again, not before.
func TestReturnsToFreshRelay(t *testing.T) {
	t.Parallel()
	top, nearTop, farTop, cut := startAuthorityTwice(t)
	near, nearAddress, _ := startRelay(t, nearTop)
	far, farAddress, _ := startRelay(t, farTop)
	waitForHead(t, near.Endpoints, top.Head())
	waitForHead(t, far.Endpoints, top.Head())
	reader := runFollower(t, twoSources(nearAddress, farAddress))
	waitFor(t, "the reader does not follow the near relay", func() bool { return reader.Status().Source == nearAddress })
	cut()
	waitFor(t, "the reader stays with the stale relay", func() bool { return reader.Status().Source == farAddress })
	left := near.Endpoints.Status().Calls
	waitFor(t, "the reader does not probe", func() bool { return near.Endpoints.Status().Calls > left })
	mustPublish(t, top, endpointChanges(3, 2))
	waitFor(t, "the change does not come", func() bool { return reader.Status().Version == top.Head() })
	if c := reader.Counters(); c.Switches != 2 || reader.Status().Source != farAddress {
		t.Errorf("it follows %s, %+v", reader.Status().Source, c)
	}
	again := newAuthorityServer(5, wideBudget)
	again.Endpoints = top
	startAt(t, again, nearTop)
	waitFor(t, "the reader does not return", func() bool { return reader.Status().Source == nearAddress })
	if c := reader.Counters(); c.Switches != 3 || near.Endpoints.Head() != top.Head() {
		t.Errorf("%+v, the near relay is at %+v", c, near.Endpoints.Head())
	}
}

// The authority is down, and all relays are equally stale. A reader stays with the one that it follows, and probes
// the other one at a bounded rate.
func TestEquallyStaleRelaysAreNotExchanged(t *testing.T) {
	t.Parallel()
	// The first firstProbes come at growing intervals; probeInterval is the shortest one later on.
	const firstProbes, probeInterval = 6, 1500 * time.Millisecond
	near, far := newAuthorityServer(5, wideBudget), newAuthorityServer(5, wideBudget)
	nearAddress, _ := start(t, near)
	farAddress, _ := start(t, far)
	cutAt := time.Now()
	for _, server := range []*Server{near, far} {
		mustPublish(t, server.Endpoints, endpointChanges(3, 1))
		server.Endpoints.SetStaleness(func() time.Duration { return time.Since(cutAt) })
	}
	reader := runFollower(t, twoSources(nearAddress, farAddress))
	waitFor(t, "the reader does not probe", func() bool { return far.Endpoints.Status().Calls >= 4 })
	heartbeats := near.Endpoints.Status().Heartbeats
	waitFor(t, "the reader gets no heartbeats", func() bool { return near.Endpoints.Status().Heartbeats > heartbeats+20 })
	probes := far.Endpoints.Status().Calls
	if most := firstProbes + int64(time.Since(cutAt)/probeInterval); probes > most {
		t.Errorf("%d probes in %v", probes, time.Since(cutAt))
	}
	if c := reader.Counters(); c.Switches != 1 || reader.Status().Source != nearAddress {
		t.Errorf("it follows %s, %+v", reader.Status().Source, c)
	}
}
