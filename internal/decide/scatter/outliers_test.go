package scatter

import (
	"fmt"
	"testing"
	"time"
)

// One of four replicas shows a fault; the others carry the traffic, and it is reinstated when it has recovered.
func TestFaultyReplicaIsEjectedAndReinstated(t *testing.T) {
	for name, fall := range map[string]func(*replicaFleet){
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
			f.service["a"], f.failures["a"] = 100*ms, Succeeded
			f.run(15*sec, 50*ms)
			f.clear()
			f.run(10*sec, 50*ms)
			if got := f.share("a"); got < 0.1 {
				t.Errorf("well again, it gets %.2f of the sends", got)
			}
		})
	}
}

// A replica that serves well for half a second in every two gets no more than probes.
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
		t.Errorf("it gets %.2f of the sends", got)
	}
	if f.ends["answered"] < 230 {
		t.Errorf("answers: %v", f.ends)
	}
}

// All replicas slow at once is load: none is ejected, and hedged requests stay within their share.
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
		t.Errorf("%d sends for %d parts", all, first)
	}
}

// A stall of one replica for 300 ms ejects nobody.
func TestBriefStallEjectsNobody(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 50*ms)
	f.service["a"] = 400 * ms
	f.run(300*ms, 50*ms)
	f.service["a"] = 100 * ms
	f.run(sec, 50*ms)
	if f.m.replicas.byID["a"].health.ejected {
		t.Error("it is ejected")
	}
}

// Every holder shows faults at once, as in a network cut or a restart of the fleet: they are still tried, and when
// they answer again so does the coordinator.
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
			t.Errorf("%s: not tried any more: %v", name, f.sent)
		}
		for _, id := range []string{"a", "b"} {
			f.service[id], f.failures[id] = 100*ms, Succeeded
		}
		f.run(5*sec, 100*ms)
		f.clear()
		f.run(5*sec, 100*ms)
		if f.ends["answered"] < 48 {
			t.Errorf("%s: after its end %v", name, f.ends)
		}
	}
}

// The coordinator stands still for two seconds: what then arrives late says nothing of the replicas.
func TestStalledCoordinatorEjectsNobody(t *testing.T) {
	f := newReplicaFleet(t, base(), "a", "b", "c", "d")
	f.run(5*sec, 20*ms)
	before := fmt.Sprint(f.m.replicas.byID["a"].health.ejected)
	f.now += 1900 * ms
	f.clear()
	f.run(2*sec, 20*ms)
	for _, r := range f.m.replicas.all {
		if r.health.ejected || r.latencyRatio > 3 {
			t.Errorf("%s: ejected %v (%s before), ratio %.2f", r.ID, r.health.ejected, before, r.latencyRatio)
		}
	}
	if f.ends["rejected"] > 5 {
		t.Errorf("rejected %d queries", f.ends["rejected"])
	}
}

// One class fails at a replica that serves the other: the class is excluded there for a while and tried again later,
// and the other class goes on there.
func TestFailingClassIsExcludedAlone(t *testing.T) {
	s := base()
	s.Classes = append(s.Classes,
		Class{Name: "d", LatencyObjective: 2 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 1})
	for name, o := range map[string]Outcome{"silence": TimedOut, "errors": Errored} {
		h := start(t, s, names("a", "b")...)
		a, c, d := h.m.replicas.byID["a"], h.m.classes.list[0], h.m.classes.list[1]
		for range 2 { // each time the other class is served while the failing part is out
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
			t.Errorf("%s: it got %d of the failing class and %d of the other", name, bad, good)
		}
		h.step(10*sec, TimerFired{})
		if n := count("d"); n < 5 {
			t.Errorf("%s: later it got %d of the class", name, n)
		}
	}
}

// A connection dropped for want of use resets the part sent on it, though its replica is well: the replica is
// reinstated with the next part, not in slow start, and later parts go out on fresh connections. The end of a process
// stays one.
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
		for ; lasts > 0 && len(of[Send](acts)) > 0; no++ { // who died refuses the next connection
			acts = h.step(5*ms, ended(x.Part, no, "a", ConnectFailed, 5*ms))
		}
		h.now += lasts
		for range 60 { // until its part is sent again and served
			for _, x := range of[Send](acts) {
				h.step(50*ms, ended(x.Part, no, x.Replica, Succeeded, 50*ms))
			}
			acts = h.step(20*ms, TimerFired{})
		}
		r := h.m.replicas.byID["a"]
		if well := r.usable() && h.m.capacityFraction(r, h.m.now) == 1; well != (lasts == 0) {
			t.Errorf("%s: taken for well and warmed up: %v", name, well)
		}
		h.now += 3 * sec
		if fresh := len(of[CloseIdleConnections](h.query("c", 0))) == 1; fresh != (lasts == 0) {
			t.Errorf("%s: a fresh connection after 3 s without use: %v", name, fresh)
		}
	}
}

// A broken connection resets all that was on it, but the process runs on: one such loss neither ejects a replica nor
// starts its slow start, and other queries go on at once. Two without an answer between them are more than bad luck.
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
		t.Fatalf("%d parts on one connection", len(events))
	}
	h.step(5*ms, events...)
	a := h.m.replicas.byID["a"]
	acts := h.query("c", 4, 5)
	if !a.usable() || len(of[Send](acts)) != 2 {
		t.Error("one broken connection ejects a replica, or holds other queries up")
	}
	resets := 0 // in a row
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
		t.Error("two in a row do not eject the replica")
	}
}

// A replica that rejects again and again is left alone for longer each time, up to an objective; one part served ends
// that.
func TestRejectionPauseGrows(t *testing.T) {
	h := start(t, base(), names("a")...)
	r := h.m.replicas.byID["a"]
	one := func(o Outcome) time.Duration {
		h.m.classes.list[0].meanLatency, r.latencyRatio = 0.2, 1 // no crowd is predicted
		h.now = max(h.now, r.health.rejectingUntil) + ms
		x := of[Send](h.query("c", 0))[0]
		h.step(ms, ended(x.Part, 0, "a", o, ms), QueryCancelled{ID: fmt.Sprint("q", h.n)})
		return r.health.rejectingUntil - h.now
	}
	first, second, third := one(Rejected), one(Rejected), one(Rejected)
	if second <= first || third <= second {
		t.Errorf("waits %v, %v, %v do not grow", first, second, third)
	}
	for range 20 {
		if got := one(Rejected); got > 2*sec {
			t.Fatalf("waits %v", got)
		}
	}
	one(Succeeded)
	if got := one(Rejected); got != first {
		t.Errorf("after a served part it waits %v, first %v", got, first)
	}
}
