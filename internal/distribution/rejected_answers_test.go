package distribution

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
)

// The only up-to-date source is killed. The remaining sources have an older epoch or an older index, and answer every
// call with a snapshot of it. The reader keeps its local copy, and follows one of them once that one has caught up.
func TestAnswersBehindAreNotApplied(t *testing.T) {
	t.Parallel()
	newer, older := newSharedLog(7, "a"), newSharedLog(6, "a", "b", "c", "stale")
	late := newSharedLog(7, "a")
	newer.put("b", "in_service")
	first, second, third := newFakeSource(t, newer), newFakeSource(t, older), newFakeSource(t, late)
	for _, s := range []*fakeSource{second, third} {
		s.set(func(s *fakeSource) {
			s.override = func(*http.Request) string {
				s.log.mu.Lock()
				defer s.log.mu.Unlock()
				return string(s.log.log.Read(versionlog.Cursor{}, 60<<10).AppendJSON(nil))
			}
		})
	}
	c := follow(t, at(first, inZone), at(second, inRegion), at(third, inRegion))
	c.waitForVersion(newer.head())
	first.stop()
	c.waitFor("calls to both", func() bool { return second.callCount() > 8 && third.callCount() > 8 })
	if c.names() != "[a b]" || c.Status().Version != newer.head() {
		t.Errorf("reader has entries %s, status %+v, want [a b] at the killed source's version", c.names(), c.Status())
	}
	if c.Counters().Unusable < 16 {
		t.Errorf("counters %+v, want 16 or more unusable answers", c.Counters())
	}
	late.put("b", "in_service")
	late.put("c", "in_service")
	c.waitForVersion(late.head())
	if c.names() != "[a b c]" {
		t.Errorf("reader has entries %s, want [a b c]", c.names())
	}
	c.checkNeverWentBack()
}

// The current source starts to send answers that break the protocol. The reader applies no part of them, fails over to
// another source, and receives the next drain from there.
func TestInvalidAnswersAreNotApplied(t *testing.T) {
	t.Parallel()
	entry := func(name string, version int) string {
		return fmt.Sprintf(`{"version":%d,"name":%q,"address":"127.0.0.1:9","status":"terminating"}`, version, name)
	}
	answer := func(index int, entries ...string) string {
		return fmt.Sprintf(`{"epoch":3,"index":%d,"head":%d,"snapshot":false,"more":false,"endpoints":[%s]}`,
			index, index, strings.Join(entries, ","))
	}
	for what, body := range map[string]string{
		"no JSON":                  "{",
		"oversized":                answer(3, entry("c", 3)) + strings.Repeat(" ", DefaultMaxBody),
		"out of order":             answer(4, entry("a", 4), entry("c", 3)),
		"a name twice":             answer(4, entry("a", 3), entry("a", 4)),
		"replayed":                 answer(2, entry("a", 1), entry("b", 2)),
		"replayed before":          answer(1, entry("a", 1)),
		"past its index":           answer(3, entry("a", 4)),
		"an unknown status":        answer(4, entry("a", 3), `{"version":4,"name":"b","address":"x:1","status":"confused"}`),
		"no name":                  answer(3, `{"version":3,"name":"","address":"x:1","status":"in_service"}`),
		"a bad entry's type":       answer(3, `{"version":3,"name":7,"status":"in_service"}`),
		"changes of another epoch": `{"epoch":4,"index":3,"head":3,"endpoints":[` + entry("a", 3) + `]}`,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			l := newSharedLog(3, "a", "b")
			zone, far := newFakeSource(t, l), newFakeSource(t, l)
			c := follow(t, at(zone, inZone), at(far, elsewhere))
			c.waitForVersion(l.head())
			zone.set(func(s *fakeSource) { s.override = func(*http.Request) string { return body } })
			c.waitFor("the far source", func() bool { return c.Status().Source == far.address })
			if c.statusOf("a") != "in_service" || c.names() != "[a b]" ||
				c.Status().Version != l.head() || !c.Status().Complete {
				t.Errorf("reader has entries %s, a is %s, status %+v, want the local copy unchanged",
					c.names(), c.statusOf("a"), c.Status())
			}
			l.put("a", "terminating")
			c.waitFor("the drain", func() bool { return c.statusOf("a") == "terminating" })
			c.checkNeverWentBack()
		})
	}
}

// A source fails in the middle of a snapshot. The reader has applied each slice when it was received, and removes no
// entry because it is missing from these slices. It removes entries with the last slice of a later source's snapshot.
func TestInterruptedSnapshotRemovesNothing(t *testing.T) {
	t.Parallel()
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	l := newSharedLog(2, names...)
	l.put("n00", "terminating")
	l.put("n39", "terminated")
	zone, far := newFakeSource(t, l), newFakeSource(t, l)
	zone.set(func(s *fakeSource) {
		s.sliceBytes = 1200
		s.override = func(r *http.Request) string {
			if r.URL.Query().Get("base") != "" {
				return "{"
			}
			return ""
		}
	})
	far.set(func(s *fakeSource) { s.sliceBytes, s.silent = 1200, true })
	c := followWith(t, Config{Sources: []failover.Source{at(zone, inZone), at(far, elsewhere)},
		KnownNames: []string{"n39", "n01", "removed"}, SilenceTolerance: silenceTolerance})
	c.waitFor("calls to both", func() bool { return zone.callCount() > 1 && far.callCount() > 0 })
	if c.statusOf("n01") != "in_service" || c.statusOf("removed") != "known" || c.Status().Complete {
		t.Errorf("interrupted snapshot: reader has entries %s", c.names())
	}
	far.set(func(s *fakeSource) { s.silent = false })
	c.waitForVersion(l.head())
	if n := c.Counters().Versions; n < 4 {
		t.Errorf("snapshots completed after %d slices, want 4 or more", n)
	}
	if c.statusOf("n00") != "terminating" || c.statusOf("n38") != "in_service" ||
		c.statusOf("removed")+c.statusOf("n39") != "" {
		t.Errorf("completed snapshot: reader has entries %s", c.names())
	}
	c.checkNeverWentBack()
}
