package distribution

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// The relay in the reader's zone is killed, and then the one in its region. Each time the reader fails over to the next
// nearest relay, asks it only for changes since the reader's version, and misses none. When the relay in the reader's
// zone runs again, the reader returns to it.
func TestFailsOverFromKilledSourceAndReturns(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a", "b")
	zone, region, far := newFakeSource(t, l), newFakeSource(t, l), newFakeSource(t, l)
	c := follow(t, at(far, elsewhere), at(region, inRegion), at(zone, inZone))
	c.waitForVersion(l.head())
	c.waitFor("the zone's source", func() bool { return c.Status().Source == zone.address })
	if n := region.callCount() + far.callCount(); n > 0 {
		t.Fatalf("sources outside the reader's zone received %d calls, want 0", n)
	}
	zone.stop()
	c.waitFor("the region's source", func() bool { return c.Status().Source == region.address })
	l.put("b", "terminating")
	c.waitFor("the drain", func() bool { return c.statusOf("b") == "terminating" })
	region.set(func(s *fakeSource) {
		if slices.ContainsFunc(s.calls, func(call string) bool {
			return !strings.Contains(call, "from=2") && !strings.Contains(call, "from=3")
		}) {
			t.Errorf("region's source received calls %v, want only calls from index 2 or 3", s.calls)
		}
	})
	region.stop()
	c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
	if far.callCount() == 0 {
		t.Error("far source received no call")
	}
	zone.start(t)
	c.waitFor("the return to the zone's source", func() bool { return c.Status().Source == zone.address })
	l.put("a", "terminated")
	c.waitForVersion(l.head())
	if c.names() != "[b]" {
		t.Errorf("reader has entries %s, want [b]", c.names())
	}
	c.checkNeverWentBack()
}

// The relay in the reader's zone hangs: it still accepts calls, but answers none. After heartbeat and silence tolerance
// the reader fails over to another relay, and receives the next drain from there.
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

// The relay in the reader's zone has no capacity for a snapshot at first. The reader calls it again after the wait that
// its answers state, and calls no source farther away.
func TestBusySourceIsPolledAgain(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	zone.set(func(s *fakeSource) { s.rejections = 3 })
	c := follow(t, at(zone, inZone), at(far, elsewhere))
	c.waitForVersion(l.head())
	c.waitFor("the zone's source", func() bool { return c.Status().Source == zone.address })
	if n := far.callCount(); n > 0 {
		t.Errorf("far source received %d calls, want 0", n)
	}
}

// All sources are killed, and later one of them is started again. While no source runs, the reader keeps its local copy
// and the copy's staleness grows. After that the reader continues from its version without a second snapshot.
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
		t.Errorf("without sources: reader has entries %s, status %+v, want [a], complete, stale by 500ms", c.names(), s)
	}
	l.put("b", "in_service")
	far.start(t)
	c.waitForVersion(l.head())
	c.waitFor("a fresh list", func() bool { return c.Status().Staleness < time.Second })
	if n := c.Counters(); n.BytesRead == 0 || n.BytesWritten == 0 || n.Switches < 2 || n.Snapshots != 1 || n.Entries != 2 {
		t.Errorf("counters %+v, want bytes, 2 or more switches, 1 snapshot and 2 entries", n)
	}
}
