package backoff

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

type call struct {
	at  time.Duration
	who int
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any          { old := *c; x := old[len(old)-1]; *c = old[:len(old)-1]; return x }

// play lets a fleet ask for its list in one instant, at a service that takes calls in turn, fails what has waited
// for two seconds, spends its time on that all the same, and is down until up.
func play(fleet int, cost, up time.Duration, first func(*Schedule) time.Duration, failed func(*Schedule, time.Duration) time.Duration) (made, had int, last time.Duration) {
	var paces []*Schedule
	var due calls
	for i := range fleet {
		paces = append(paces, &Schedule{FleetSize: fleet, Rand: rand.New(rand.NewPCG(uint64(i), 1))})
		heap.Push(&due, call{first(paces[i]), i})
	}
	free := up
	for len(due) > 0 && due[0].at < time.Minute {
		c := heap.Pop(&due).(call)
		made++
		took := time.Duration(0) // a service that is down answers at once
		if c.at >= up {
			begun := max(free, c.at)
			free = begun + cost
			if begun-c.at <= 2*time.Second {
				had, last = had+1, max(last, free)
				paces[c.who].Succeeded()
				continue
			}
			took = 2 * time.Second
		}
		heap.Push(&due, call{c.at + took + failed(paces[c.who], took), c.who})
	}
	return made, had, last
}

// The whole fleet has its list soon after a common start or failure, with few calls that fail; asked together, as
// before, those that wait too long keep the service busy for nothing, and nobody gets through any more.
func TestFleetHasItsList(t *testing.T) {
	paced := (*Schedule).FailureDelay
	for _, c := range []struct {
		fleet          int
		cost, up, late time.Duration
		calls          float64 // of the fleet
		had            int
	}{
		{80, 66 * time.Millisecond, 0, 8 * time.Second, 1.1, 80},
		{80, 100 * time.Millisecond, 0, 12 * time.Second, 1.2, 80},
		{80, 190 * time.Millisecond, 0, time.Minute, 4, 40}, // twice as dear as assumed: slow, but no jam
		{80, 66 * time.Millisecond, 8 * time.Second, 18 * time.Second, 4, 80},
		{300, 20 * time.Millisecond, 0, 31 * time.Second, 1.1, 300},
		{3, 66 * time.Millisecond, 0, time.Second, 1, 3},
	} {
		made, had, last := play(c.fleet, c.cost, c.up, (*Schedule).FirstDelay, paced)
		if had < c.had || last > c.late+2*time.Second || float64(made) > c.calls*float64(c.fleet) {
			t.Errorf("%d at %v: %d calls, %d had it, the last after %v", c.fleet, c.cost, made, had, last)
		}
	}
	at := func(*Schedule) time.Duration { return 0 }
	short := func(p *Schedule, _ time.Duration) time.Duration {
		return time.Duration((0.25 + 0.5*p.Rand.Float64()) * float64(time.Second))
	}
	if made, had, _ := play(80, 66*time.Millisecond, 0, at, short); had > 60 {
		t.Errorf("without pacing %d had it after %d calls: the service is no test", had, made)
	}
}

// One coordinator, or a few, wait for nobody; after a failure just long enough not to ask without end.
func TestFewDoNotWait(t *testing.T) {
	for fleet := range 5 {
		p := &Schedule{FleetSize: fleet, Rand: rand.New(rand.NewPCG(7, 7))}
		if d := p.FirstDelay(); d != 0 {
			t.Errorf("%d coordinators: the first waits %v", fleet, d)
		}
		if d := p.FailureDelay(0); d != again {
			t.Errorf("%d coordinators: after a failure %v", fleet, d)
		}
	}
}

// A process that has not asked is taken to know the list of some time ago, and has to have asked before: whatever the
// size of the fleet, its first call comes by half of that time, and none later than all of it after a failure. Nor may
// all of them come together for that.
func TestAsksBeforeItCountsAsTold(t *testing.T) {
	const told = 10 * time.Second
	for _, fleet := range []int{80, 300, 2000} {
		firsts := [10]int{}
		for i := range fleet {
			p := &Schedule{FleetSize: fleet, ListMaxAge: told, Rand: rand.New(rand.NewPCG(uint64(i), 2))}
			first := p.FirstDelay()
			if first >= told/2 {
				t.Fatalf("one of %d calls first after %v", fleet, first)
			}
			firsts[first*20/told]++
			for range 8 {
				if d := p.FailureDelay(2 * time.Second); d >= told {
					t.Fatalf("one of %d calls again after %v", fleet, d)
				}
			}
		}
		for i, n := range firsts {
			if n > fleet/5 {
				t.Errorf("%d of %d call first in tenth %d of the time: %v", n, fleet, i, firsts)
			}
		}
	}
	made, had, last := play(300, 10*time.Millisecond, 0, func(p *Schedule) time.Duration { p.ListMaxAge = told; return p.FirstDelay() },
		func(p *Schedule, took time.Duration) time.Duration { return p.FailureDelay(took) })
	if had != 300 || made > 310 || last > told/2+2*time.Second {
		t.Errorf("300: %d calls, %d had it, the last after %v", made, had, last)
	}
}

// Fleets of some twenty or thirty are all heard before what they missed binds, whatever failed: down until up, answers of 0.1 s a
// call, and calls that wait for two seconds fail and have cost their turn.
func TestSmallFleetsAreHeardInTime(t *testing.T) {
	for _, fleet := range []int{6, 20, 30} {
		for _, up := range []time.Duration{0, 3 * time.Second, 8 * time.Second} {
			_, had, last := play(fleet, 100*time.Millisecond, up, (*Schedule).WatchLostDelay, (*Schedule).FailureDelay)
			if had != fleet || last-up >= NotifiedAfter {
				t.Errorf("%d: %d had it, the last %v after discovery was back", fleet, had, last-up)
			}
		}
	}
}

// A watch that was lost, silently or not, says nothing of what discovery can take: whatever the size of the fleet it is opened
// anew within Spread, and not by all together.
func TestLostWatchIsOpenedAnew(t *testing.T) {
	for _, fleet := range []int{1, 80, 300} {
		p := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 3))}
		sum := time.Duration(0)
		for range 100 {
			d := p.WatchLostDelay()
			if sum += d; d >= MaxSpread {
				t.Fatalf("one of %d opens its watch %v later", fleet, d)
			}
		}
		if fleet >= 80 && sum < 30*MaxSpread {
			t.Errorf("one of %d waits %v in the mean: all come together", fleet, sum/100)
		}
	}
}

