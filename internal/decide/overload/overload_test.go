package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/test/loopsim"
)

const ms = time.Millisecond

// normal is the traffic of a site whose loop it keeps half busy: 380 queries a second of three classes and tenants.
const normal = 380.0

func config() overload.Config {
	rng := rand.New(rand.NewPCG(1, 2))
	return overload.Config{WaitTarget: 10 * ms, Cores: 1, MaxRetryAfter: 30 * time.Second, Rand: rng.Float64,
		Classes: []overload.Class{{Name: "route", PriorityWeight: 1, TypicalParts: 4}, {Name: "hazard", PriorityWeight: 2, TypicalParts: 1, NonIdempotent: true}, {Name: "summary", PriorityWeight: 3, TypicalParts: 12}},
		Tenants: []overload.Tenant{{Name: "kitakaze", Quota: 0.42 * normal * 1.1}, {Name: "shirakaba", Quota: 0.41 * normal * 1.1}, {Name: "momiji", Quota: 0.17 * normal * 1.1}}}
}

// rush is that traffic times what factor says for each tenant; what goes beyond 1.1 lies beyond its share.
func rush(length time.Duration, factor func(tenant string, t time.Duration) float64) loopsim.Rush {
	r := loopsim.Rush{Time: length, Seed: 1, Retries: 2, Aim: 1500 * ms, Query: 300 * time.Microsecond, Part: 200 * time.Microsecond,
		Refusal: 20 * time.Microsecond, Queue: 4000, Shares: map[string]float64{}}
	for _, tenant := range []struct {
		name  string
		share float64
	}{{"kitakaze", 0.42}, {"shirakaba", 0.41}, {"momiji", 0.17}} {
		r.Shares[tenant.name] = 1.1 * normal * tenant.share
		for _, class := range []struct {
			name  string
			share float64
			parts int
			worth float64
		}{{"route", 0.55, 4, 1}, {"hazard", 0.225, 1, 2}, {"summary", 0.225, 12, 3}} {
			r.Loads = append(r.Loads, loopsim.Load{Class: class.name, Tenant: tenant.name, Parts: class.parts, Worth: class.worth,
				Rate: func(t time.Duration) float64 { return normal * tenant.share * class.share * factor(tenant.name, t) }})
		}
	}
	return r
}

func step(tenant string, t time.Duration) float64 {
	if t > 2*time.Second && t < 7*time.Second {
		return 3
	}
	return 1
}

// watched keeps a controller's levels by time.
type watched struct {
	*overload.Controller
	changes []string
	normal  []time.Duration // when the level became normal
}

// normalAfter is when the level was normal first from an instant on.
func (w *watched) normalAfter(at time.Duration) time.Duration {
	for _, n := range w.normal {
		if n >= at {
			return n
		}
	}
	if w.Level() == overload.Normal {
		return at
	}
	return time.Hour
}

func (w *watched) Observe(s overload.Signals, now time.Duration) bool {
	changed := w.Controller.Observe(s, now)
	if changed {
		w.changes = append(w.changes, fmt.Sprint(now, " ", w.Level()))
	}
	if changed && w.Level() == overload.Normal {
		w.normal = append(w.normal, now)
	}
	return changed
}

// share of a kind of traffic that was served.
func served(t *loopsim.Tally) float64 { return t.Served / max(1, t.Asked) }

// Three times the traffic for five seconds: the loop keeps up, what is served is worth more than first come's, and the
// level is normal again soon after.
func TestStep(t *testing.T) {
	r := rush(12*time.Second, step)
	plain := r.Play(loopsim.FirstCome{})
	w := &watched{Controller: overload.New(config())}
	got := r.Play(w)
	if p99 := got.Wait(0.99, 0, 12*time.Second); p99 > 50*ms {
		t.Errorf("p99 of the wait %v, want under 50ms; first come %v", p99, plain.Wait(0.99, 0, 12*time.Second))
	}
	if got.Total.Worth < 1.2*plain.Total.Worth || got.Total.Late > 0 {
		t.Errorf("worth %.0f, %.0f late; first come %.0f", got.Total.Worth, got.Total.Late, plain.Total.Worth)
	}
	if h := got.ByClass["hazard"]; served(h) < 0.99 {
		t.Errorf("%.3f of the hazard reports served", served(h))
	}
	if w.normalAfter(7*time.Second) > 9*time.Second {
		t.Errorf("%v: normal wanted within 2 s of the rush's end", w.changes)
	}
	tries, denied := 0, 0
	for i := 90; i < 120; i++ {
		tries, denied = tries+got.Tries[i], denied+got.Denied[i]
	}
	if float64(tries) > 1.7*normal*3 || denied > tries/50 {
		t.Errorf("%d tries and %d refusals in the 3 s from 2 s after the rush on: no storm wanted", tries, denied)
	}
	if len(w.changes) > 10 {
		t.Errorf("the level swings: %v", w.changes)
	}
}

