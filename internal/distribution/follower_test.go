package distribution

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/test/faultinjection"
)

// member is a consumer of a follower: what it has, and the versions in the order in which it was told.
type member struct {
	*Follower
	t *testing.T

	mu       sync.Mutex
	held     map[string]string // status by name
	versions []versionlog.Version
}

var (
	inZone    = failover.Place{Zone: "r1-a", Region: "r1"}
	inRegion  = failover.Place{Zone: "r1-b", Region: "r1"}
	elsewhere = failover.Place{Zone: "r2-a", Region: "r2"}
)

func at(s *source, p failover.Place) failover.Source {
	return failover.Source{Address: s.address, Place: p}
}

// allowance is long enough for a source that answers on a busy machine.
const allowance = 2 * time.Second

// follow starts a member of a zone.
func follow(t *testing.T, list ...failover.Source) *member {
	return followWith(t, Config{Sources: list, Allowance: allowance})
}

func followWith(t *testing.T, cfg Config) *member {
	m := &member{t: t, held: map[string]string{}}
	for _, name := range cfg.KnownNames {
		m.held[name] = "known"
	}
	cfg.Resource, cfg.Place, cfg.Heartbeat, cfg.Rand = Endpoints, inZone, 200*time.Millisecond, rand.New(rand.NewPCG(1, 2))
	cfg.Apply, cfg.Check = m.apply, known
	m.Follower = New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m
}

func (m *member) apply(u Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range u.Entries {
		m.held[e.Name] = statusOf(e)
		if e.Removed {
			delete(m.held, e.Name)
		}
	}
	for _, name := range u.Removed {
		delete(m.held, name)
	}
	if u.Complete {
		m.versions = append(m.versions, u.Slice.Version)
	}
}

// known finds entries whose status a member does not know.
func known(entries []versionlog.Entry) error {
	for _, e := range entries {
		if statusOf(e) == "" {
			return fmt.Errorf("entry %s has no status that is known", e.Name)
		}
	}
	return nil
}

func statusOf(e versionlog.Entry) string {
	for _, status := range []string{"in_service", "terminating", "terminated"} {
		if strings.Contains(string(e.Body), fmt.Sprintf(`"status":%q`, status)) {
			return status
		}
	}
	return ""
}

// status is that of a name, "" where it is not held.
func (m *member) statusOf(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[name]
}

func (m *member) names() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fmt.Sprint(slices.Sorted(maps.Keys(m.held)))
}

// reaches waits until the member is whole at a version.
func (m *member) reaches(v versionlog.Version) {
	m.t.Helper()
	m.eventually(fmt.Sprintf("version %+v", v), func() bool { s := m.Status(); return s.Complete && s.Version == v })
}

func (m *member) eventually(what string, ok func() bool) {
	m.t.Helper()
	if err := faultinjection.Wait(what, ok); err != nil {
		m.t.Fatalf("%v; it is at %+v, %+v", err, m.Status(), m.Counters())
	}
}

// neverBack holds the whole versions that it was told against their order.
func (m *member) neverBack() {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.IsSortedFunc(m.versions, func(a, b versionlog.Version) int {
		switch {
		case a.Before(b):
			return -1
		case b.Before(a):
			return 1
		}
		return 0
	}) {
		m.t.Errorf("it went back: %v", m.versions)
	}
}

// A killed source is left for the next nearest one, which goes on from the version that the member has; when the nearer one
// is back, the member returns.
func TestKilledSource(t *testing.T) {
	t.Parallel()
	l := newLog(1, "a", "b")
	zone, region, far := newSource(t, l), newSource(t, l), newSource(t, l)
	m := follow(t, at(far, elsewhere), at(region, inRegion), at(zone, inZone))
	m.reaches(l.head())
	m.eventually("the zone's source", func() bool { return m.Status().Source == zone.address })
	if n := region.called() + far.called(); n > 0 {
		t.Fatalf("%d calls elsewhere", n)
	}
	zone.stop()
	m.eventually("the region's source", func() bool { return m.Status().Source == region.address })
	l.put("b", "terminating")
	m.eventually("the drain", func() bool { return m.statusOf("b") == "terminating" })
	region.set(func(s *source) {
		if slices.ContainsFunc(s.calls, func(c string) bool { return !strings.Contains(c, "from=2") && !strings.Contains(c, "from=3") }) {
			t.Errorf("calls %v", s.calls)
		}
	})
	region.stop()
	m.eventually("the far source", func() bool { return m.Status().Source == far.address })
	if far.called() == 0 {
		t.Error("the far source was not called")
	}
	zone.start(t)
	m.eventually("the return", func() bool { return m.Status().Source == zone.address })
	l.put("a", "terminated")
	m.reaches(l.head())
	if m.names() != "[b]" {
		t.Errorf("it holds %s", m.names())
	}
	m.neverBack()
}

