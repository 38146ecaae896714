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

// consumer runs a Follower and keeps the entries that it is given.
type consumer struct {
	*Follower
	t *testing.T

	mu       sync.Mutex
	statuses map[string]string    // of the entries that it has, by name
	versions []versionlog.Version // at which the copy was complete, in the order in which they came
}

var (
	inZone    = failover.Locality{Zone: "r1-a", Region: "r1"}
	inRegion  = failover.Locality{Zone: "r1-b", Region: "r1"}
	elsewhere = failover.Locality{Zone: "r2-a", Region: "r2"}
)

// at returns a fake source as configured at a place.
func at(s *fakeSource, p failover.Locality) failover.Source {
	return failover.Source{Address: s.address, Locality: p}
}

// allowance is longer than a source takes to answer on a busy machine.
const allowance = 2 * time.Second

// follow runs a consumer in inZone.
func follow(t *testing.T, list ...failover.Source) *consumer {
	return followWith(t, Config{Sources: list, Allowance: allowance})
}

// followWith runs a consumer in inZone by a configuration of sources until the test ends.
func followWith(t *testing.T, cfg Config) *consumer {
	c := &consumer{t: t, statuses: map[string]string{}}
	for _, name := range cfg.KnownNames {
		c.statuses[name] = "known"
	}
	cfg.Resource, cfg.Locality, cfg.Heartbeat = Endpoints, inZone, 200*time.Millisecond
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

// statusIn returns an entry's status; "" for an unknown one.
func statusIn(e versionlog.Entry) string {
	for _, status := range []string{"in_service", "terminating", "terminated"} {
		if strings.Contains(string(e.Body), fmt.Sprintf(`"status":%q`, status)) {
			return status
		}
	}
	return ""
}

// statusOf returns the status of a name; "" for one that the consumer has not.
func (c *consumer) statusOf(name string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses[name]
}

// names lists the entries that the consumer has.
func (c *consumer) names() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(slices.Sorted(maps.Keys(c.statuses)))
}

// waitForVersion waits until the copy is complete at a version.
func (c *consumer) waitForVersion(v versionlog.Version) {
	c.t.Helper()
	c.waitFor(fmt.Sprintf("version %+v", v), func() bool { s := c.Status(); return s.Complete && s.Version == v })
}

// waitFor waits for what other goroutines bring about.
func (c *consumer) waitFor(what string, ok func() bool) {
	c.t.Helper()
	if err := faultinjection.WaitFor(what, ok); err != nil {
		c.t.Fatalf("%v; it is at %+v, %+v", err, c.Status(), c.Counters())
	}
}

// checkNeverWentBack checks that the versions of complete copies came in their order.
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
		c.t.Errorf("it went back: %v", c.versions)
	}
}
