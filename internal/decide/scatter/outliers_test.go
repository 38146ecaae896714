package scatter

import (
	"fmt"
	"testing"
	"time"
)

// One of four replicas shows a fault. The others carry the traffic, and the replica is reinstated after its recovery.
func TestFaultyReplicaIsEjectedAndReinstated(t *testing.T) {
	for name, inject := range map[string]func(*replicaFleet){
		"silent":           func(f *replicaFleet) { f.service["a"] = -1 },
		"ten times slower": func(f *replicaFleet) { f.service["a"] = 1000 * ms },
		"refuses connections": func(f *replicaFleet) {
			f.service["a"], f.failures["a"] = ms, ConnectFailed
		},
		"unreachable":    func(f *replicaFleet) { f.service["a"], f.failures["a"] = 250*ms, ConnectFailed },
		"answers errors": func(f *replicaFleet) { f.service["a"], f.failures["a"] = ms, Errored },
		"resets":         func(f *replicaFleet) { f.service["a"], f.failures["a"] = ms, ConnectionReset },
		"is always full": func(f *replicaFleet) { f.service["a"], f.failures["a"] = ms, Rejected },
	} {
		t.Run(name, func(t *testing.T) {
			f := newReplicaFleet(t, base(), "a", "b", "c", "d")
			f.run(5*sec, 50*ms)
			inject(f)
			f.run(2*sec, 50*ms) // time to detect the fault
			f.clear()
			f.run(10*sec, 50*ms)
			if got := f.share("a"); got > 0.15 { // an equal share is 0.25
				t.Errorf("the faulty replica still gets %.2f of the sends", got)
			}
			if n := f.ends["answered"]; n < 190 {
				t.Errorf("%d of 200 queries answered: %v", n, f.ends)
			}
			f.service["a"], f.failures["a"] = 100*ms, Succeeded
			f.run(15*sec, 50*ms)
			f.clear()
			f.run(10*sec, 50*ms)
			if got := f.share("a"); got < 0.1 {
				t.Errorf("after its recovery the replica gets only %.2f of the sends", got)
			}
		})
	}
}

// A replica that serves well for half a second out of every two gets only probes.
func TestFlappingReplicaStaysEjected(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	f.clear()
	for range 6 {
		f.service["a"], f.failures["a"] = ms, ConnectionReset
		f.run(1500*ms, 50*ms)
		f.service["a"], f.failures["a"] = 100*ms, Succeeded
		f.run(500*ms, 50*ms)
	}
	if got := f.share("a"); got > 0.15 {
		t.Errorf("the flapping replica gets %.2f of the sends", got)
	}
	if f.ends["answered"] < 230 {
		t.Errorf("too few answers: %v", f.ends)
	}
}

// If all replicas are slow at once, that is load: none is ejected, and hedged requests stay within their share.
func TestCommonSlownessIsLoad(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	for id := range f.service {
		f.service[id] = 1200 * ms
	}
	f.clear()
	f.run(10*sec, 50*ms)
	for _, r := range f.m.replicas.all {
		if r.health.ejected {
			t.Errorf("%s is ejected", r.ID)
		}
	}
	first, all := 0, 0
	for _, n := range f.sent {
		all += n
	}
	for range f.attempts {
		first++
	}
	if limit := float64(first)*(1+hedgeShare) + maxSavedHedges; float64(all) > limit {
		t.Errorf("%d sends for %d parts exceed the share of hedged requests", all, first)
	}
}

// A stall of one replica for 300 ms ejects no replica.
func TestBriefStallEjectsNobody(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	f.service["a"] = 400 * ms
	f.run(300*ms, 50*ms)
	f.service["a"] = 100 * ms
	f.run(sec, 50*ms)
	if f.m.replicas.byID["a"].health.ejected {
		t.Error("the replica is ejected after a brief stall")
	}
}

