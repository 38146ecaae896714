package scatter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Traffic beyond its tenant's quota is shed first when the replicas are overloaded.
func TestOverQuotaTrafficIsShedFirst(t *testing.T) {
	s := base()
	s.Tenants = []Tenant{{Name: "within", Quota: 100}, {Name: "beyond", Quota: 1}}
	b := start(t, s, names("a")...)
	b.m.classes.list[0].meanLatency = 0.35 * 2 // between the two thresholds
	refused := map[string]int{}
	for i := range int64(20) {
		for _, tenant := range []string{"within", "beyond"} {
			id := fmt.Sprint(tenant, i)
			acts := b.step(ms, QueryArrived{ID: id, Number: i, Class: "c", Tenant: tenant, Parts: 1,
				Expires: b.now + 6*sec}, PartArrived{ID: id + "p", Number: i, Weight: 1})
			refused[tenant] += len(of[Reject](acts))
		}
	}
	if refused["within"] > 0 || refused["beyond"] < 15 {
		t.Errorf("refused %v", refused)
	}
}

// A tenant within its quota is not rejected for it, however small one coordinator's part of the quota is. Arrivals
// are at random; the pressure lies where traffic beyond the quota is rejected and other traffic is not.
func TestQuotaIsFairForAnyNumberOfCoordinators(t *testing.T) {
	for _, roots := range []int{1, 30, 90} {
		s := base()
		s.Coordinators, s.Tenants = roots, []Tenant{{Name: "x", Quota: 20}}
		rng := rand.New(rand.NewPCG(7, uint64(roots)))
		for load, most := range map[float64]float64{0.8: 0.1, 3: 0.75} { // of the quota; refused at most
			b := start(t, s, names("a")...)
			refused, all := 0, 400
			for i := range int64(all) {
				gap := rng.ExpFloat64() / (20 * load / float64(roots))
				b.m.classes.list[0].meanLatency = 0.35 * 2
				id := fmt.Sprint(i)
				acts := b.step(time.Duration(gap*float64(sec)), QueryArrived{ID: id, Number: i, Class: "c", Tenant: "x",
					Parts: 1, Expires: b.now + 10*time.Hour}, PartArrived{ID: id + "p", Number: i, Weight: 1})
				refused += len(of[Reject](acts))
				b.step(0, QueryCancelled{ID: id})
			}
			part := float64(refused) / float64(all)
			if part > most || load > 1 && part < 0.5 {
				t.Errorf("%d roots, %.1f of the quota: %.2f refused", roots, load, part)
			}
		}
	}
}

// A client has little time left: what cannot be in time is rejected at once, what can is served, and the answer or
// the end comes before its time is up.
func TestClientWithLittleTime(t *testing.T) {
	for _, tc := range []struct {
		patience time.Duration
		refused  bool
	}{{300 * ms, true}, {600 * ms, false}} {
		b := start(t, base(), names("a", "b")...)
		b.m.classes.list[0].meanLatency = 0.4
		acts := b.step(0, QueryArrived{ID: "q", Number: 1, Class: "c", Parts: 1, Expires: b.now + tc.patience},
			PartArrived{ID: "p", Number: 1, Weight: 1})
		if got := len(of[Reject](acts)) == 1; got != tc.refused {
			t.Errorf("%v left: refused %v", tc.patience, got)
		}
		for _, x := range of[Send](acts) {
			if x.Timeout > tc.patience {
				t.Errorf("%v left: an attempt may take %v", tc.patience, x.Timeout)
			}
		}
		ends := 0
		for until := b.now + tc.patience; b.now < until; {
			ends += len(of[Reject](acts)) + len(of[Answer](acts)) + len(of[Fail](acts))
			acts = b.step(5*ms, TimerFired{})
		}
		if ends != 1 {
			t.Errorf("%v left: %d final answers in time", tc.patience, ends)
		}
	}
}

// Parts given up late at replicas that serve others are load: the prediction rises though what is served looks quick,
// and rejected queries, which bring no samples, let it fall again.
func TestLoadFactorRisesWithUnansweredPartsAndFalls(t *testing.T) {
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	b := start(t, base(), names(ids...)...)
	c := b.m.classes.list[0]
	for _, r := range b.m.replicas.all {
		at := &attempt{part: &part{query: &query{class: c}}, replica: r, sentAt: b.now}
		r.health.lastSuccess, r.classHealth[0].lastSuccess = b.now+ms, b.now+ms
		b.m.recordOutcome(r, c, at, ended("", 0, r.ID, TimedOut, 2*sec))
	}
	refused := 0
	for range 400 {
		refused += len(of[Reject](b.query("c", 0)))
		for _, q := range slices.Clone(b.m.queries.open) {
			b.step(0, QueryCancelled{ID: q.ID})
		}
	}
	if refused < 10 {
		t.Errorf("%d refusals under strain", refused)
	}
	if b.m.loadFactor > 1.2 {
		t.Errorf("strain %.2f after %d refusals", b.m.loadFactor, refused)
	}
}