// A source that takes calls and says nothing is left.
func TestSilentSource(t *testing.T) {
	t.Parallel()
	l := newLog(1, "a")
	zone, far := newSource(t, l), newSource(t, l)
	m := follow(t, at(far, elsewhere), at(zone, inZone))
	m.reaches(l.head())
	zone.set(func(s *source) { s.silent = true })
	m.eventually("the far source", func() bool { return m.Status().Source == far.address })
	l.put("a", "terminating")
	m.eventually("the drain", func() bool { return m.statusOf("a") == "terminating" })
	m.neverBack()
}

// A nearer source that takes the call of a member which would return, and says nothing, keeps no change from it: it is tried
// beside the one in use.
func TestSilentReturn(t *testing.T) {
	t.Parallel()
	l := newLog(1, "a")
	zone, far := newSource(t, l), newSource(t, l)
	m := followWith(t, Config{Sources: []failover.Source{at(far, elsewhere), at(zone, inZone)}, Allowance: 5 * time.Minute}) // silence lasts longer than the test waits
	m.reaches(l.head())
	zone.stop()
	m.eventually("the far source", func() bool { return m.Status().Source == far.address })
	zone.set(func(s *source) { s.silent = true })
	before := zone.called()
	zone.start(t)
	m.eventually("a trial", func() bool { return zone.called() > before })
	l.put("a", "terminating")
	m.eventually("the drain", func() bool { return m.statusOf("a") == "terminating" })
	if m.Status().Source == zone.address {
		t.Error("it follows the silent one")
	}
}

// An older epoch, and an older index of the same one, are never taken, though no other source is left; the sources behind
// are left, and followed once they have caught up.
func TestBehind(t *testing.T) {
	t.Parallel()
	newer, older := newLog(7, "a"), newLog(6, "a", "b", "c", "stale")
	late := newLog(7, "a")
	newer.put("b", "in_service")
	first, second, third := newSource(t, newer), newSource(t, older), newSource(t, late)
	for _, s := range []*source{second, third} { // whatever they are asked, they answer with all that they have
		s.set(func(s *source) {
			s.override = func(*http.Request) string {
				s.log.mu.Lock()
				defer s.log.mu.Unlock()
				return string(s.log.log.Read(versionlog.Cursor{}, 60<<10).AppendJSON(nil))
			}
		})
	}
	m := follow(t, at(first, inZone), at(second, inRegion), at(third, inRegion))
	m.reaches(newer.head())
	first.stop()
	m.eventually("calls to both", func() bool { return second.called() > 8 && third.called() > 8 })
	if m.names() != "[a b]" || m.Status().Version != newer.head() {
		t.Errorf("it holds %s at %+v", m.names(), m.Status())
	}
	if m.Counters().Rejected < 16 {
		t.Errorf("%+v", m.Counters())
	}
	late.put("b", "in_service")
	late.put("c", "in_service")
	m.reaches(late.head())
	if m.names() != "[a b c]" {
		t.Errorf("it holds %s", m.names())
	}
	m.neverBack()
}

// A spoilt answer of any kind leaves what is in force as it is, and its source is left for the other one.
func TestSpoiltAnswers(t *testing.T) {
	t.Parallel()
	entry := func(name string, version int) string {
		return fmt.Sprintf(`{"version":%d,"name":%q,"address":"127.0.0.1:9","status":"terminating"}`, version, name)
	}
	answer := func(index int, entries ...string) string {
		return fmt.Sprintf(`{"epoch":3,"index":%d,"head":%d,"snapshot":false,"more":false,"endpoints":[%s]}`, index, index, strings.Join(entries, ","))
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
			l := newLog(3, "a", "b")
			zone, far := newSource(t, l), newSource(t, l)
			m := follow(t, at(zone, inZone), at(far, elsewhere))
			m.reaches(l.head())
			zone.set(func(s *source) { s.override = func(*http.Request) string { return body } })
			m.eventually("the far source", func() bool { return m.Status().Source == far.address })
			if m.statusOf("a") != "in_service" || m.names() != "[a b]" || m.Status().Version != l.head() || !m.Status().Complete {
				t.Errorf("it holds %s, a is %s, at %+v", m.names(), m.statusOf("a"), m.Status())
			}
			l.put("a", "terminating")
			m.eventually("the drain", func() bool { return m.statusOf("a") == "terminating" })
			m.neverBack()
		})
	}
}

