package harepass

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is a bench whose replicas serve each part after a time of their own; a negative time means
// that they never answer, an outcome other than Served that they fail so after that time.
type fleet struct {
	*bench
	takes map[string]time.Duration
	fails map[string]Outcome
	out   []struct {
		Send
		no   int
		sent time.Duration
	}
	tries map[string]int
	sent  map[string]int // by replica, since the last clear
	ends  map[string]int // answered, refused, failed
}

func newFleet(t *testing.T, s Settings, ids ...string) *fleet {
	f := &fleet{bench: start(t, s, names(ids...)...), takes: map[string]time.Duration{}, fails: map[string]Outcome{},
		tries: map[string]int{}}
	for _, id := range ids {
		f.takes[id] = 100 * ms
	}
	f.clear()
	return f
}

func (f *fleet) clear() { f.sent, f.ends = map[string]int{}, map[string]int{} }

func (f *fleet) take(acts []Action) {
	for _, act := range acts {
		switch x := act.(type) {
		case Send:
			f.sent[x.Replica]++
			f.out = append(f.out, struct {
				Send
				no   int
				sent time.Duration
			}{x, f.tries[x.Part], f.now})
			f.tries[x.Part]++
		case Answer:
			f.ends["answered"]++
		case Refuse:
			f.ends["refused"]++
		case Fail:
			f.ends["failed"]++
		case CallOff:
			for i := range f.out {
				if f.out[i].Part == x.Part && f.out[i].no == x.Attempt {
					f.out[i].Timeout = 0 // its end comes with the next turn, as cancelled
				}
			}
		}
	}
}

// run plays a span of time with a query of one part each gap.
func (f *fleet) run(span, gap time.Duration) {
	next := f.now
	for until := f.now + span; f.now < until; {
		var evs []Event
		rest := f.out[:0]
		for _, o := range f.out {
			age, takes := f.now-o.sent, f.takes[o.Replica]
			switch {
			case o.Timeout == 0:
				evs = append(evs, ended(o.Part, o.no, o.Replica, Cancelled, age))
			case takes >= 0 && age >= takes:
				evs = append(evs, ended(o.Part, o.no, o.Replica, f.fails[o.Replica], age))
			case age >= o.Timeout:
				evs = append(evs, ended(o.Part, o.no, o.Replica, TimedOut, age))
			default:
				rest = append(rest, o)
			}
		}
		f.out = rest
		f.take(f.step(0, append(evs, Woken{})...))
		if f.now >= next {
			next += gap
			f.take(f.query("c", 0))
		}
		f.now += 5 * ms
	}
}

// share is the part of all sends that a replica got.
func (f *fleet) share(id string) float64 {
	total := 0
	for _, n := range f.sent {
		total += n
	}
	return float64(f.sent[id]) / float64(max(total, 1))
}

// One of four replicas falls ill; the others carry the traffic, and it returns when it is well again.
func TestSickReplicaLeavesAndReturns(t *testing.T) {
	for name, fall := range map[string]func(*fleet){
		"silent":           func(f *fleet) { f.takes["a"] = -1 },
		"ten times slower": func(f *fleet) { f.takes["a"] = 1000 * ms },
		"refuses connections": func(f *fleet) {
			f.takes["a"], f.fails["a"] = ms, ConnectFailed
		},
		"unreachable":    func(f *fleet) { f.takes["a"], f.fails["a"] = 250*ms, ConnectFailed },
		"answers errors": func(f *fleet) { f.takes["a"], f.fails["a"] = ms, Errored },
		"resets":         func(f *fleet) { f.takes["a"], f.fails["a"] = ms, Reset },
		"is always full": func(f *fleet) { f.takes["a"], f.fails["a"] = ms, Full },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, base(), "a", "b", "c", "d")
			f.run(5*sec, 50*ms)
			fall(f)
			f.run(2*sec, 50*ms) // time to find out
			f.clear()
			f.run(10*sec, 50*ms)
			if got := f.share("a"); got > 0.15 { // an equal share is 0.25
				t.Errorf("it still gets %.2f of the sends", got)
			}
			if n := f.ends["answered"]; n < 190 {
				t.Errorf("%d of 200 queries answered: %v", n, f.ends)
			}
			f.takes["a"], f.fails["a"] = 100*ms, Served
			f.run(15*sec, 50*ms)
			f.clear()
			f.run(10*sec, 50*ms)
			if got := f.share("a"); got < 0.1 {
				t.Errorf("well again, it gets %.2f of the sends", got)
			}
		})
	}
}

