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

// twoRelays are two relays that follow one authority. The authority's list is served at two addresses, so that the near
// relay can be cut off from its source while the far relay is not.
type twoRelays struct {
	list           *Resource // the authority's list
	nearSource     string    // the authority's address that the near relay follows
	stopNearSource func()    // stops the server at nearSource
	near, far      *Server
	nearAddress    string
	farAddress     string
}

// startTwoRelays starts an authority and two relays, and waits until both relays have the list.
func startTwoRelays(t *testing.T) *twoRelays {
	t.Helper()
	near, far := newAuthorityServer(5, ampleBudget), newAuthorityServer(5, ampleBudget)
	far.Endpoints = near.Endpoints
	near.Endpoints.SetStalenessFunc(neverStale)
	r := &twoRelays{list: near.Endpoints}
	r.nearSource, r.stopNearSource = start(t, near)
	farSource, _ := start(t, far)
	mustPublish(t, r.list, endpointChanges(3, 1))
	r.near, r.nearAddress, _ = startRelay(t, r.nearSource)
	r.far, r.farAddress, _ = startRelay(t, farSource)
	waitForHead(t, r.near.Endpoints, r.list.Head())
	waitForHead(t, r.far.Endpoints, r.list.Head())
	return r
}

// twoSources returns the configuration of a reader with one relay in its zone and one in another region.
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

// A relay is cut off from its source and still answers, with heartbeats and an old list. A relay that follows it leaves
// it, and gets the next change from another relay.
func TestStaleRelayIsLeft(t *testing.T) {
	t.Parallel()
	relays := startTwoRelays(t)
	downstream := NewResource(versionlog.New(0, testRemovals), NewSnapshotBudget(ampleBudget))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { downstream.Follow(ctx, twoSources(relays.nearAddress, relays.farAddress)); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	waitForHead(t, downstream, relays.list.Head())
	if calls := relays.far.Endpoints.Status().Calls; calls > 0 {
		t.Fatalf("far relay received %d calls, want 0", calls)
	}
	relays.stopNearSource()
	old := relays.list.Head()
	mustPublish(t, relays.list, endpointChanges(3, 2))
	waitForHead(t, downstream, relays.list.Head())
	if relays.near.Endpoints.Head() != old {
		t.Errorf("near relay is at %+v although it is cut off", relays.near.Endpoints.Head())
	}
}

// A reader has left the relay in its zone because the relay was stale. The reader probes the relay, and returns to it
// only once the relay hears from its source again.
func TestReturnsToFreshRelay(t *testing.T) {
	t.Parallel()
	relays := startTwoRelays(t)
	reader := runFollower(t, twoSources(relays.nearAddress, relays.farAddress))
	follows := func(address string) func() bool { return func() bool { return reader.Status().Source == address } }
	waitFor(t, "the reader does not follow the near relay", follows(relays.nearAddress))
	relays.stopNearSource()
	waitFor(t, "the reader does not leave the stale relay", follows(relays.farAddress))
	callsBefore := relays.near.Endpoints.Status().Calls
	waitFor(t, "the reader does not probe the near relay",
		func() bool { return relays.near.Endpoints.Status().Calls > callsBefore })
	mustPublish(t, relays.list, endpointChanges(3, 2))
	waitFor(t, "the reader lacks the change", func() bool { return reader.Status().Version == relays.list.Head() })
	if c := reader.Counters(); c.Switches != 2 || reader.Status().Source != relays.farAddress {
		t.Errorf("reader follows %s, want the far relay; counters %+v", reader.Status().Source, c)
	}
	restarted := newAuthorityServer(5, ampleBudget)
	restarted.Endpoints = relays.list
	startAt(t, restarted, relays.nearSource)
	waitFor(t, "the reader does not return to the near relay", follows(relays.nearAddress))
	if c := reader.Counters(); c.Switches != 3 || relays.near.Endpoints.Head() != relays.list.Head() {
		t.Errorf("reader's counters %+v, near relay is at %+v", c, relays.near.Endpoints.Head())
	}
}

// The authority is down, and all relays are equally stale. A reader stays with the relay that it follows, and probes
// the other relay at a bounded rate.
func TestEquallyStaleRelaysAreNotExchanged(t *testing.T) {
	t.Parallel()
	// The intervals between the first firstProbes probes grow. Later intervals are probeInterval or longer.
	const firstProbes, probeInterval = 6, 1500 * time.Millisecond
	near, far := newAuthorityServer(5, ampleBudget), newAuthorityServer(5, ampleBudget)
	nearAddress, _ := start(t, near)
	farAddress, _ := start(t, far)
	confirmedAt := time.Now()
	for _, server := range []*Server{near, far} {
		mustPublish(t, server.Endpoints, endpointChanges(3, 1))
		server.Endpoints.SetStalenessFunc(func() time.Duration { return time.Since(confirmedAt) })
	}
	reader := runFollower(t, twoSources(nearAddress, farAddress))
	waitFor(t, "the reader does not probe the far relay", func() bool { return far.Endpoints.Status().Calls >= 4 })
	heartbeats := near.Endpoints.Status().Heartbeats
	waitFor(t, "the reader gets no heartbeats",
		func() bool { return near.Endpoints.Status().Heartbeats > heartbeats+20 })
	probes := far.Endpoints.Status().Calls
	if limit := firstProbes + int64(time.Since(confirmedAt)/probeInterval); probes > limit {
		t.Errorf("reader sent %d probes in %v", probes, time.Since(confirmedAt))
	}
	if c := reader.Counters(); c.Switches != 1 || reader.Status().Source != nearAddress {
		t.Errorf("reader follows %s, want the near relay; counters %+v", reader.Status().Source, c)
	}
}
