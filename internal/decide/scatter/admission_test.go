package scatter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Queries beyond their tenant's quota are shed first when the replicas are overloaded.
func TestOverQuotaTrafficIsShedFirst(t *testing.T) {
	s := base()
	s.Tenants = []Tenant{{Name: "within", Quota: 100}, {Name: "beyond", Quota: 1}}
	h := start(t, s, names("a")...)
	h.m.classes.list[0].meanLatency = 0.35 * 2 // between the two thresholds
	rejected := map[string]int{}
	for i := range int64(20) {
		for _, tenant := range []string{"within", "beyond"} {
			id := fmt.Sprint(tenant, i)
			acts := h.step(ms, QueryArrived{ID: id, Number: i, Class: "c", Tenant: tenant, Parts: 1,
				Expires: h.now + 6*sec}, PartArrived{ID: id + "p", Number: i, Weight: 1})
			rejected[tenant] += len(of[Reject](acts))
		}
	}
	if rejected["within"] > 0 || rejected["beyond"] < 15 {
		t.Errorf("queries rejected by tenant: %v", rejected)
	}
}

// A tenant within its quota is not rejected for exceeding it, however small one coordinator's part of the quota is.
// Queries arrive at random; the pressure is at a value where traffic beyond the quota is rejected and other traffic is
// not.
func TestQuotaIsFairForAnyNumberOfCoordinators(t *testing.T) {
	for _, coordinators := range []int{1, 30, 90} {
		s := base()
		s.Coordinators, s.Tenants = coordinators, []Tenant{{Name: "x", Quota: 20}}
		rng := rand.New(rand.NewPCG(7, uint64(coordinators)))
		for load, most := range map[float64]float64{0.8: 0.1, 3: 0.75} { // load in quotas: most rejected
			h := start(t, s, names("a")...)
			rejected, all := 0, 400
			for i := range int64(all) {
				gap := rng.ExpFloat64() / (20 * load / float64(coordinators))
				h.m.classes.list[0].meanLatency = 0.35 * 2
				id := fmt.Sprint(i)
				acts := h.step(time.Duration(gap*float64(sec)), QueryArrived{ID: id, Number: i, Class: "c", Tenant: "x",
					Parts: 1, Expires: h.now + 10*time.Hour}, PartArrived{ID: id + "p", Number: i, Weight: 1})
				rejected += len(of[Reject](acts))
				h.step(0, QueryCancelled{ID: id})
			}
			part := float64(rejected) / float64(all)
			if part > most || load > 1 && part < 0.5 {
				t.Errorf("%d coordinators, %.1f of the quota: %.2f rejected", coordinators, load, part)
			}
		}
	}
}

// A client has little time left. A query that cannot be answered in time is rejected at once, any other is served, and
// the answer or the end comes before the client's time is over.
func TestClientWithLittleTime(t *testing.T) {
	for _, tc := range []struct {
		patience time.Duration
		rejected bool
	}{{300 * ms, true}, {600 * ms, false}} {
		h := start(t, base(), names("a", "b")...)
		h.m.classes.list[0].meanLatency = 0.4
		acts := h.step(0, QueryArrived{ID: "q", Number: 1, Class: "c", Parts: 1, Expires: h.now + tc.patience},
			PartArrived{ID: "p", Number: 1, Weight: 1})
		if got := len(of[Reject](acts)) == 1; got != tc.rejected {
			t.Errorf("%v left: rejected %v", tc.patience, got)
		}
		for _, x := range of[Send](acts) {
			if x.Timeout > tc.patience {
				t.Errorf("%v left: an attempt has a time-out of %v", tc.patience, x.Timeout)
			}
		}
		ends := 0
		for until := h.now + tc.patience; h.now < until; {
			ends += len(of[Reject](acts)) + len(of[Answer](acts)) + len(of[Fail](acts))
			acts = h.step(5*ms, TimerFired{})
		}
		if ends != 1 {
			t.Errorf("%v left: %d final answers in time", tc.patience, ends)
		}
	}
}

// Parts that are given up late count as load if their replicas serve others: the prediction rises although served parts
// look quick. Rejected queries, which bring no samples, let it fall again.
func TestLoadFactorRisesWithUnansweredPartsAndFalls(t *testing.T) {
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	h := start(t, base(), names(ids...)...)
	c := h.m.classes.list[0]
	for _, r := range h.m.replicas.all {
		at := &attempt{part: &part{query: &query{class: c}}, replica: r, sentAt: h.now}
		r.health.lastSuccess, r.classHealth[0].lastSuccess = h.now+ms, h.now+ms
		h.m.recordOutcome(r, c, at, ended("", 0, r.ID, TimedOut, 2*sec))
	}
	rejected := 0
	for range 400 {
		rejected += len(of[Reject](h.query("c", 0)))
		for _, q := range slices.Clone(h.m.queries.open) {
			h.step(0, QueryCancelled{ID: q.ID})
		}
	}
	if rejected < 10 {
		t.Errorf("%d rejections under load, want at least 10", rejected)
	}
	if h.m.loadFactor > 1.2 {
		t.Errorf("load factor %.2f after %d rejections", h.m.loadFactor, rejected)
	}
}