// A replica that is well for half a second in every two gets no more than trial parts.
func TestFlappingReplicaIsKeptAtBay(t *testing.T) {
	f := newFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	f.clear()
	for range 6 {
		f.takes["a"], f.fails["a"] = ms, Reset
		f.run(1500*ms, 50*ms)
		f.takes["a"], f.fails["a"] = 100*ms, Served
		f.run(500*ms, 50*ms)
	}
	if got := f.share("a"); got > 0.15 {
		t.Errorf("it gets %.2f of the sends", got)
	}
	if f.ends["answered"] < 230 {
		t.Errorf("answers: %v", f.ends)
	}
}

// All slow at once is load: nobody leaves, and further attempts stay within their share.
func TestCommonSlownessIsLoad(t *testing.T) {
	f := newFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	for id := range f.takes {
		f.takes[id] = 1200 * ms
	}
	f.clear()
	f.run(10*sec, 50*ms)
	for _, r := range f.a.replicas {
		if r.suspect {
			t.Errorf("%s is taken as ill", r.ID)
		}
	}
	first, all := 0, 0
	for _, n := range f.sent {
		all += n
	}
	for range f.tries {
		first++
	}
	if limit := float64(first)*(1+hedgeShare) + hedgeBurst; float64(all) > limit {
		t.Errorf("%d sends for %d parts", all, first)
	}
}

// A stall of one replica for 300 ms moves nobody out.
func TestBriefStallIsBorne(t *testing.T) {
	f := newFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	f.takes["a"] = 400 * ms
	f.run(300*ms, 50*ms)
	f.takes["a"] = 100 * ms
	f.run(sec, 50*ms)
	if f.a.byID["a"].suspect {
		t.Error("taken as ill")
	}
}

// Every holder looks ill at once, as in a cut or a restart of the fleet: they are still tried, and when
// they answer again so does the root.
func TestHealthNeverEmptiesTheChoice(t *testing.T) {
	for name, o := range map[string]Outcome{"no connection": ConnectFailed, "errors": Errored, "resets": Reset} {
		f := newFleet(t, base(), "a", "b")
		for _, id := range []string{"a", "b"} {
			f.takes[id], f.fails[id] = ms, o
		}
		f.run(5*sec, 100*ms)
		f.clear()
		f.run(5*sec, 100*ms)
		if f.sent["a"] == 0 || f.sent["b"] == 0 {
			t.Errorf("%s: not tried any more: %v", name, f.sent)
		}
		for _, id := range []string{"a", "b"} {
			f.takes[id], f.fails[id] = 100*ms, Served
		}
		f.run(5*sec, 100*ms)
		f.clear()
		f.run(5*sec, 100*ms)
		if f.ends["answered"] < 48 {
			t.Errorf("%s: after its end %v", name, f.ends)
		}
	}
}

// A remembered list names replicas that are long gone; a root that has nothing else still answers.
func TestRemembersOnlyAnOldList(t *testing.T) {
	a, err := New(1, base())
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{bench: &bench{t: t, a: a, now: 100 * sec}, fails: map[string]Outcome{}, tries: map[string]int{},
		takes: map[string]time.Duration{"gone1": 250 * ms, "gone2": 250 * ms, "b": 100 * ms}}
	f.fails["gone1"], f.fails["gone2"] = ConnectFailed, ConnectFailed
	f.clear()
	f.step(0, ListReceived{Scope: ListRemembered, Replicas: names("gone1", "gone2", "b")})
	f.run(3*sec, 100*ms)
	f.clear()
	f.run(5*sec, 100*ms)
	if f.ends["answered"] < 48 || f.share("b") < 0.7 {
		t.Errorf("answers %v, sends %v", f.ends, f.sent)
	}
}

// The root stands still for two seconds: what then arrives late says nothing of the replicas.
func TestHeldUpRootBlamesNobody(t *testing.T) {
	f := newFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 20*ms)
	before := fmt.Sprint(f.a.byID["a"].suspect)
	f.now += 1900 * ms
	f.clear()
	f.run(2*sec, 20*ms)
	for _, r := range f.a.replicas {
		if r.suspect || r.ratio > 3 {
			t.Errorf("%s: suspect %v (%s before), ratio %.2f", r.ID, r.suspect, before, r.ratio)
		}
	}
	if f.ends["refused"] > 5 {
		t.Errorf("refused %d queries", f.ends["refused"])
	}
}