// Every holder shows faults at once, as in a network partition or a restart of the fleet. The holders are still tried,
// and when they serve again, the coordinator answers again.
func TestEjectionNeverEmptiesTheChoice(t *testing.T) {
	for name, o := range map[string]Outcome{"no connection": ConnectFailed, "errors": Errored, "resets": ConnectionReset} {
		f := newReplicaFleet(t, base(), "a", "b")
		for _, id := range []string{"a", "b"} {
			f.service[id], f.failures[id] = ms, o
		}
		f.run(5*sec, 100*ms)
		f.clear()
		f.run(5*sec, 100*ms)
		if f.sent["a"] == 0 || f.sent["b"] == 0 {
			t.Errorf("%s: a replica is no longer tried: %v", name, f.sent)
		}
		for _, id := range []string{"a", "b"} {
			f.service[id], f.failures[id] = 100*ms, Succeeded
		}
		f.run(5*sec, 100*ms)
		f.clear()
		f.run(5*sec, 100*ms)
		if f.ends["answered"] < 48 {
			t.Errorf("%s: too few answers after the fault: %v", name, f.ends)
		}
	}
}

// The coordinator is stalled for two seconds: outcomes that arrive late because of this are no evidence against the
// replicas.
func TestStalledCoordinatorEjectsNobody(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 20*ms)
	before := fmt.Sprint(f.m.replicas.byID["a"].health.ejected)
	f.now += 1900 * ms
	f.clear()
	f.run(2*sec, 20*ms)
	for _, r := range f.m.replicas.all {
		if r.health.ejected || r.latencyRatio > 3 {
			t.Errorf("%s: ejected %v (%s before the stall), ratio %.2f", r.ID, r.health.ejected, before, r.latencyRatio)
		}
	}
	if f.ends["rejected"] > 5 {
		t.Errorf("%d queries rejected after the stall", f.ends["rejected"])
	}
}

// One class fails at a replica that serves the other. The class is excluded there for a while and tried again later,
// and the other class is still sent there.
func TestFailingClassIsExcludedAlone(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes,
		Class{Name: "d", LatencyObjective: 2 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 1})
	for name, o := range map[string]Outcome{"silence": TimedOut, "errors": Errored} {
		h := start(t, s, names("a", "b")...)
		a, c, d := h.m.replicas.byID["a"], h.m.classes.list[0], h.m.classes.list[1]
		for range 2 { // the other class is served in between
			at := &attempt{part: &part{query: &query{class: d}}, replica: a, sentAt: h.now}
			h.step(sec, TimerFired{})
			h.m.recordOutcome(a, c, &attempt{part: &part{query: &query{class: c}}, replica: a, sentAt: h.now},
				ended("", 0, "a", Succeeded, 100*ms))
			h.step(sec, TimerFired{})
			h.m.recordOutcome(a, d, at, ended("", 0, "a", o, 2*sec))
		}
		if a.health.ejected {
			t.Errorf("%s: the replica is ejected", name)
		}
		count := func(class string) (n int) {
			for range 40 {
				for _, x := range of[Send](h.query(class, 0)) {
					if x.Replica == "a" {
						n++
					}
					h.step(ms, ended(x.Part, 0, x.Replica, Succeeded, ms))
				}
			}
			return n
		}
		if bad, good := count("d"), count("c"); bad > 0 || good < 5 {
			t.Errorf("%s: the replica got %d parts of the failing class and %d of the other", name, bad, good)
		}
		h.step(10*sec, TimerFired{})
		if n := count("d"); n < 5 {
			t.Errorf("%s: later the replica got only %d parts of the class", name, n)
		}
	}
}

