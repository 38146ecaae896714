package twophase

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

var testTopic = Topic{"conditions", "summary"}

// firstAnswerCost is the cost of a first-phase answer, and of the version in a full answer, as a fraction of a full
// answer's cost.
const firstAnswerCost = 0.1

// simulation runs queries over some shards against a planner.
type simulation struct {
	*Planner
	now       time.Duration
	shards    int
	firstWork float64                                    // cost of first-phase answers and versions, in full answers
	fullWork  float64                                    // number of full answers
	state     func(shard int) (v Version, matches int64) // present state of a shard's data
}

// versioned is the evidence of a readable answer that shows its version.
func versioned(v Version, matches int64) Evidence {
	return Evidence{Readable: true, Matches: matches, Versioned: true, Version: v}
}

// version returns the version of a shard's data after n changes.
func version(n int) Version {
	return Version{Docs: 10, Max: float64(100 + n), Min: 1, Sum: float64(500 + n)}
}

// query runs one query and returns how many of its shards got no full query.
func (s *simulation) query(body string) (pruned int) {
	s.now += time.Second
	r := Request{Topic: testTopic, Body: body, Cacheable: true, Now: s.now, ObjectiveAt: s.now + 1500*ms}
	for shard := range s.shards {
		r.Shards = append(r.Shards, shard)
	}
	for i, mode := range s.Plan(r).Modes {
		v, matches := s.state(i)
		withVersion := mode == FullWithVersion
		if mode == InTwoPhases {
			s.firstWork += firstAnswerCost
			s.ObserveLatency(testTopic, i, true, 2*ms)
			verdict, _ := s.ObserveFirstPhase(testTopic, i, body, versioned(v, matches), true, s.now)
			if verdict.Proves() {
				pruned++
				continue
			}
			withVersion = s.WantsVersion(testTopic, i)
		}
		s.FullSent(testTopic)
		s.ObserveLatency(testTopic, i, false, 20*ms)
		s.fullWork++
		if withVersion {
			s.firstWork += firstAnswerCost
			s.ObserveFullWithVersion(testTopic, i, body, versioned(v, matches),
				fmt.Appendf(nil, "%s %d %v", body, i, v), s.now)
		}
	}
	return pruned
}

// The data changes before each query, then never, then in half of the shards. While nothing changes, nearly all full
// queries are saved. While everything changes, hardly any work is lost. The planner adapts when the rate of change
// rises or falls.
func TestPlannerFollowsHowOftenDataChanges(t *testing.T) {
	changes := 0
	unchanged := func(int) (Version, int64) { return version(0), 3 }
	changing := func(int) (Version, int64) { changes++; return version(changes), 3 }
	s := &simulation{Planner: New(1 << 20), shards: 12, state: changing}
	run := func(queries int) (work float64) {
		s.firstWork, s.fullWork = 0, 0
		for i := range queries {
			s.query(fmt.Sprint("body ", i%3))
		}
		return (s.firstWork + s.fullWork) / float64(queries*s.shards)
	}
	if work := run(300); work > 1.05 || s.firstWork == 0 {
		t.Errorf("all shards changing: %.3f of the one-phase work, want at most 1.05 and some exploration", work)
	}
	s.state = unchanged
	run(100) // the planner learns
	if work := run(100); work > 0.2 {
		t.Errorf("no shard changing after all did: %.3f of the one-phase work, want at most 0.2", work)
	}
	s.state = changing
	if work := run(300); work > 1.05 {
		t.Errorf("all shards changing after none did: %.3f of the one-phase work, want at most 1.05", work)
	}
	half := func(shard int) (Version, int64) {
		if shard%2 == 0 {
			return changing(shard)
		}
		return unchanged(shard)
	}
	s.state = half // each shard is judged by its own samples
	run(100)
	if work := run(100); work > 0.65 || work < 0.5 {
		t.Errorf("half of the shards changing: %.3f of the one-phase work, want about 0.55", work)
	}
	s.state = func(int) (Version, int64) { return Version{}, 0 }
	run(300)
	if work := run(100); work > 0.2 {
		t.Errorf("no shard with a match: %.3f of the one-phase work, want at most 0.2", work)
	}
}

