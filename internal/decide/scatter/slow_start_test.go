package scatter

import (
	"fmt"
	"testing"
	"time"
)

// All coordinators together send a replica in slow start no more than it can serve, for any demand, settings and number
// of coordinators. Ten fleets of coordinators average out the random start of each coordinator's budget.
func TestSlowStartKeepsItsBudget(t *testing.T) {
	t.Parallel()
	for name, before := range map[string]func(*harness){
		"announced": func(*harness) {},
		"restarted under its id": func(h *harness) {
			h.m.replicas.byID["starting"].slowStart.from = 0
			h.step(0, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{{ID: "starting", StartedAt: 100*sec + 1}}})
		},
		"restarted again and again": func(h *harness) {
			for i := range time.Duration(5) {
				restarted := Replica{ID: "starting", StartedAt: 100*sec + 1 + i*ms}
				h.step(ms, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{restarted}})
			}
		},
		"returned without notice": func(h *harness) {
			r := h.m.replicas.byID["starting"]
			r.slowStart.from, r.health.mayHaveRestarted = 0, true
			h.m.reinstate(r)
		},
	} {
		for _, slowStart := range []SlowStart{
			{InitialCapacity: 0.15, Duration: 16 * sec, OverloadFactor: 4, Window: sec},
			{InitialCapacity: 0.15, Duration: 18 * sec, OverloadFactor: 2, Window: 2 * sec},
			{InitialCapacity: 0.25, Duration: 14 * sec, OverloadFactor: 2.5, Window: sec},
		} {
			t.Run(fmt.Sprintf("%s, multiple %.1f", name, slowStart.OverloadFactor), func(t *testing.T) {
				t.Parallel()
				const fleets = 10
				coordinators := map[float64]int{4: 90, 2: 40, 2.5: 14}[slowStart.OverloadFactor]
				if name == "announced" {
					coordinators = map[float64]int{4: 30, 2: 76, 2.5: 1}[slowStart.OverloadFactor]
				}
				s := base()
				s.Coordinators, s.SlowStart = coordinators, slowStart
				sent := 0
				for seed := range uint64(fleets * coordinators) {
					a, err := New(seed, s)
					if err != nil {
						t.Fatal(err)
					}
					h := &harness{t: t, m: a, now: 100 * sec}
					h.step(0, EndpointUpdate{Kind: FullUpdate, Replicas: []Replica{{ID: "starting", StartedAt: 100 * sec}}})
					before(h)
					for range int(slowStart.Window / (50 * ms)) { // demand far beyond any capacity, for a window
						sent += len(of[Send](h.query("c", 0, 1, 2, 3)))
						sent += len(of[Send](h.step(50*ms, TimerFired{})))
					}
				}
				// A replica with one core, at the initial mean of 0.4 s per part and the capacity at the end of the
				// window.
				first, window := slowStart.InitialCapacity, slowStart.Window.Seconds()
				ramp := first + (1-first)*window/slowStart.Duration.Seconds()
				most := fleets * slowStart.OverloadFactor * ramp * window / 0.4
				if sent < fleets || float64(sent) > most {
					t.Errorf("%s, %d coordinators, factor %.1f: %d parts in the first window of %d starts, at most %.0f",
						name, coordinators, slowStart.OverloadFactor, sent, fleets, most)
				}
			})
		}
	}
}

// A class too rare to have samples does not restrict replicas in slow start: the minimum time of a part is taken from
// the classes that have samples.
func TestRareClassDoesNotSetTheSlowStartBudget(t *testing.T) {
	sent := map[bool]int{}
	for _, rare := range []bool{false, true} {
		s := base()
		s.SlowStart = SlowStart{InitialCapacity: 0.2, Duration: 100 * sec, OverloadFactor: 3, Window: sec}
		if rare {
			s.Classes = append(s.Classes,
				Class{Name: "rare", LatencyObjective: 20 * sec, Deadline: 60 * sec, CompleteFraction: 1, MinFraction: 1})
		}
		f := newReplicaFleet(t, s, "a")
		f.run(5*sec, 50*ms) // parts of the common class take 0.1 s
		f.step(0, EndpointUpdate{Kind: IncrementalUpdate, Replicas: []Replica{{ID: "a", StartedAt: f.now}}})
		f.clear()
		f.run(5*sec, 50*ms)
		sent[rare] = f.sent["a"]
	}
	if sent[true] < sent[false]*3/4 || sent[true] == 0 {
		t.Errorf("%d parts to the replica in slow start with a rare class, %d without", sent[true], sent[false])
	}
}
