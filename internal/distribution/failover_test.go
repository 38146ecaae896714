package distribution

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// The relay in the reader's zone is killed, and then the one in its region. The reader goes to the next nearest one
// each time, asks it for changes since its own version alone, and misses none. When the relay in its zone is back, it
// returns.
func TestFailsOverFromKilledSourceAndReturns(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a", "b")
	zone, region, far := newFakeSource(t, l), newFakeSource(t, l), newFakeSource(t, l)
	c := follow(t, at(far, elsewhere), at(region, inRegion), at(zone, inZone))
	c.waitForVersion(l.head())
	c.waitFor("the zone's source", func() bool { return c.Status().Source == zone.address })
	if n := region.callCount() + far.callCount(); n > 0 {
		t.Fatalf("%d calls elsewhere", n)
	}
	zone.stop()
	c.waitFor("the region's source", func() bool { return c.Status().Source == region.address })
	l.put("b", "terminating")
	c.waitFor("the drain", func() bool { return c.statusOf("b") == "terminating" })
	region.set(func(s *fakeSource) {
		if slices.ContainsFunc(s.calls, func(call string) bool {
			return !strings.Contains(call, "from=2") && !strings.Contains(call, "from=3")
		}) {
			t.Errorf("calls %v", s.calls)
		}
	})
	region.stop()
	c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
	if far.callCount() == 0 {
		t.Error("the far source was not called")
	}
	zone.start(t)
	c.waitFor("the return", func() bool { return c.Status().Source == zone.address })
	l.put("a", "terminated")
	c.waitForVersion(l.head())
	if c.names() != "[b]" {
		t.Errorf("it has %s", c.names())
	}
	c.checkNeverWentBack()
}

// The relay in the reader's zone stops: it still accepts calls, and answers none. The reader goes to another one once
// heartbeat and silence tolerance are over, and hears of the next drain there.
func TestFailsOverFromSilentSource(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	c := follow(t, at(far, elsewhere), at(zone, inZone))
	c.waitForVersion(l.head())
	zone.set(func(s *fakeSource) { s.silent = true })
	c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
	l.put("a", "terminating")
	c.waitFor("the drain", func() bool { return c.statusOf("a") == "terminating" })
	c.checkNeverWentBack()
}

// The relay in the reader's zone has no capacity for a snapshot at first. The reader asks it again when it says, and
// asks no source farther away.
func TestBusySourceIsPolledAgain(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	zone.set(func(s *fakeSource) { s.rejections = 3 })
	c := follow(t, at(zone, inZone), at(far, elsewhere))
	c.waitForVersion(l.head())
	c.waitFor("the zone's source", func() bool { return c.Status().Source == zone.address })
	if n := far.callCount(); n > 0 {
		t.Errorf("%d calls elsewhere", n)
	}
}

// All sources are killed, and later one is back. Meanwhile the reader keeps its copy and its staleness grows;
// afterwards it goes on from there without a snapshot.
func TestCopyOutlivesAllSources(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	c := follow(t, at(zone, inZone), at(far, elsewhere))
	c.waitForVersion(l.head())
	zone.stop()
	far.stop()
	c.waitFor("failed calls", func() bool { return c.Counters().Failures > 6 })
	if s := c.Status(); !s.Complete || c.names() != "[a]" || s.Staleness < 500*time.Millisecond {
		t.Errorf("it has %s, %+v", c.names(), s)
	}
	l.put("b", "in_service")
	far.start(t)
	c.waitForVersion(l.head())
	c.waitFor("a fresh list", func() bool { return c.Status().Staleness < time.Second })
	if n := c.Counters(); n.BytesRead == 0 || n.BytesWritten == 0 || n.Switches < 2 || n.Snapshots != 1 || n.Entries != 2 {
		t.Errorf("%+v", n)
	}
}