// A deferral leaves enough time for a slow full answer before the latency objective.
func TestDeferralLeavesTimeForFullAnswer(t *testing.T) {
	p := New(1 << 20)
	plan := func(left time.Duration) Plan {
		return p.Plan(Request{Topic: testTopic, Body: "q", Cacheable: true, Shards: []int{0, 1},
			Now: time.Second, ObjectiveAt: time.Second + left})
	}
	if got := plan(1600 * ms); got.MaxDeferral != 200*ms || got.Modes[0] != InTwoPhases {
		t.Errorf("no latency observed yet: %+v, want a deferral of a quarter of half of the time", got)
	}
	for range 64 {
		p.ObserveLatency(testTopic, 0, true, 10*ms)
		p.ObserveLatency(testTopic, 0, false, 100*ms)
	}
	for shard := range 2 {
		p.ObserveFullWithVersion(testTopic, shard, "q", versioned(version(0), 1), []byte("v"), time.Second)
	}
	for _, tc := range []struct{ left, deferral time.Duration }{
		{1500 * ms, 20 * ms}, {115 * ms, 15 * ms}, {110 * ms, 10 * ms}, {110*ms - 1, 0}, {50 * ms, 0}, {-ms, 0},
	} {
		got := plan(tc.left)
		if got.MaxDeferral != tc.deferral || (got.Modes[0] == InTwoPhases) != (tc.deferral > 0) {
			t.Errorf("%v left until the objective: %+v, want a deferral of %v", tc.left, got, tc.deferral)
		}
	}
	got := p.Plan(Request{
		Topic: testTopic, Body: "q", Cacheable: true, Shards: []int{0, 1},
		Capable: func(shard int) bool { return shard == 1 },
		Now:     time.Second, ObjectiveAt: 3 * time.Second,
	})
	if got.Modes[0] != Full || got.Modes[1] != InTwoPhases {
		t.Errorf("%+v, want the full query for the shard whose holders do not support first phases", got)
	}
}

// First-phase answers arrive only after the full queries were sent. They save nothing even if they prove the value, so
// the planner stops querying these shards in two phases.
func TestLateFirstPhasesAreGivenUp(t *testing.T) {
	p := New(1 << 20)
	p.ObserveFullWithVersion(testTopic, 0, "q", versioned(version(0), 1), []byte("v"), 0)
	firstPhases := 0
	for i := range 200 {
		at := time.Duration(i) * time.Second
		plan := p.Plan(Request{Topic: testTopic, Body: "q", Cacheable: true, Shards: []int{0}, Now: at,
			ObjectiveAt: at + time.Second})
		if plan.Modes[0] == InTwoPhases {
			firstPhases++
			p.ObserveFirstPhase(testTopic, 0, "q", versioned(version(0), 1), false, at)
		}
		p.FullSent(testTopic)
	}
	if firstPhases > 60 {
		t.Errorf("%d of 200 queries used a first phase that never saved a full query, want at most 60", firstPhases)
	}
}

// Something else than the documents decides the answer to a query, say the clock. Its full queries request no version,
// however often it is repeated, so no value of it is cached.
func TestUncacheableQueryRequestsNoVersion(t *testing.T) {
	p, now := New(1<<20), time.Duration(0)
	p.ObserveFullWithVersion(testTopic, 0, "cacheable", versioned(version(0), 1), []byte("value"), 0)
	for range 20 {
		now += time.Second
		plan := p.Plan(Request{Topic: testTopic, Body: "q", Shards: []int{0}, Now: now, ObjectiveAt: now + time.Second})
		if plan.Modes[0] == FullWithVersion {
			t.Errorf("after %v: an uncacheable query requests the version", now)
		}
	}
}