// Over-share traffic goes first when the fleet is crowded.
func TestOverShareIsRefusedFirst(t *testing.T) {
	s := base()
	s.Tenants = []Tenant{{Name: "within", Quota: 100}, {Name: "beyond", Quota: 1}}
	b := start(t, s, names("a")...)
	b.a.classes[0].base = 0.35 * 2 // between the two thresholds
	refused := map[string]int{}
	for i := range int64(20) {
		for _, tenant := range []string{"within", "beyond"} {
			id := fmt.Sprint(tenant, i)
			acts := b.step(ms, QueryArrived{ID: id, Number: i, Class: "c", Tenant: tenant, Parts: 1,
				ValidUntil: b.now + 6*sec}, PartArrived{ID: id + "p", Number: i, Weight: 1})
			refused[tenant] += len(of[Refuse](acts))
		}
	}
	if refused["within"] > 0 || refused["beyond"] < 15 {
		t.Errorf("refused %v", refused)
	}
}

// Where not all parts are needed, the rest stay unasked until a part is overdue.
func TestSparePartsAreHedges(t *testing.T) {
	s := base()
	s.Classes[0].Need = 0.75
	b := start(t, s, names("a", "b")...)
	sends := of[Send](b.query("c", 0, 1, 2, 3))
	if len(sends) != 3 {
		t.Fatalf("%d parts asked for, want 3", len(sends))
	}
	b.step(100*ms, ended(sends[0].Part, 0, sends[0].Replica, Served, 100*ms),
		ended(sends[1].Part, 0, sends[1].Replica, Served, 100*ms))
	more := of[Send](b.step(900*ms, Woken{}))
	if len(more) != 1 || more[0].Part == sends[2].Part {
		t.Fatalf("overdue part answered by %v, want the spare part", more)
	}
	acts := b.step(100*ms, ended(more[0].Part, 0, more[0].Replica, Served, 100*ms))
	if a := of[Answer](acts); len(a) != 1 || !a[0].Whole {
		t.Errorf("no whole answer from three of four: %v", acts)
	}
	if off := of[CallOff](acts); len(off) != 1 || off[0].Part != sends[2].Part {
		t.Errorf("the part left over is not called off: %v", acts)
	}
}

// A part that can no longer come is replaced by a spare one at once.
func TestLostPartIsReplaced(t *testing.T) {
	s := base()
	s.Classes[0].Need, s.MaxAttempts = 0.75, 1
	b := start(t, s, names("a", "b")...)
	sends := of[Send](b.query("c", 0, 1, 2, 3))
	more := of[Send](b.step(ms, ended(sends[0].Part, 0, sends[0].Replica, Errored, ms)))
	if len(more) != 1 || more[0].Part == sends[0].Part {
		t.Errorf("the lost part is followed by %v, want the spare part", more)
	}
}

// A tenant within its quota is not refused for it, however small one root's part of the quota is. Arrivals
// are at random; the pressure lies where over-share traffic is refused and the rest is not.
func TestShareIsFairAtAnyNumberOfRoots(t *testing.T) {
	for _, roots := range []int{1, 30, 90} {
		s := base()
		s.Roots, s.Tenants = roots, []Tenant{{Name: "x", Quota: 20}}
		rng := rand.New(rand.NewPCG(7, uint64(roots)))
		for load, most := range map[float64]float64{0.8: 0.1, 3: 0.75} { // of the quota; refused at most
			b := start(t, s, names("a")...)
			refused, all := 0, 400
			for i := range int64(all) {
				gap := rng.ExpFloat64() / (20 * load / float64(roots))
				b.a.classes[0].base = 0.35 * 2
				id := fmt.Sprint(i)
				acts := b.step(time.Duration(gap*float64(sec)), QueryArrived{ID: id, Number: i, Class: "c", Tenant: "x",
					Parts: 1, ValidUntil: b.now + 10*time.Hour}, PartArrived{ID: id + "p", Number: i, Weight: 1})
				refused += len(of[Refuse](acts))
				b.step(0, QueryGone{ID: id})
			}
			part := float64(refused) / float64(all)
			if part > most || load > 1 && part < 0.5 {
				t.Errorf("%d roots, %.1f of the quota: %.2f refused", roots, load, part)
			}
		}
	}
}