// A connection that was dropped because it was unused resets the part sent on it, although its replica is sound. The
// replica is reinstated with the next part and without slow start, and later parts use new connections. The end of a
// process still counts as a restart.
func TestIdleConnectionLossIsNoRestart(t *testing.T) {
	for name, lasts := range map[string]time.Duration{"connection lost": 0, "process died": 3 * sec} {
		s := base()
		s.SlowStart = SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 3, Window: sec}
		h := start(t, s, names("a")...)
		serve := func(acts []Action) {
			for _, x := range of[Send](acts) {
				h.step(50*ms, ended(x.Part, 0, x.Replica, Succeeded, 50*ms))
			}
		}
		serve(h.query("c", 0))
		h.now += 2 * sec
		x := of[Send](h.query("c", 0))[0]
		acts, no := h.step(5*ms, ended(x.Part, 0, "a", ConnectionReset, 5*ms)), 1
		for ; lasts > 0 && len(of[Send](acts)) > 0; no++ { // a process that has ended refuses the next connection
			acts = h.step(5*ms, ended(x.Part, no, "a", ConnectFailed, 5*ms))
		}
		h.now += lasts
		for range 60 { // until the part is sent again and served
			for _, x := range of[Send](acts) {
				h.step(50*ms, ended(x.Part, no, x.Replica, Succeeded, 50*ms))
			}
			acts = h.step(20*ms, TimerFired{})
		}
		r := h.m.replicas.byID["a"]
		if well := r.usable() && h.m.capacityFraction(r, h.m.now) == 1; well != (lasts == 0) {
			t.Errorf("%s: usable and warmed up: %v", name, well)
		}
		h.now += 3 * sec
		if fresh := len(of[CloseIdleConnections](h.query("c", 0))) == 1; fresh != (lasts == 0) {
			t.Errorf("%s: new connection after 3 s without use: %v", name, fresh)
		}
	}
}

// A broken connection resets all attempts on it, but the process still runs. One such loss neither ejects a replica nor
// starts its slow start, and other queries are sent at once. Two losses without an answer between them eject it.
func TestBrokenConnectionIsNoRestart(t *testing.T) {
	s := base()
	s.SlowStart = SlowStart{InitialCapacity: 0.2, Duration: 10 * sec, OverloadFactor: 3, Window: sec}
	h := start(t, s, names("a", "b")...)
	first := of[Send](h.query("c", 0, 1, 2, 3))
	var events []Event
	for _, x := range first {
		if x.Replica == "a" {
			events = append(events, ended(x.Part, 0, "a", ConnectionReset, 5*ms))
		}
	}
	if len(events) < 2 {
		t.Fatalf("%d parts on one connection, want at least 2", len(events))
	}
	h.step(5*ms, events...)
	a := h.m.replicas.byID["a"]
	acts := h.query("c", 4, 5)
	if !a.usable() || len(of[Send](acts)) != 2 {
		t.Error("one broken connection ejects a replica or delays other queries")
	}
	resets := 0 // resets in a row
	for range 50 {
		for _, x := range of[Send](acts) {
			o := Succeeded
			if resets > 0 && x.Replica == "a" {
				o = ConnectionReset
				resets++
			}
			h.step(5*ms, ended(x.Part, 0, x.Replica, o, 5*ms))
		}
		if resets == 0 && (!a.usable() || h.m.capacityFraction(a, h.m.now) != 1 || a.health.mayHaveRestarted) {
			t.Error("one broken connection ejects a replica or starts its slow start")
		}
		if resets = max(resets, 1); resets == 3 {
			break
		}
		acts = h.query("c", 0)
	}
	if a.usable() {
		t.Error("two broken connections in a row do not eject the replica")
	}
}

// A replica that rejects repeatedly gets no parts for longer each time, up to one latency objective. One served part
// resets the backoff.
func TestRejectionPauseGrows(t *testing.T) {
	h := start(t, base(), names("a")...)
	r := h.m.replicas.byID["a"]
	one := func(o Outcome) time.Duration {
		h.m.classes.list[0].meanLatency, r.latencyRatio = 0.2, 1 // no load is predicted
		h.now = max(h.now, r.health.rejectingUntil) + ms
		x := of[Send](h.query("c", 0))[0]
		h.step(ms, ended(x.Part, 0, "a", o, ms), QueryCancelled{ID: fmt.Sprint("q", h.n)})
		return r.health.rejectingUntil - h.now
	}
	first, second, third := one(Rejected), one(Rejected), one(Rejected)
	if second <= first || third <= second {
		t.Errorf("backoffs %v, %v, %v do not grow", first, second, third)
	}
	for range 20 {
		if got := one(Rejected); got > 2*sec {
			t.Fatalf("backoff %v exceeds the objective", got)
		}
	}
	one(Succeeded)
	if got := one(Rejected); got != first {
		t.Errorf("backoff after a served part %v, want %v as at first", got, first)
	}
}
