package scatter

import (
	"fmt"
	"testing"
)

// Without hedged requests a probe is the part's own attempt. At most an equal share of the parts are probes, and none
// of a class that needs all parts if another class does not. An overdue probe is cancelled, and its part is sent
// elsewhere once the probe has ended, never before.
func TestProbesWithoutHedging(t *testing.T) {
	s := base()
	s.Hedging = false
	s.Classes = append(s.Classes,
		Class{Name: "part", LatencyObjective: 2 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 0.5})
	probes := map[string]int{}
	for _, class := range []string{"c", "part"} {
		h := start(t, s, names("a", "b", "c", "d")...)
		for range 200 {
			a := h.m.replicas.byID["a"]
			a.health.ejected, a.health.nextProbe, a.attempts, h.m.probes.tokens = true, 0, nil, 1
			acts := h.query(class, 0)
			x := of[Send](acts)[0]
			if len(of[Send](acts)) != 1 {
				t.Fatalf("got %v, want one attempt of the part", acts)
			}
			if x.Replica != "a" {
				h.step(0, ended(x.Part, 0, x.Replica, Succeeded, 50*ms))
				continue
			}
			if probes[class]++; probes[class] > 1 {
				h.step(0, QueryCancelled{ID: fmt.Sprint("q", h.n)}, ended(x.Part, 0, "a", Cancelled, ms))
				continue
			}
			sent := h.now
			for acts = nil; len(of[CancelAttempt](acts)) == 0 && h.now < sent+1500*ms; {
				acts = h.step(5*ms, TimerFired{})
			}
			if len(of[CancelAttempt](acts)) != 1 || len(of[Send](acts)) != 0 {
				t.Fatalf("for an overdue probe got %v, want only its cancellation", acts)
			}
			if acts = h.step(20*ms, TimerFired{}); len(of[Send](acts))+len(of[CancelAttempt](acts)) != 0 {
				t.Fatalf("before the cancelled probe has ended got %v, want no action on the part", acts)
			}
			acts = h.step(5*ms, ended(x.Part, 0, "a", Cancelled, h.now+5*ms-sent))
			if y := of[Send](acts); len(y) != 1 || y[0].Replica == "a" {
				t.Fatalf("after the probe has ended got %v, want one send to another replica", acts)
			}
			h.step(0, ended(x.Part, 1, of[Send](acts)[0].Replica, Succeeded, 50*ms))
		}
	}
	if probes["c"] != 0 || probes["part"] < 20 || probes["part"] > 80 { // 50 expected
		t.Errorf("probes by class: %v, want none of c and 20 to 80 of part", probes)
	}
}