// A client with little time left: what cannot be in time is refused at once, what can is served, and the answer
// or the end comes before its time is up.
func TestShortPatience(t *testing.T) {
	for _, tc := range []struct {
		patience time.Duration
		refused  bool
	}{{300 * ms, true}, {600 * ms, false}} {
		b := start(t, base(), names("a", "b")...)
		b.a.classes[0].base = 0.4
		acts := b.step(0, QueryArrived{ID: "q", Number: 1, Class: "c", Parts: 1, ValidUntil: b.now + tc.patience},
			PartArrived{ID: "p", Number: 1, Weight: 1})
		if got := len(of[Refuse](acts)) == 1; got != tc.refused {
			t.Errorf("%v left: refused %v", tc.patience, got)
		}
		for _, x := range of[Send](acts) {
			if x.Timeout > tc.patience {
				t.Errorf("%v left: an attempt may take %v", tc.patience, x.Timeout)
			}
		}
		ends := 0
		for until := b.now + tc.patience; b.now < until; {
			ends += len(of[Refuse](acts)) + len(of[Answer](acts)) + len(of[Fail](acts))
			acts = b.step(5*ms, Woken{})
		}
		if ends != 1 {
			t.Errorf("%v left: %d final answers in time", tc.patience, ends)
		}
	}
}

// Full replicas everywhere for a moment: a part does not spend its last attempt at once.
func TestLastAttemptWaits(t *testing.T) {
	b := start(t, base(), names("a", "b", "c", "d")...)
	x := of[Send](b.query("c", 0))[0]
	y := of[Send](b.step(ms, ended(x.Part, 0, x.Replica, Full, ms)))
	if len(y) != 1 {
		t.Fatalf("the second attempt: %v", y)
	}
	if z := of[Send](b.step(ms, ended(x.Part, 1, y[0].Replica, Full, ms))); len(z) != 0 {
		t.Errorf("the third attempt follows at once: %v", z)
	}
	if z := of[Send](b.step(400*ms, Woken{})); len(z) != 1 {
		t.Errorf("the third attempt never comes: %v", z)
	}
}

// One class fails at a replica that serves the other: it is kept from there for a while and tried again later,
// and the other class keeps the replica.
func TestClassThatFailsIsBarredAlone(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes, Class{Name: "d", Aim: 2 * sec, Deadline: 6 * sec, Need: 1, Floor: 1})
	for name, o := range map[string]Outcome{"silence": TimedOut, "errors": Errored} {
		b := start(t, s, names("a", "b")...)
		a, c, d := b.a.byID["a"], b.a.classes[0], b.a.classes[1]
		for range 2 { // each time the other class is served while the failing part is out
			at := &attempt{part: &part{q: &query{cls: d}}, r: a, sent: b.now}
			b.step(sec, Woken{})
			b.a.judge(a, c, &attempt{part: &part{q: &query{cls: c}}, r: a, sent: b.now},
				ended("", 0, "a", Served, 100*ms))
			b.step(sec, Woken{})
			b.a.judge(a, d, at, ended("", 0, "a", o, 2*sec))
		}
		if a.suspect {
			t.Errorf("%s: the replica is out of use for all", name)
		}
		count := func(class string) (n int) {
			for range 40 {
				for _, x := range of[Send](b.query(class, 0)) {
					if x.Replica == "a" {
						n++
					}
					b.step(ms, ended(x.Part, 0, x.Replica, Served, ms))
				}
			}
			return n
		}
		if bad, good := count("d"), count("c"); bad > 0 || good < 5 {
			t.Errorf("%s: it got %d of the failing class and %d of the other", name, bad, good)
		}
		b.step(10*sec, Woken{})
		if n := count("d"); n < 5 {
			t.Errorf("%s: later it got %d of the class", name, n)
		}
	}
}

// A zero-evidence root at full size: what one step costs. Reported, never asserted.
func BenchmarkStep(b *testing.B) {
	s := base()
	s.Roots, s.Cells, s.Reach, s.CallBatch = 90, 150, 4, 8
	a, err := New(1, s)
	if err != nil {
		b.Fatal(err)
	}
	list := ListReceived{Scope: ListFull}
	for i := range 150 {
		list.Replicas = append(list.Replicas, Replica{ID: fmt.Sprint("r", i), Cell: i})
	}
	now := 100 * sec
	a.Step(now, []Event{list})
	for i := range int64(b.N) {
		evs := []Event{QueryArrived{ID: fmt.Sprint(i), Number: i, Class: "c", Parts: 40, ValidUntil: now + 6*sec}}
		for k := range 40 {
			evs = append(evs, PartArrived{ID: fmt.Sprint(i, ".", k), Number: i, Shard: (int(i)*7 + k) % 300, Weight: 0.025})
		}
		now += 300 * ms
		var done []Event
		for _, x := range of[Send](a.Step(now, evs)) {
			done = append(done, ended(x.Part, 0, x.Replica, Served, 100*ms))
		}
		now += 100 * ms
		a.Step(now, done)
	}
}