// The pieces of the time in which a change binds end inside it: of a watch that fell silent, and of calls that nobody answered.
func TestPiecesEndInTime(t *testing.T) {
	if sum := WatchHold + WatchSilence + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("a silent watch is heard of after %v", sum)
	}
	if sum := CallTimeout + MaxSpread + CallTimeout; sum >= NotifiedAfter {
		t.Errorf("the end of a silence is heard of after %v", sum)
	}
	if sum := movedAnswer + movedSpread + movedAnswer; sum >= NotifiedAfterReload {
		t.Errorf("a service that a reload names is heard of after %v", sum)
	}
	for _, fleet := range []int{1, 6, 20, 30} { // whom a service of 0.1 s a call can hear in time
		p := &Schedule{FleetSize: fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(uint64(fleet), 5))}
		for i := range 200 {
			if d := p.FailureDelay(time.Duration(i%3) * time.Second); d < again || d >= MaxSpread {
				t.Fatalf("one of %d asks again after %v", fleet, d)
			}
			p.ServiceChanged()
			if d := p.FailureDelay(p.CallTimeout()); p.CallTimeout() != movedAnswer || d >= movedSpread {
				t.Fatalf("one of %d waits %v for a service that a reload names and asks again after %v", fleet, p.CallTimeout(), d)
			}
			p.Succeeded()
		}
	}
}

// What a service lets wait is told nowhere: it is learned from the calls that it fails, and one of half the patience is not
// asked for as much at once. An agent of a coordinator's own is not waited for.
func TestLearnsThePatience(t *testing.T) {
	pause := func(p *Schedule) (most time.Duration) {
		for range 200 {
			most = max(most, p.FirstDelay())
		}
		return most
	}
	p := &Schedule{FleetSize: 20, Rand: rand.New(rand.NewPCG(1, 6))}
	assumed := pause(p)
	p.FailureDelay(400 * time.Millisecond)
	learned := pause(p)
	if learned <= assumed || learned-assumed > 500*time.Millisecond {
		t.Errorf("a service that fails calls after 0.4 s: 20 wait for up to %v, %v before", learned, assumed)
	}
	p.FailureDelay(2 * time.Second) // whatever made one wait longer
	p.FailureDelay(0)               // and one that it did not let wait at all
	if d := pause(p); d < learned*9/10 || d > learned*11/10 {
		t.Errorf("the lower patience is forgotten: %v, then %v", learned, d)
	}
	if p = (&Schedule{FleetSize: 300, Pushed: true, Rand: p.Rand}); p.FirstDelay() > 0 || p.WatchLostDelay() > 100*time.Millisecond || p.FailureDelay(time.Second) > 100*time.Millisecond || p.CallTimeout() > 300*time.Millisecond {
		t.Error("an agent of its own is waited for")
	}
}

// The incident of 2026-12-02: the list of one of 35 has been unconfirmed for 3.6 s when a call fails after 0.93 s. The next one
// has its answer before the list expires. Of a fleet that cannot all be heard in that time nobody hurries.
func TestAsksAgainBeforeTheListExpires(t *testing.T) {
	const took, left = 930 * time.Millisecond, 2400 * time.Millisecond
	for _, c := range []struct {
		fleet int
		most  time.Duration
	}{{3, left - took}, {35, left - took}, {60, left - took}, {300, time.Minute}} {
		latest, later := time.Duration(0), time.Duration(0)
		for seed := range uint64(200) {
			p := &Schedule{FleetSize: c.fleet, ListMaxAge: 10 * time.Second, Rand: rand.New(rand.NewPCG(seed, 7))}
			latest = max(latest, p.FailureDelayBeforeExpiry(took, left))
			p.FailureDelayBeforeExpiry(took, left)
			later = max(later, p.FailureDelayBeforeExpiry(took, left))
		}
		if latest > c.most || c.fleet == 300 && later < 2*left {
			t.Errorf("one of %d asks again up to %v later, and up to %v after two more failures", c.fleet, latest, later)
		}
	}
}
