package distribution

import (
	"testing"
	"time"

	"harepass/internal/decide/failover"
)

// A killed relay is started again, accepts calls and answers none. A reader that is about to return to it probes it on
// a separate connection: the next change comes from the current source, however long the probe takes.
func TestSilentProbeDelaysNoChange(t *testing.T) {
	t.Parallel()
	l := newSharedLog(1, "a")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	c := followWith(t, Config{Sources: []failover.Source{at(far, elsewhere), at(zone, inZone)},
		SilenceTolerance: 5 * time.Minute}) // longer than any wait of the test
	c.waitForVersion(l.head())
	zone.stop()
	c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
	zone.set(func(s *fakeSource) { s.silent = true })
	before := zone.callCount()
	zone.start(t)
	c.waitFor("a probe", func() bool { return zone.callCount() > before })
	l.put("a", "terminating")
	c.waitFor("the drain", func() bool { return c.statusOf("a") == "terminating" })
	if c.Status().Source == zone.address {
		t.Error("reader follows the silent source")
	}
}

// A region is cut off together with its relay, and a reader learns of a removed endpoint from a relay elsewhere. When
// the region is reachable again, its relay still answers with the old list. The reader probes that relay, but does not
// return to it until the relay has caught up.
func TestNoReturnToSourceBehind(t *testing.T) {
	t.Parallel()
	cut, world := newSharedLog(4, "a", "b"), newSharedLog(4, "a", "b")
	zone, far := newFakeSource(t, cut), newFakeSource(t, world)
	c := follow(t, at(zone, inZone), at(far, elsewhere))
	c.waitForVersion(cut.head())
	zone.set(func(s *fakeSource) { s.silent = true })
	c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
	world.put("a", "terminated")
	world.put("c", "in_service")
	c.waitForVersion(world.head())
	before := zone.callCount()
	zone.set(func(s *fakeSource) { s.silent = false })
	c.waitFor("probes of the zone's source", func() bool { return zone.callCount() >= before+2 })
	if c.names() != "[b c]" || c.Status().Source == zone.address {
		t.Errorf("reader has entries %s and follows %s, want [b c] and the far source", c.names(), c.Status().Source)
	}
	cut.put("a", "terminated")
	cut.put("c", "in_service")
	c.waitFor("the return to the zone's source", func() bool { return c.Status().Source == zone.address })
	cut.put("d", "in_service")
	c.waitForVersion(cut.head())
	c.checkNeverWentBack()
}