// Parts given up late at replicas that serve others are load: the prediction rises though what is served looks
// quick, and refusals, which renew no sample, let it fall again.
func TestStrainRisesWithPartsGivenUpAndEnds(t *testing.T) {
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("r", i))
	}
	b := start(t, base(), names(ids...)...)
	c := b.a.classes[0]
	for _, r := range b.a.replicas {
		at := &attempt{part: &part{q: &query{cls: c}}, r: r, sent: b.now}
		r.lastOK, r.okAt[0] = b.now+ms, b.now+ms
		b.a.judge(r, c, at, ended("", 0, r.ID, TimedOut, 2*sec))
	}
	refused := 0
	for range 400 {
		refused += len(of[Refuse](b.query("c", 0)))
		for _, q := range slices.Clone(b.a.open) {
			b.step(0, QueryGone{ID: q.ID})
		}
	}
	if refused < 10 {
		t.Errorf("%d refusals under strain", refused)
	}
	if b.a.strain > 1.2 {
		t.Errorf("strain %.2f after %d refusals", b.a.strain, refused)
	}
}

// A first step that may be answered in part leaves its second step the time that a slow part takes.
func TestFirstStepLeavesTimeForTheSecond(t *testing.T) {
	s := base()
	s.Classes[0].Floor, s.Classes[0].SecondStep, s.Classes[0].LateWorth = 0.4, 1, 0
	f := newFleet(t, s, "a", "b")
	acts := f.query("c", 0, 0)
	sent := of[Send](acts)
	f.step(100*ms, ended(sent[0].Part, 0, sent[0].Replica, Served, 100*ms))
	asked := f.now
	for len(of[Answer](acts)) == 0 && f.now < asked+2*sec {
		acts = f.step(5*ms, Woken{})
	}
	if left := asked + 1900*ms - f.now; left < scale(s.Classes[0].Aim, hedgeFirst)-10*ms {
		t.Fatalf("the first step's answer leaves %v before the aim", left)
	}
	acts = f.step(5*ms, PartArrived{ID: "next", Number: f.n, Weight: 1})
	if len(of[Send](acts)) != 1 {
		t.Fatalf("the second step is not sent: %v", acts)
	}
	acts = f.step(200*ms, ended("next", 0, of[Send](acts)[0].Replica, Served, 200*ms))
	if got := of[Answer](acts); len(got) != 1 || got[0].Whole {
		t.Errorf("second step: %v", acts)
	}
}

// One crowded shard refuses no query that may be answered without it.
func TestAdmittedByTheLeastAnswer(t *testing.T) {
	for _, floor := range []float64{0.5, 1} {
		refused := 0
		for range 20 {
			s := base()
			s.Classes[0].Floor, s.Cells = floor, 4
			b := start(t, s, Replica{ID: "a"}, Replica{ID: "b", Cell: 1}, Replica{ID: "c", Cell: 2}, Replica{ID: "d", Cell: 3})
			b.a.byID["d"].ratio = 10 // its mean is twice the aim
			refused += len(of[Refuse](b.query("c", 0, 1, 2, 3)))
		}
		if floor < 1 && refused > 0 || floor == 1 && refused < 10 {
			t.Errorf("floor %.1f: %d of 20 refused", floor, refused)
		}
	}
}

