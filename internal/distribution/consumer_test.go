package distribution

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/test/faultinjection"
)

// consumer runs a Follower and keeps the entries that it receives from it.
type consumer struct {
	*Follower
	t *testing.T

	mu       sync.Mutex
	statuses map[string]string    // statuses of the consumer's entries, by name
	versions []versionlog.Version // versions at which the copy was complete, in the order of their updates
}

var (
	inZone    = failover.Locality{Zone: "r1-a", Region: "r1"}
	inRegion  = failover.Locality{Zone: "r1-b", Region: "r1"}
	elsewhere = failover.Locality{Zone: "r2-a", Region: "r2"}
)

// at returns the configuration of a fake source at a locality.
func at(s *fakeSource, locality failover.Locality) failover.Source {
	return failover.Source{Address: s.address, Locality: locality}
}

// silenceTolerance is longer than a source needs to answer on a busy machine.
const silenceTolerance = 2 * time.Second

// follow runs a consumer located in inZone with the given sources until the test ends.
func follow(t *testing.T, sources ...failover.Source) *consumer {
	return followWith(t, Config{Sources: sources, SilenceTolerance: silenceTolerance})
}

// followWith runs a consumer located in inZone until the test ends. It completes the configuration.
func followWith(t *testing.T, cfg Config) *consumer {
	c := &consumer{t: t, statuses: map[string]string{}}
	for _, name := range cfg.KnownNames {
		c.statuses[name] = "known"
	}
	cfg.Path, cfg.Locality, cfg.Heartbeat = Endpoints, inZone, 200*time.Millisecond
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	cfg.Apply, cfg.Check = c.apply, checkStatuses
	c.Follower = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

func (c *consumer) apply(u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range u.Entries {
		c.statuses[e.Name] = statusIn(e)
		if e.Removed {
			delete(c.statuses, e.Name)
		}
	}
	for _, name := range u.MissingFromSnapshot {
		delete(c.statuses, name)
	}
	if u.Complete {
		c.versions = append(c.versions, u.Slice.Version)
	}
}

// checkStatuses rejects entries whose status is unknown.
func checkStatuses(entries []versionlog.Entry) error {
	for _, e := range entries {
		if statusIn(e) == "" {
			return fmt.Errorf("entry %s has an unknown status", e.Name)
		}
	}
	return nil
}

// statusIn returns an entry's status, or "" if the status is unknown.
func statusIn(e versionlog.Entry) string {
	for _, status := range []string{"in_service", "terminating", "terminated"} {
		if strings.Contains(string(e.Body), fmt.Sprintf(`"status":%q`, status)) {
			return status
		}
	}
	return ""
}

// statusOf returns the status of the entry with a name, or "" if the consumer does not have it.
func (c *consumer) statusOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses[name]
}

// names lists the names of the consumer's entries.
func (c *consumer) names() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(slices.Sorted(maps.Keys(c.statuses)))
}

// waitForVersion waits until the local copy is complete at a version.
func (c *consumer) waitForVersion(v versionlog.Version) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("version %+v", v), func() bool { s := c.Status(); return s.Complete && s.Version == v })
}

// waitFor waits until a condition holds that other goroutines bring about. what names it in the failure message.
func (c *consumer) waitFor(what string, holds func() bool) {
	c.t.Helper()
	if err := faultinjection.WaitFor(what, holds); err != nil {
		c.t.Fatalf("%v; status %+v, counters %+v", err, c.Status(), c.Counters())
	}
}

// checkNeverWentBack checks that the version of the complete local copy never decreased.
func (c *consumer) checkNeverWentBack() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.IsSortedFunc(c.versions, func(a, b versionlog.Version) int {
		switch {
		case a.Before(b):
			return -1
		case b.Before(a):
			return 1
		}
		return 0
	}) {
		c.t.Errorf("the local copy went back to an older version: %v", c.versions)
	}
}