// Traffic that comes and goes every half second makes the level swing no more than a few times, and costs no worth.
func TestSawtooth(t *testing.T) {
	r := rush(12*time.Second, func(_ string, t time.Duration) float64 {
		if t%time.Second < 500*ms {
			return 3
		}
		return 1
	})
	w := &watched{Controller: overload.New(config())}
	got, plain := r.Play(w), r.Play(loopsim.FirstCome{})
	if p99 := got.Wait(0.99, 0, 12*time.Second); p99 > 100*ms || got.Total.Worth < 0.95*plain.Total.Worth || len(w.changes) > 20 {
		t.Errorf("p99 %v, worth %.0f, first come %.0f, levels %v", p99, got.Total.Worth, plain.Total.Worth, w.changes)
	}
}

// One tenant sends thirteen times its traffic: those within their shares are hardly refused, and it more than they.
func TestFlood(t *testing.T) {
	r := rush(10*time.Second, func(tenant string, t time.Duration) float64 {
		if tenant == "momiji" && t > 2*time.Second && t < 7*time.Second {
			return 12.8
		}
		return 1
	})
	got := r.Play(overload.New(config()))
	flooder := got.ByTenant["momiji"]
	for name, tally := range got.ByTenant {
		if name != "momiji" && (served(tally) < 0.97 || served(tally) < served(flooder)) {
			t.Errorf("%s: %.3f served, the flooder %.3f", name, served(tally), served(flooder))
		}
	}
	if p99 := got.Wait(0.99, 0, 10*time.Second); p99 > 50*ms || served(flooder) < 0.1 {
		t.Errorf("p99 %v, %.3f of the flooder's served: within its share it is to be", p99, served(flooder))
	}
}