// Where an answer in part will do, a crowded shard is spared most of its parts, which would come too late, but not all:
// the rest shows when it is well again. With a little less load all go out, and so they do where all are needed.
func TestCrowdedShardIsSpared(t *testing.T) {
	for _, tc := range []struct {
		floor, ratio float64
		least, most  int
	}{
		{0.4, 10, 1, 10}, {0.4, 1.5, 40, 40}, {1, 1.5, 40, 40},
	} {
		s := base()
		s.Classes[0].Floor, s.Cells = tc.floor, 4
		b := start(t, s, Replica{ID: "a"}, Replica{ID: "b", Cell: 1}, Replica{ID: "c", Cell: 2}, Replica{ID: "d", Cell: 3})
		sent := 0
		for range 40 {
			b.a.byID["d"].ratio = tc.ratio // at 10 its mean is twice the aim
			for _, x := range of[Send](b.query("c", 0, 1, 2, 3)) {
				sent += int(Bool(x.Replica == "d"))
				b.step(0, ended(x.Part, 0, x.Replica, Served, 400*ms))
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("floor %v, ratio %v: %v of 40 parts sent to the crowded shard", tc.floor, tc.ratio, sent)
		}
	}
}

// The client counts from its own end of the way: an answer in part does not go out at the very aim.
func TestAnswerInPartIsNotLateOnItsWay(t *testing.T) {
	s := base()
	s.Classes[0].Floor = 0.5
	b := start(t, s, names("a", "b")...)
	b.a.hedges = 0
	acts := b.query("c", 0, 0)
	asked := b.now
	acts = b.step(5*ms, ended(of[Send](acts)[0].Part, 0, of[Send](acts)[0].Replica, Served, 5*ms))
	for len(of[Answer](acts)) == 0 && b.now < asked+3*sec {
		acts = b.step(5*ms, Woken{})
	}
	if got := b.now - asked; got > 2*sec-15*ms || got < 1900*ms {
		t.Errorf("answered in part after %v, the aim being 2 s", got)
	}
}

// Where copies are barred a trial is the part's own attempt: no more than an equal share of the parts are trials, none
// of a class that cannot miss a part where another can; an overdue one is called off, and its part goes elsewhere once
// that has ended, never before.
func TestTrialsWithoutCopies(t *testing.T) {
	s := base()
	s.SecondCopies = false
	s.Classes = append(s.Classes, Class{Name: "part", Aim: 2 * sec, Deadline: 6 * sec, Need: 1, Floor: 0.5})
	trials := map[string]int{}
	for _, class := range []string{"c", "part"} {
		b := start(t, s, names("a", "b", "c", "d")...)
		for range 200 {
			a := b.a.byID["a"]
			a.suspect, a.trialAt, a.out, b.a.trials = true, 0, nil, 1
			acts := b.query(class, 0)
			x := of[Send](acts)[0]
			if len(of[Send](acts)) != 1 {
				t.Fatalf("two attempts of one part at once: %v", acts)
			}
			if x.Replica != "a" {
				b.step(0, ended(x.Part, 0, x.Replica, Served, 50*ms))
				continue
			}
			if trials[class]++; trials[class] > 1 {
				b.step(0, QueryGone{ID: fmt.Sprint("q", b.n)}, ended(x.Part, 0, "a", Cancelled, ms))
				continue
			}
			sent := b.now
			for acts = nil; len(of[CallOff](acts)) == 0 && b.now < sent+1500*ms; {
				acts = b.step(5*ms, Woken{})
			}
			if len(of[CallOff](acts)) != 1 || len(of[Send](acts)) != 0 {
				t.Fatalf("an overdue trial: %v", acts)
			}
			if acts = b.step(20*ms, Woken{}); len(of[Send](acts))+len(of[CallOff](acts)) != 0 {
				t.Fatalf("sent again or called off twice before the attempt has ended: %v", acts)
			}
			acts = b.step(5*ms, ended(x.Part, 0, "a", Cancelled, b.now+5*ms-sent))
			if y := of[Send](acts); len(y) != 1 || y[0].Replica == "a" {
				t.Fatalf("after its end: %v", acts)
			}
			b.step(0, ended(x.Part, 1, of[Send](acts)[0].Replica, Served, 50*ms))
		}
	}
	if trials["c"] != 0 || trials["part"] < 20 || trials["part"] > 80 { // 50 by chance
		t.Errorf("trials by class: %v", trials)
	}
}

// A connection dropped for want of use resets the part sent on it, though its replica is well: it is back with the
// next part, not as a cold one, and later parts go out on fresh connections. A death stays a death.
func TestUnusedConnectionIsNotADeath(t *testing.T) {
	for name, lasts := range map[string]time.Duration{"connection lost": 0, "process died": 3 * sec} {
		s := base()
		s.Cold = Cold{Start: 0.2, WarmWithin: 10 * sec, Multiple: 3, Window: sec}
		b := start(t, s, names("a")...)
		serve := func(acts []Action) {
			for _, x := range of[Send](acts) {
				b.step(50*ms, ended(x.Part, 0, x.Replica, Served, 50*ms))
			}
		}
		serve(b.query("c", 0))
		b.now += 2 * sec
		x := of[Send](b.query("c", 0))[0]
		acts, no := b.step(5*ms, ended(x.Part, 0, "a", Reset, 5*ms)), 1
		for ; lasts > 0 && len(of[Send](acts)) > 0; no++ { // who died refuses the next connection
			acts = b.step(5*ms, ended(x.Part, no, "a", ConnectFailed, 5*ms))
		}
		b.now += lasts
		for range 60 { // until its part is sent again and served
			for _, x := range of[Send](acts) {
				b.step(50*ms, ended(x.Part, no, x.Replica, Served, 50*ms))
			}
			acts = b.step(20*ms, Woken{})
		}
		r := b.a.byID["a"]
		if well := r.ready() && b.a.ramp(r) == 1; well != (lasts == 0) {
			t.Errorf("%s: taken for well and warm: %v", name, well)
		}
		b.now += 3 * sec
		if fresh := len(of[Disconnect](b.query("c", 0))) == 1; fresh != (lasts == 0) {
			t.Errorf("%s: a fresh connection after 3 s without use: %v", name, fresh)
		}
	}
}

// Where copies are barred, an attempt that has taken ten times as long as usual is called off, and the part goes to
// another replica well before its aim. One that is merely slow is waited for, and so is one that may not run twice.
func TestLostAttemptIsReplaced(t *testing.T) {
	for _, tc := range []struct {
		repeat Repeat
		usual  time.Duration
		lost   bool
	}{{Free, 20 * ms, true}, {Free, 300 * ms, false}, {SingleShot, 20 * ms, false}} {
		s := base()
		s.SecondCopies = false
		s.Classes[0].Repeat = tc.repeat
		b := start(t, s, names("a", "b")...)
		for range 100 {
			b.step(20 * ms)
			for _, x := range of[Send](b.query("c", 0)) {
				b.step(tc.usual, ended(x.Part, 0, x.Replica, Served, tc.usual))
			}
		}
		first := of[Send](b.query("c", 0))[0]
		var again []Send
		var off []CallOff
		var after time.Duration
		for ; after < 1900*ms && len(off) == 0; after += 20 * ms {
			off = of[CallOff](b.step(20*ms, Woken{}))
		}
		if len(off) > 0 {
			again = of[Send](b.step(5*ms, ended(first.Part, 0, first.Replica, Cancelled, after)))
		}
		if lost := len(again) == 1 && again[0].Replica != first.Replica && after < sec; lost != tc.lost || !lost && len(off) > 0 {
			t.Errorf("%+v: called off %v after %v, then %v", tc, off, after, again)
		}
	}
}

// A broken connection resets all that was on it, but the process runs on: one such loss makes no suspect and no cold
// replica, and other queries go on at once. Two without an answer
// between them are more than bad luck.
func TestBrokenConnectionIsNotADeath(t *testing.T) {
	s := base()
	s.Cold = Cold{Start: 0.2, WarmWithin: 10 * sec, Multiple: 3, Window: sec}
	b := start(t, s, names("a", "b")...)
	first := of[Send](b.query("c", 0, 1, 2, 3))
	var events []Event
	for _, x := range first {
		if x.Replica == "a" {
			events = append(events, ended(x.Part, 0, "a", Reset, 5*ms))
		}
	}
	if len(events) < 2 {
		t.Fatalf("%d parts on one connection", len(events))
	}
	b.step(5*ms, events...)
	a := b.a.byID["a"]
	acts := b.query("c", 4, 5)
	if !a.ready() || len(of[Send](acts)) != 2 {
		t.Error("one broken connection makes a suspect, or holds other queries up")
	}
	resets := 0 // in a row
	for range 50 {
		for _, x := range of[Send](acts) {
			o := Served
			if resets > 0 && x.Replica == "a" {
				o = Reset
				resets++
			}
			b.step(5*ms, ended(x.Part, 0, x.Replica, o, 5*ms))
		}
		if resets == 0 && (!a.ready() || b.a.ramp(a) != 1 || a.restarted) {
			t.Error("one broken connection makes a suspect or a cold replica")
		}
		if resets = max(resets, 1); resets == 3 {
			break
		}
		acts = b.query("c", 0)
	}
	if a.ready() {
		t.Error("two in a row do not make a suspect")
	}
}

// As load rises, parts that bring little of a wide query's weight are not asked for; with little load all are, and
// parts of equal weight are never left out for it.
func TestLightPartsAreLeftOutUnderLoad(t *testing.T) {
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
		s.Classes[0].Floor = 0.6
		b := start(t, s, names("a", "b")...)
		b.a.classes[0].base = tc.base
		evs := []Event{QueryArrived{ID: "q", Number: 1, Class: "c", ValidUntil: b.now + 6*sec}}
		for i, w := range tc.weights {
			evs = append(evs, PartArrived{ID: fmt.Sprint("q.", i), Number: 1, Weight: w})
		}
		if got := len(of[Send](b.step(0, evs...))); got != tc.sent {
			t.Errorf("%s: %d parts sent, want %d", tc.name, got, tc.sent)
		}
	}
}