// A region that was cut off answers with what it had: the member that returns to it stays at what it has heard elsewhere.
func TestReturnedRegion(t *testing.T) {
	t.Parallel()
	cut, world := newLog(4, "a", "b"), newLog(4, "a", "b")
	zone, far := newSource(t, cut), newSource(t, world)
	m := follow(t, at(zone, inZone), at(far, elsewhere))
	m.reaches(cut.head())
	zone.set(func(s *source) { s.silent = true })
	m.eventually("the far source", func() bool { return m.Status().Source == far.address })
	world.put("a", "terminated")
	world.put("c", "in_service")
	m.reaches(world.head())
	before := zone.called()
	zone.set(func(s *source) { s.silent = false })
	m.eventually("looks at the region's source", func() bool { return zone.called() >= before+2 })
	if m.names() != "[b c]" || m.Status().Source == zone.address {
		t.Errorf("it holds %s and follows %s", m.names(), m.Status().Source)
	}
	cut.put("a", "terminated")
	cut.put("c", "in_service")
	m.eventually("the return", func() bool { return m.Status().Source == zone.address })
	cut.put("d", "in_service")
	m.reaches(cut.head())
	m.neverBack()
}

// A snapshot that breaks off half-way makes no name gone, and what it told counts at once; a later source's last slice does.
func TestHalfSnapshot(t *testing.T) {
	t.Parallel()
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("n%02d", i))
	}
	l := newLog(2, names...)
	l.put("n00", "terminating")
	l.put("n39", "terminated")
	zone, far := newSource(t, l), newSource(t, l)
	zone.set(func(s *source) {
		s.bytes = 1200
		s.override = func(r *http.Request) string {
			if r.URL.Query().Get("base") != "" {
				return "{"
			}
			return ""
		}
	})
	far.set(func(s *source) { s.bytes, s.silent = 1200, true })
	m := followWith(t, Config{Sources: []failover.Source{at(zone, inZone), at(far, elsewhere)}, KnownNames: []string{"n39", "n01", "gone"},
		Allowance: allowance})
	m.eventually("calls to both", func() bool { return zone.called() > 1 && far.called() > 0 })
	if m.statusOf("n01") != "in_service" || m.statusOf("gone") != "known" || m.Status().Complete {
		t.Errorf("half: it holds %s", m.names())
	}
	far.set(func(s *source) { s.silent = false })
	m.reaches(l.head())
	if n := m.Counters().Versions; n < 4 {
		t.Errorf("whole after %d slices", n)
	}
	if m.statusOf("n00") != "terminating" || m.statusOf("n38") != "in_service" || m.statusOf("gone")+m.statusOf("n39") != "" {
		t.Errorf("whole: it holds %s", m.names())
	}
	m.neverBack()
}

// A source with no capacity for a snapshot is asked again when it says; no other one is.
func TestBusySource(t *testing.T) {
	t.Parallel()
	l := newLog(1, "a")
	zone, far := newSource(t, l), newSource(t, l)
	zone.set(func(s *source) { s.busy = 3 })
	m := follow(t, at(zone, inZone), at(far, elsewhere))
	m.reaches(l.head())
	m.eventually("the zone's source", func() bool { return m.Status().Source == zone.address })
	if n := far.called(); n > 0 {
		t.Errorf("%d calls elsewhere", n)
	}
}

// With all sources gone the member has what it had, knows that it grows old, and goes on when one is back.
func TestAllGone(t *testing.T) {
	t.Parallel()
	l := newLog(1, "a")
	zone, far := newSource(t, l), newSource(t, l)
	m := follow(t, at(zone, inZone), at(far, elsewhere))
	m.reaches(l.head())
	zone.stop()
	far.stop()
	m.eventually("failed calls", func() bool { return m.Counters().Failures > 6 })
	if s := m.Status(); !s.Complete || m.names() != "[a]" || s.Staleness < 500*time.Millisecond {
		t.Errorf("it has %s, %+v", m.names(), s)
	}
	l.put("b", "in_service")
	far.start(t)
	m.reaches(l.head())
	m.eventually("a fresh list", func() bool { return m.Status().Staleness < time.Second })
	if c := m.Counters(); c.BytesRead == 0 || c.BytesWritten == 0 || c.Switches < 2 || c.Snapshots != 1 || c.Entries != 2 {
		t.Errorf("%+v", c)
	}
}