// Who is refused together does not come back together: of a thousand at one instant, no tenth of a second after
// sees more than a few times what an even stream would bring, and those within their shares come first.
func TestComeback(t *testing.T) {
	c := overload.New(config())
	now := 10 * time.Second
	for range 200 { // busy and behind, so that it knows what it can do and is limited
		for range 30 {
			c.Admit(overload.Arrival{Class: "route", Tenant: "kitakaze", Parts: 4}, now)
			c.QueryDone(4)
		}
		now += c.Interval()
		c.Observe(overload.Signals{MeanWait: 25 * ms, CPU: 1}, now)
	}
	back, last, n := map[int]int{}, map[string]time.Duration{}, 0
	for range 1000 {
		for _, tenant := range []string{"shirakaba", "nobody"} {
			d := c.Admit(overload.Arrival{Class: "route", Tenant: tenant, Parts: 4}, now)
			if d.Admitted {
				continue
			}
			n++
			back[int(d.RetryAfter/(100*ms))]++
			if n <= 200 { // later ones of shirakaba lie beyond its share too
				last[tenant] = max(last[tenant], d.RetryAfter)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 30*time.Second {
				t.Fatalf("told to come back in %v", d.RetryAfter)
			}
		}
	}
	most := 0
	for _, k := range back {
		most = max(most, k)
	}
	if n < 1500 || most > 4*n/len(back) || len(back) < 50 {
		t.Errorf("%d refused come back over %d tenths of a second, %d in one of them", n, len(back), most)
	}
	if last["shirakaba"] >= last["nobody"] {
		t.Errorf("within the share the last is to come back in %v, beyond it in %v", last["shirakaba"], last["nobody"])
	}
}

// A process that stands still for a second at normal traffic refuses little for it and is soon as before.
func TestStall(t *testing.T) {
	r := rush(8*time.Second, func(string, time.Duration) float64 { return 1 })
	r.Stall = func(t time.Duration) bool { return t > 3*time.Second && t < 4*time.Second }
	w := &watched{Controller: overload.New(config())}
	got := r.Play(w)
	if got.Total.Refused > 0.1*got.Total.Asked || w.normalAfter(4*time.Second) > 7*time.Second {
		t.Errorf("%.0f of %.0f refused, levels %v", got.Total.Refused, got.Total.Asked, w.changes)
	}
	if wait := got.Wait(0.99, 6*time.Second, 8*time.Second); wait > 50*ms {
		t.Errorf("p99 of the wait two seconds later %v", wait)
	}
}

// Memory: each level is entered at once and left with slack; new work goes before any that was taken, and what is
// kept only when some has to be ended.
func TestMemory(t *testing.T) {
	cfg := config()
	cfg.MemoryBytes = 1000
	c := overload.New(cfg)
	now := time.Second
	look := func(held int64) overload.MemoryLevel {
		now += c.Interval()
		c.Observe(overload.Signals{QueryBytes: held}, now)
		return c.MemoryLevel()
	}
	look(0)
	for _, tc := range []struct {
		held int64
		want overload.MemoryLevel
	}{{599, overload.MemoryNormal}, {600, overload.DropCached}, {541, overload.DropCached}, {539, overload.MemoryNormal}, {850, overload.EndQueries},
		{770, overload.EndQueries}, {764, overload.RejectNew}, {650, overload.RejectNew}, {647, overload.DropCached}, {0, overload.MemoryNormal}} {
		if got := look(tc.held); got != tc.want {
			t.Fatalf("%d of 1000 held: %v, want %v", tc.held, got, tc.want)
		}
		for _, class := range []string{"route", "hazard"} {
			d := c.Admit(overload.Arrival{Class: class, Tenant: "kitakaze"}, now)
			if want := c.MemoryLevel() < overload.RejectNew || class == "hazard" && c.MemoryLevel() == overload.RejectNew; d.Admitted != want {
				t.Errorf("%v: %s admitted: %t", c.MemoryLevel(), class, d.Admitted)
			}
		}
	}
	look(900)
	if x := c.Excess(overload.Signals{QueryBytes: 900}); x != 135 {
		t.Errorf("excess %d, want what is over 0.9 of 0.85", x)
	}
	list := []overload.OpenQuery{{Bytes: 50, PriorityWeight: 1}, {Bytes: 90, PriorityWeight: 3}, {Bytes: 80, PriorityWeight: 1, Protected: true}, {Bytes: 20, PriorityWeight: 1}, {PriorityWeight: 0}}
	if got := fmt.Sprint(overload.SelectQueriesToEnd(list, 60)); got != "[0 1]" {
		t.Errorf("chosen %s, want those that hold most for their worth, and none that is kept", got)
	}
	if got := fmt.Sprint(overload.SelectQueriesToEnd(list, 1000)); got != "[0 1 3]" {
		t.Errorf("chosen %s, want all that may be", got)
	}
}

// What queries cost is learned from whole windows, whatever else takes time in those with little in them.
func TestCosts(t *testing.T) {
	c := overload.New(config())
	now := time.Second
	c.Observe(overload.Signals{}, now)
	for i := range 500 {
		n := i % 40
		for range n {
			c.Admit(overload.Arrival{Class: "route", Tenant: "kitakaze", Parts: 2 + 8*(i%2)}, now)
			c.QueryDone(2 + 8*(i%2))
		}
		now += c.Interval()
		cpu := 0.002 + float64(n)*(0.0005+0.0004*float64(2+8*(i%2))) // seconds; 2 ms are of other things
		c.Observe(overload.Signals{CPU: cpu / c.Interval().Seconds()}, now)
	}
	if q, p := c.Costs(); q < 0.0004 || q > 0.0008 || p < 0.0003 || p > 0.0005 {
		t.Errorf("a query costs %.6f and a part %.6f, want about 0.0005 and 0.0004", q, p)
	}
}