// A replica that is full again and again is let be for longer each time, up to an aim; one part served ends that.
func TestFullAgainAndAgain(t *testing.T) {
	b := start(t, base(), names("a")...)
	r := b.a.byID["a"]
	one := func(o Outcome) time.Duration {
		b.a.classes[0].base, r.ratio, b.now = 0.2, 1, max(b.now, r.fullUntil)+ms // no crowd is predicted
		x := of[Send](b.query("c", 0))[0]
		b.step(ms, ended(x.Part, 0, "a", o, ms), QueryGone{ID: fmt.Sprint("q", b.n)})
		return r.fullUntil - b.now
	}
	first, second, third := one(Full), one(Full), one(Full)
	if second <= first || third <= second {
		t.Errorf("waits %v, %v, %v do not grow", first, second, third)
	}
	for range 20 {
		if got := one(Full); got > 2*sec {
			t.Fatalf("waits %v", got)
		}
	}
	one(Served)
	if got := one(Full); got != first {
		t.Errorf("after a served part it waits %v, first %v", got, first)
	}
}

// A class too rare to have been measured does not hold cold replicas back: the measured ones tell what parts cost.
func TestRareClassDoesNotSetTheColdBudget(t *testing.T) {
	sent := map[bool]int{}
	for _, rare := range []bool{false, true} {
		s := base()
		s.Cold = Cold{Start: 0.2, WarmWithin: 100 * sec, Multiple: 3, Window: sec}
		if rare {
			s.Classes = append(s.Classes, Class{Name: "rare", Aim: 20 * sec, Deadline: 60 * sec, Need: 1, Floor: 1})
		}
		f := newFleet(t, s, "a")
		f.run(5*sec, 50*ms) // parts of the common class take 0.1 s
		f.step(0, ListReceived{Scope: ListChanges, Replicas: []Replica{{ID: "a", Since: f.now}}})
		f.clear()
		f.run(5*sec, 50*ms)
		sent[rare] = f.sent["a"]
	}
	if sent[true] < sent[false]*3/4 || sent[true] == 0 {
		t.Errorf("parts to the cold replica with a rare class beside: %d, without: %d", sent[true], sent[false])
	}
}

