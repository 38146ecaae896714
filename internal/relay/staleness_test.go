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

// twoRelays are two relays behind one authority. The authority's list is served at two addresses, so that the near
// relay can be cut off from its source while the far one is not.
type twoRelays struct {
	top         *Resource // the authority's list
	nearTop     string    // the address that the near relay follows
	cutNear     func()    // ends the service at nearTop
	near, far   *Server
	nearAddress string
	farAddress  string
}

// startTwoRelays starts two relays, and waits until both have the list.
func startTwoRelays(t *testing.T) *twoRelays {
	t.Helper()
	near, far := newAuthorityServer(5, wideBudget), newAuthorityServer(5, wideBudget)
	far.Endpoints = near.Endpoints
	near.Endpoints.SetStaleness(neverStale)
	r := &twoRelays{top: near.Endpoints}
	r.nearTop, r.cutNear = start(t, near)
	farTop, _ := start(t, far)
	mustPublish(t, r.top, endpointChanges(3, 1))
	r.near, r.nearAddress, _ = startRelay(t, r.nearTop)
	r.far, r.farAddress, _ = startRelay(t, farTop)
	waitForHead(t, r.near.Endpoints, r.top.Head())
	waitForHead(t, r.far.Endpoints, r.top.Head())
	return r
}

// twoSources returns the configuration of a reader with a relay in its zone and one elsewhere.
func twoSources(near, far string) distribution.Config {
	own := failover.Locality{Zone: "a", Region: "north"}
	elsewhere := failover.Locality{Zone: "a", Region: "south"}
	return distribution.Config{Path: distribution.Endpoints, Locality: own, Heartbeat: quickHeartbeat,
		SilenceTolerance: 2 * time.Second,
		StaleAfter:       quickStaleAfter, Rand: rand.New(rand.NewPCG(1, 2)),
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
	relays := startTwoRelays(t)
	below := NewResource(versionlog.New(0, testRemovals), NewSnapshotBudget(wideBudget))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { below.Follow(ctx, twoSources(relays.nearAddress, relays.farAddress)); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitForHead(t, below, relays.top.Head())
	if calls := relays.far.Endpoints.Status().Calls; calls > 0 {
		t.Fatalf("%d calls to the far relay", calls)
	}
	relays.cutNear()
	old := relays.top.Head()
	mustPublish(t, relays.top, endpointChanges(3, 2))
	waitForHead(t, below, relays.top.Head())
	if relays.near.Endpoints.Head() != old {
		t.Errorf("the cut relay is at %+v", relays.near.Endpoints.Head())
	}
}

// A reader has left the relay in its zone because that was stale. It probes that relay, and returns once the relay
// hears of its sources again, not before.
func TestReturnsToFreshRelay(t *testing.T) {
	t.Parallel()
	relays := startTwoRelays(t)
	reader := runFollower(t, twoSources(relays.nearAddress, relays.farAddress))
	follows := func(address string) func() bool { return func() bool { return reader.Status().Source == address } }
	waitFor(t, "the reader does not follow the near relay", follows(relays.nearAddress))
	relays.cutNear()
	waitFor(t, "the reader stays with the stale relay", follows(relays.farAddress))
	left := relays.near.Endpoints.Status().Calls
	waitFor(t, "the reader does not probe", func() bool { return relays.near.Endpoints.Status().Calls > left })
	mustPublish(t, relays.top, endpointChanges(3, 2))
	waitFor(t, "the change does not come", func() bool { return reader.Status().Version == relays.top.Head() })
	if c := reader.Counters(); c.Switches != 2 || reader.Status().Source != relays.farAddress {
		t.Errorf("it follows %s, %+v", reader.Status().Source, c)
	}
	again := newAuthorityServer(5, wideBudget)
	again.Endpoints = relays.top
	startAt(t, again, relays.nearTop)
	waitFor(t, "the reader does not return", follows(relays.nearAddress))
	if c := reader.Counters(); c.Switches != 3 || relays.near.Endpoints.Head() != relays.top.Head() {
		t.Errorf("%+v, the near relay is at %+v", c, relays.near.Endpoints.Head())
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
