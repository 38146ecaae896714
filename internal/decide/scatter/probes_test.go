package scatter

import (
	"fmt"
	"testing"
)

// Without hedged requests a probe is the part's own attempt: no more than an equal share of the parts are probes,
// none of a class that cannot miss a part where another can; an overdue one is cancelled, and its part goes elsewhere
// once that has ended, never before.
func TestProbesWithoutHedging(t *testing.T) {
	s := base()
	s.Hedging = false
	s.Classes = append(s.Classes, Class{Name: "part", LatencyObjective: 2 * sec, Deadline: 6 * sec, CompleteFraction: 1, MinFraction: 0.5})
	trials := map[string]int{}
	for _, class := range []string{"c", "part"} {
		b := start(t, s, names("a", "b", "c", "d")...)
		for range 200 {
			a := b.m.replicas.byID["a"]
			a.health.ejected, a.health.nextProbe, a.attempts, b.m.probes.tokens = true, 0, nil, 1
			acts := b.query(class, 0)
			x := of[Send](acts)[0]
			if len(of[Send](acts)) != 1 {
				t.Fatalf("two attempts of one part at once: %v", acts)
			}
			if x.Replica != "a" {
				b.step(0, ended(x.Part, 0, x.Replica, Succeeded, 50*ms))
				continue
			}
			if trials[class]++; trials[class] > 1 {
				b.step(0, QueryCancelled{ID: fmt.Sprint("q", b.n)}, ended(x.Part, 0, "a", Cancelled, ms))
				continue
			}
			sent := b.now
			for acts = nil; len(of[CancelAttempt](acts)) == 0 && b.now < sent+1500*ms; {
				acts = b.step(5*ms, TimerFired{})
			}
			if len(of[CancelAttempt](acts)) != 1 || len(of[Send](acts)) != 0 {
				t.Fatalf("an overdue trial: %v", acts)
			}
			if acts = b.step(20*ms, TimerFired{}); len(of[Send](acts))+len(of[CancelAttempt](acts)) != 0 {
				t.Fatalf("sent again or called off twice before the attempt has ended: %v", acts)
			}
			acts = b.step(5*ms, ended(x.Part, 0, "a", Cancelled, b.now+5*ms-sent))
			if y := of[Send](acts); len(y) != 1 || y[0].Replica == "a" {
				t.Fatalf("after its end: %v", acts)
			}
			b.step(0, ended(x.Part, 1, of[Send](acts)[0].Replica, Succeeded, 50*ms))
		}
	}
	if trials["c"] != 0 || trials["part"] < 20 || trials["part"] > 80 { // 50 by chance
		t.Errorf("trials by class: %v", trials)
	}
}