// A section whose only holder is a crowded suspect is refused early, so that what is let through is served in time: work
// that was sent cannot be taken back, and a queue longer than the aim serves nobody. On the operators' days with two nodes
// out by hand their neighbour was sent all, timed out on all, and served none in time for seven seconds. Of a holder that
// is merely silent nothing of the kind is known.
func TestCrowdedSuspectIsSpared(t *testing.T) {
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
		a.Step(now, []Event{ListReceived{Scope: ListFull, Replicas: []Replica{{ID: "r"}}}})
		sent := 0
		for i := range 40 {
			r := a.byID["r"]
			r.suspect, r.ratio, r.failing, r.trialAt = true, tc.ratio, tc.failing, now+sec
			now += sec / 10
			q := fmt.Sprint("q", i)
			for _, act := range a.Step(now, []Event{QueryArrived{ID: q, Number: int64(i), Class: "c", Parts: 1, ValidUntil: now + 5*sec},
				PartArrived{ID: q + ".0", Number: int64(i), Weight: 1}}) {
				if s, ok := act.(Send); ok {
					sent++
					a.Step(now, []Event{AttemptEnded{Part: s.Part, Replica: "r", Outcome: Cancelled}, QueryGone{ID: q}})
				}
			}
		}
		if sent < tc.least || sent > tc.most {
			t.Errorf("%s: %d of 40 sent, want %d to %d", tc.what, sent, tc.least, tc.most)
		}
	}
}