// One overloaded shard does not cause the rejection of a query that may be answered without it.
func TestAdmittedByTheLeastAnswer(t *testing.T) {
	for _, minFraction := range []float64{0.5, 1} {
		rejected := 0
		for range 20 {
			s := base()
			s.Classes[0].MinFraction, s.RingSize = minFraction, 4
			h := start(t, s, Replica{ID: "a"}, Replica{ID: "b", RingPosition: 1},
				Replica{ID: "c", RingPosition: 2}, Replica{ID: "d", RingPosition: 3})
			h.m.replicas.byID["d"].latencyRatio = 10 // its mean is twice the objective
			rejected += len(of[Reject](h.query("c", 0, 1, 2, 3)))
		}
		if minFraction < 1 && rejected > 0 || minFraction == 1 && rejected < 10 {
			t.Errorf("minimum %.1f: %d of 20 rejected", minFraction, rejected)
		}
	}
}

// If a partial answer is allowed, most parts of an overloaded shard, which would be late, are left out. Some are still
// sent, to show when it has recovered. With a little less load, or if all parts are needed, all parts are sent.
func TestOverloadedShardIsSkipped(t *testing.T) {
	for _, tc := range []struct {
		minFraction, ratio float64
		least, most        int
	}{
		{0.4, 10, 1, 10}, {0.4, 1.5, 40, 40}, {1, 1.5, 40, 40},
	} {
		s := base()
		s.Classes[0].MinFraction, s.RingSize = tc.minFraction, 4
		h := start(t, s, Replica{ID: "a"}, Replica{ID: "b", RingPosition: 1},
			Replica{ID: "c", RingPosition: 2}, Replica{ID: "d", RingPosition: 3})
		sent := 0
		for range 40 {
			h.m.replicas.byID["d"].latencyRatio = tc.ratio // at 10 its mean is twice the objective
			for _, x := range of[Send](h.query("c", 0, 1, 2, 3)) {
				sent += int(toInt(x.Replica == "d"))
				h.step(0, ended(x.Part, 0, x.Replica, Succeeded, 400*ms))
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("minimum %v, ratio %v: %v of 40 parts sent to the overloaded shard", tc.minFraction, tc.ratio, sent)
		}
	}
}

// As load rises, low-weight parts of a query with many parts are left out. With little load all parts are sent, and
// parts of equal weight are never left out for their weight.
func TestLightPartsAreSkippedUnderLoad(t *testing.T) {
	for _, tc := range []struct {
		name    string
		base    float64 // mean latency of the class, in seconds; its objective is 2
		weights []float64
		sent    int
	}{
		{"idle", 0.2, []float64{.5, .3, .1, .05, .05}, 5},
		{"loaded", 0.75, []float64{.5, .3, .1, .05, .05}, 3}, // parts are left out up to halfway to the minimum only
		{"heavily skewed", 0.75, []float64{.7, .2, .04, .03, .03}, 2},
		{"loaded, equal weights", 0.75, []float64{.2, .2, .2, .2, .2}, 5},
	} {
		s := base()
		s.Classes[0].MinFraction = 0.6
		h := start(t, s, names("a", "b")...)
		h.m.classes.list[0].meanLatency = tc.base
		events := []Event{QueryArrived{ID: "q", Number: 1, Class: "c", Expires: h.now + 6*sec}}
		for i, w := range tc.weights {
			events = append(events, PartArrived{ID: fmt.Sprint("q.", i), Number: 1, Weight: w})
		}
		if got := len(of[Send](h.step(0, events...))); got != tc.sent {
			t.Errorf("%s: %d parts sent, want %d", tc.name, got, tc.sent)
		}
	}
}

// The only holder of a shard is ejected and overloaded, as when two replicas are in maintenance and their neighbour is
// sent all of the shard's parts. It times out on all of them and serves nothing in time for seconds, because what was
// sent cannot be taken back. So queries for the shard have to be rejected early, and what is admitted is served in
// time. A holder that is merely unresponsive is not known to be overloaded, so all parts are sent.
func TestOverloadedEjectedReplicaIsSkipped(t *testing.T) {
	for _, tc := range []struct {
		what        string
		ratio       float64
		failing     bool
		least, most int // sent of 40
	}{{"overloaded", 12, false, 0, 12}, {"silent", 1, false, 40, 40}, {"failing at once", 12, true, 40, 40}} {
		m, err := New(1, base())
		if err != nil {
			t.Fatal(err)
		}
		now := 100 * sec
		m.Step(now, []Event{EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "r"}}}})
		sent := 0
		for i := range 40 {
			r := m.replicas.byID["r"]
			r.health.ejected, r.latencyRatio, r.health.failsFast, r.health.nextProbe = true, tc.ratio, tc.failing, now+sec
			now += sec / 10
			q := fmt.Sprint("q", i)
			events := []Event{QueryArrived{ID: q, Number: int64(i), Class: "c", Parts: 1, Expires: now + 5*sec},
				PartArrived{ID: q + ".0", Number: int64(i), Weight: 1}}
			for _, act := range m.Step(now, events) {
				if s, ok := act.(Send); ok {
					sent++
					m.Step(now, []Event{AttemptEnded{Part: s.Part, Replica: "r", Outcome: Cancelled}, QueryCancelled{ID: q}})
				}
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("%s: %d of 40 sent, want %d to %d", tc.what, sent, tc.least, tc.most)
		}
	}
}
