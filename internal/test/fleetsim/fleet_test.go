package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"harepass/internal/decide/scatter"
)

// A fleet at half load grows from 120 to 130 coordinators, and a third of the old ones get the new fleet size two
// seconds before the others. The replicas must stay evenly loaded while the coordinators disagree about the size. Later
// all replicas restart at full load, and none may be overloaded while it warms up. Two simulations with the same seed
// must give the same counts.
func TestResizeAndRestartOverloadNoReplica(t *testing.T) {
	first := simulateResizeAndRestart(t, 3)
	if again := simulateResizeAndRestart(t, 3); again != first {
		t.Errorf("two simulations with seed 3 gave different counts: %s and %s", first, again)
	}
	if simulateResizeAndRestart(t, 4) == first {
		t.Error("seeds 3 and 4 gave the same counts, want different ones")
	}
}

// simulateResizeAndRestart returns all arrivals, and the attempts and the earned weight of the last measurement.
func simulateResizeAndRestart(t *testing.T, seed uint64) string {
	t.Helper()
	c := BusyConfig(120, 12, 1)
	c.KnowOrdinals, c.Seed, c.QueryRate = true, seed, c.QueryRate/2
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(3 * time.Second)
	f.BeginMeasurement()
	f.Run(2 * time.Second)
	if f.EarnedFraction() < 0.9 {
		t.Errorf("seed %d: earned fraction at half load is %.2f, want at least 0.9", seed, f.EarnedFraction())
	}
	for _, notified := range []int{40, 130} {
		if err := f.resize(130, notified); err != nil {
			t.Fatal(err)
		}
		f.BeginMeasurement()
		f.Run(2 * time.Second)
		var parts []float64
		for _, r := range f.Replicas {
			parts = append(parts, float64(r.Parts))
		}
		if largest, _ := Imbalance(parts); largest > 1.6 || f.EarnedFraction() < 0.9 {
			t.Errorf("seed %d, %d notified: busiest replica %.2f of the mean (at most 1.6), earned %.2f (at least 0.9)",
				seed, notified, largest, f.EarnedFraction())
		}
	}
	f.config.QueryRate *= 2 // full load, which warmed-up replicas can serve
	f.Run(2 * time.Second)
	for _, r := range f.Replicas {
		r.Restart(f.now)
	}
	f.PublishEndpointList()
	f.Run(2 * time.Second)
	worst := 0.0
	for _, r := range f.Replicas {
		worst = max(worst, r.OverloadRatio())
	}
	t.Logf("seed %d: highest pressure on a replica in slow start: %.2f", seed, worst)
	if worst > 1 {
		t.Errorf("seed %d: highest pressure on a replica in slow start is %.2f, want at most 1", seed, worst)
	}
	return fmt.Sprint(f.arrivals, f.measured.attempts, f.measured.earnedWeight)
}

// Five replicas restart, one after another or all at once. A third of the coordinators is notified 0.7 s after the
// others, and three coordinators have just restarted. The whole fleet must not send a replica in slow start more parts
// than it tolerates within its window. This must also hold with slow starts other than the default. A window counts
// only if more than two thirds of its parts came from notified coordinators.
func TestSlowStartBoundsTheWholeFleet(t *testing.T) {
	for _, slowStart := range []scatter.SlowStart{DefaultSlowStart,
		{InitialCapacity: 0.15, Duration: 16 * time.Second, OverloadFactor: 4, Window: time.Second},
		{InitialCapacity: 0.12, Duration: 22 * time.Second, OverloadFactor: 2, Window: 2 * time.Second},
		{InitialCapacity: 0.3, Duration: 9 * time.Second, OverloadFactor: 3, Window: 600 * time.Millisecond},
	} {
		for coordinators, together := range map[int]bool{20: false, 30: true} {
			worst := simulateSlowStarts(t, slowStart, coordinators, together)
			t.Logf("%+v, %d coordinators, all replicas at once: %t: highest load is %.2f of what a replica tolerates",
				slowStart, coordinators, together, worst)
			if worst > 1 {
				t.Errorf("%+v, %d coordinators, all at once: %t: a replica got %.2f of what it tolerates (at most 1)",
					slowStart, coordinators, together, worst)
			}
		}
	}
}

// simulateSlowStarts returns the most parts that a replica got within a window, as a share of what it tolerates.
func simulateSlowStarts(t *testing.T, slowStart scatter.SlowStart, coordinators int, together bool) (worst float64) {
	t.Helper()
	c := BusyConfig(coordinators, 12, 1)
	c.KnowOrdinals, c.SlowStart, c.Seed = true, slowStart, uint64(coordinators)
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(4 * time.Second)
	restarted := f.Replicas[:5] // neighbours on the ring, so several holders of a shard restart
	for i, r := range restarted {
		if r.Restart(f.now); together && i < len(restarted)-1 {
			continue
		}
		f.notifyThird(false)
		for _, number := range []int{1, coordinators / 2, coordinators - 1} {
			if err := f.restart(number); err != nil {
				t.Fatal(err)
			}
		}
		f.Run(700 * time.Millisecond)
		f.notifyThird(true)
		f.Run(time.Second)
	}
	f.Run(2 * slowStart.Window)
	for _, r := range restarted {
		worst = max(worst, r.worstWindow(slowStart.Window))
	}
	return worst
}

// notifyThird gives the endpoint list to every third coordinator if third is set, and otherwise to all the others.
func (f *Fleet) notifyThird(third bool) {
	for i, c := range f.coordinators {
		if (i%3 == 0) == third {
			f.step(c, f.endpointList())
		}
	}
}

// worstWindow returns the most parts that the replica got within a window of its slow start, as a share of what it
// tolerates. A window counts only if more than two thirds of its parts came from notified coordinators.
func (r *Replica) worstWindow(window time.Duration) (worst float64) {
	oldest, notified := 0, 0
	count := func(a warmingArrival, by int) {
		if a.notified {
			notified += by
		}
	}
	for i, a := range r.warmingArrivals {
		count(a, 1)
		for ; a.at-r.warmingArrivals[oldest].at > window; oldest++ {
			count(r.warmingArrivals[oldest], -1)
		}
		if parts := i - oldest + 1; notified*3 > parts*2 {
			worst = max(worst, float64(parts)/r.Tolerates(r.warmingArrivals[oldest].at))
		}
	}
	return worst
}