// One overloaded shard rejects no query that may be answered without it.
func TestAdmittedByTheLeastAnswer(t *testing.T) {
	for _, floor := range []float64{0.5, 1} {
		refused := 0
		for range 20 {
			s := base()
			s.Classes[0].MinFraction, s.RingSize = floor, 4
			b := start(t, s, Replica{ID: "a"}, Replica{ID: "b", RingPosition: 1}, Replica{ID: "c", RingPosition: 2}, Replica{ID: "d", RingPosition: 3})
			b.m.replicas.byID["d"].latencyRatio = 10 // its mean is twice the aim
			refused += len(of[Reject](b.query("c", 0, 1, 2, 3)))
		}
		if floor < 1 && refused > 0 || floor == 1 && refused < 10 {
			t.Errorf("floor %.1f: %d of 20 refused", floor, refused)
		}
	}
}

// Where a partial answer will do, an overloaded shard is spared most of its parts, which would come too late, but not
// all: the others show when it has recovered. With a little less load all parts are sent, and so they are where all
// are needed.
func TestOverloadedShardIsSpared(t *testing.T) {
	for _, tc := range []struct {
		floor, ratio float64
		least, most  int
	}{
		{0.4, 10, 1, 10}, {0.4, 1.5, 40, 40}, {1, 1.5, 40, 40},
	} {
		s := base()
		s.Classes[0].MinFraction, s.RingSize = tc.floor, 4
		b := start(t, s, Replica{ID: "a"}, Replica{ID: "b", RingPosition: 1}, Replica{ID: "c", RingPosition: 2}, Replica{ID: "d", RingPosition: 3})
		sent := 0
		for range 40 {
			b.m.replicas.byID["d"].latencyRatio = tc.ratio // at 10 its mean is twice the aim
			for _, x := range of[Send](b.query("c", 0, 1, 2, 3)) {
				sent += int(toInt(x.Replica == "d"))
				b.step(0, ended(x.Part, 0, x.Replica, Succeeded, 400*ms))
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("floor %v, ratio %v: %v of 40 parts sent to the crowded shard", tc.floor, tc.ratio, sent)
		}
	}
}

// As load rises, parts that bring little of a wide query's weight are not asked for; with little load all are, and
// parts of equal weight are never left out for it.
func TestLightPartsAreSkippedUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name    string
		base    float64 // of the class, seconds; its aim is 2
		weights []float64
		sent    int
	}{
		{"idle", 0.2, []float64{.5, .3, .1, .05, .05}, 5},
		{"loaded", 0.75, []float64{.5, .3, .1, .05, .05}, 3}, // half of the slack is kept
		{"heavily skewed", 0.75, []float64{.7, .2, .04, .03, .03}, 2},
		{"loaded, equal weights", 0.75, []float64{.2, .2, .2, .2, .2}, 5},
	} {
		s := base()
		s.Classes[0].MinFraction = 0.6
		b := start(t, s, names("a", "b")...)
		b.m.classes.list[0].meanLatency = tc.base
		evs := []Event{QueryArrived{ID: "q", Number: 1, Class: "c", Expires: b.now + 6*sec}}
		for i, w := range tc.weights {
			evs = append(evs, PartArrived{ID: fmt.Sprint("q.", i), Number: 1, Weight: w})
		}
		if got := len(of[Send](b.step(0, evs...))); got != tc.sent {
			t.Errorf("%s: %d parts sent, want %d", tc.name, got, tc.sent)
		}
	}
}

// The only holder of a shard is ejected and overloaded, as when two replicas are out for maintenance and their
// neighbour is sent everything: it times out on all of it and serves nothing in time for seconds, for what was sent
// cannot be taken back. So queries for the shard are rejected early, and what is admitted is served in time. Of a
// holder that is merely unresponsive nothing of the kind is known.
func TestOverloadedEjectedReplicaIsSpared(t *testing.T) {
	for _, tc := range []struct {
		what        string
		ratio       float64
		failing     bool
		least, most int // sent of 40
	}{{"crowded", 12, false, 0, 12}, {"silent", 1, false, 40, 40}, {"failing at once", 12, true, 40, 40}} {
		a, err := New(1, base())
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * sec
		a.Step(now, []Event{EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r"}}}})
		sent := 0
		for i := range 40 {
			r := a.replicas.byID["r"]
			r.health.ejected, r.latencyRatio, r.health.failsFast, r.health.nextProbe = true, tc.ratio, tc.failing, now+sec
			now += sec / 10
			q := fmt.Sprint("q", i)
			for _, act := range a.Step(now, []Event{QueryArrived{ID: q, Number: int64(i), Class: "c", Parts: 1, Expires: now + 5*sec},
				PartArrived{ID: q + ".0", Number: int64(i), Weight: 1}}) {
				if s, ok := act.(Send); ok {
					sent++
					a.Step(now, []Event{AttemptEnded{Part: s.Part, Replica: "r", Outcome: Cancelled}, QueryCancelled{ID: q}})
				}
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("%s: %d of 40 sent, want %d to %d", tc.what, sent, tc.least, tc.most)
		}
	}
}
