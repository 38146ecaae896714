package scatter

import (
	"math"
	"testing"
)

// In 4,000 draws, four standard deviations of a share of 0.3 are 0.029.
func TestDrawsFollowTheShares(t *testing.T) {
	h := start(t, base(), names("a", "b", "c", "d")...)
	for i, v := range []float64{1, 2, 3, 3.5} {
		h.m.replicas.all[i].latencyRatio = v
	}
	h.m.shares.dirty = true
	sh := h.m.shardOf(0)
	h.m.computeShares(sh, h.m.currentBasis())
	got := map[string]float64{}
	for range 4000 {
		q := &query{class: h.m.classes.list[0], draws: map[*replica]float64{}}
		r := h.m.drawReplica(&part{query: q}, sh, (*replica).usable)
		got[r.ID] += 1.0 / 4000
	}
	for i, r := range sh.readyHolders {
		if want := sh.shares[0][i]; math.Abs(got[r.ID]-want) > 0.03 {
			t.Errorf("%s drawn %.3f of the time, share %.3f", r.ID, got[r.ID], want)
		}
	}
}

func TestPicksReplicaWithFewestCalls(t *testing.T) {
	h := start(t, base(), names("a", "b")...)
	first := of[Send](h.query("c", 0))[0].Replica
	second := of[Send](h.query("c", 0))[0].Replica
	if first == second {
		t.Errorf("both parts were sent to %s although its sibling was idle", first)
	}
}

func TestPartsOfOneQueryShareACall(t *testing.T) {
	s := base()
	s.PartsPerCall = 8
	h := start(t, s, names("a", "b", "c")...)
	sends := of[Send](h.query("c", 0, 1, 2, 3))
	for _, x := range sends {
		if x.Replica != sends[0].Replica {
			t.Errorf("part %s was sent to %s, part %s to %s", x.Part, x.Replica, sends[0].Part, sends[0].Replica)
		}
	}
	if n := h.m.replicas.byID[sends[0].Replica].openCalls; n != 1 {
		t.Errorf("%d outstanding calls, want 1", n)
	}
}

// An error loses a part that may not run twice for good. So for a while after an error its replica gets no such parts
// if another replica can take them; parts that may run again are still sent there. If all replicas have errors, parts
// are sent anyway.
func TestDistrustAfterAnError(t *testing.T) {
	h := startNonIdempotent(t)
	to := func(class string) map[string]int {
		got := map[string]int{}
		for range 60 {
			h.step(20 * ms)
			for _, snd := range of[Send](h.query(class, 0)) {
				got[snd.Replica]++
				h.step(10*ms, ended(snd.Part, 0, snd.Replica, Succeeded, 10*ms))
			}
		}
		return got
	}
	fail := func(replica string) {
		for {
			snd := of[Send](h.query("c", 0))[0]
			if snd.Replica != replica {
				h.step(ms, ended(snd.Part, 0, snd.Replica, Succeeded, 10*ms))
				continue
			}
			for _, again := range of[Send](h.step(ms, ended(snd.Part, 0, replica, Errored, ms))) {
				h.step(ms, ended(again.Part, 1, again.Replica, Succeeded, 10*ms))
			}
			return
		}
	}
	fail("r1")
	if got := to("once"); got["r1"] > 0 || got["r2"] == 0 {
		t.Errorf("soon after an error, parts that may not run twice were sent to %v", got)
	}
	h.step(sec)
	if got := to("c"); got["r1"] == 0 {
		t.Errorf("parts that may run again were sent to %v", got)
	}
	fail("r2")
	fail("r1")
	if got := to("once"); got["r1"]+got["r2"] == 0 {
		t.Error("after errors at all replicas no part is sent")
	}
	h.step(scale(2*sec, distrustFor))
	if got := to("once"); got["r1"] == 0 || got["r2"] == 0 {
		t.Errorf("long after the error, parts were sent to %v", got)
	}
}

// A replica leaves the parts of one class unanswered and serves the others. While it keeps a part that may not run
// twice, it gets no more parts of that class, nor for long after the part is given up, longer each time.
func TestDistrustAfterSilence(t *testing.T) {
	h := startNonIdempotent(t)
	went := map[string]int{}
	other := map[string]int{}
	var kept []Send            // parts that r1 keeps
	round := func(keep bool) { // a query of each class at once, so that neither replica is always the busier one
		h.step(20 * ms)
		others := of[Send](h.query("c", 0, 1, 2))
		for _, snd := range of[Send](h.query("once", 0)) {
			went[snd.Replica]++
			if keep && snd.Replica == "r1" {
				kept = append(kept, snd)
			} else {
				h.step(ms, ended(snd.Part, 0, snd.Replica, Succeeded, 10*ms))
			}
		}
		for _, snd := range others {
			other[snd.Replica]++
			h.step(ms, ended(snd.Part, 0, snd.Replica, Succeeded, 10*ms))
		}
	}
	for len(kept) == 0 {
		round(true)
	}
	for range 40 {
		round(false)
	}
	clear(went)
	clear(other)
	for range 20 {
		round(true)
	}
	if went["r1"] > 0 || went["r2"] == 0 || other["r1"] == 0 {
		t.Errorf("while a part is kept, its class was sent to %v, the other one to %v", went, other)
	}
	h.step(0, ended(kept[0].Part, 0, "r1", TimedOut, 2*sec))
	for range 100 {
		round(true)
	}
	if went["r1"] > 0 || other["r1"] == 0 {
		t.Errorf("soon after the part was given up, its class was sent to %v, the other one to %v", went, other)
	}
	h.step(scale(2*sec, 2*distrustFor))
	for range 40 {
		round(false)
	}
	if went["r1"] == 0 {
		t.Errorf("long after, the class was sent to %v", went)
	}
}
