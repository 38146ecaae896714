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

// normalRate is the traffic, in queries a second of three classes and tenants, that keeps the loop half busy.
const normalRate = 380.0

func config() overload.Config {
	rng := rand.New(rand.NewPCG(1, 2))
	return overload.Config{WaitTarget: 10 * ms, Cores: 1, MaxRetryAfter: 30 * time.Second, Rand: rng.Float64,
		Classes: []overload.Class{
			{Name: "route", PriorityWeight: 1, TypicalParts: 4},
			{Name: "hazard", PriorityWeight: 2, TypicalParts: 1, NonIdempotent: true},
			{Name: "summary", PriorityWeight: 3, TypicalParts: 12},
		},
		Tenants: []overload.Tenant{
			{Name: "kitakaze", Quota: 0.42 * normalRate * 1.1},
			{Name: "shirakaba", Quota: 0.41 * normalRate * 1.1},
			{Name: "momiji", Quota: 0.17 * normalRate * 1.1},
		}}
}

// rush is the normal traffic times a factor for each tenant. What is beyond a factor of 1.1 is beyond the tenant's
// quota.
func rush(length time.Duration, factor func(tenant string, t time.Duration) float64) loopsim.Simulation {
	r := loopsim.Simulation{Duration: length, Seed: 1, Retries: 2, LatencyObjective: 1500 * ms,
		QueryTime: 300 * time.Microsecond, PartTime: 200 * time.Microsecond, RejectionTime: 20 * time.Microsecond,
		QueueLength: 4000, Quotas: map[string]float64{}}
	for _, tenant := range []struct {
		name  string
		share float64
	}{{"kitakaze", 0.42}, {"shirakaba", 0.41}, {"momiji", 0.17}} {
		r.Quotas[tenant.name] = 1.1 * normalRate * tenant.share
		for _, class := range []struct {
			name   string
			share  float64
			parts  int
			weight float64
		}{{"route", 0.55, 4, 1}, {"hazard", 0.225, 1, 2}, {"summary", 0.225, 12, 3}} {
			r.Loads = append(r.Loads, loopsim.Load{
				Class: class.name, Tenant: tenant.name, Parts: class.parts, PriorityWeight: class.weight,
				Rate: func(t time.Duration) float64 {
					return normalRate * tenant.share * class.share * factor(tenant.name, t)
				}})
		}
	}
	return r
}

// threefold is the factor of a rush of five seconds, from 2 s to 7 s.
func threefold(_ string, t time.Duration) float64 {
	if t > 2*time.Second && t < 7*time.Second {
		return 3
	}
	return 1
}

// levelRecorder records how a controller's level changes.
type levelRecorder struct {
	*overload.Controller
	changes  []string        // instants and levels
	normalAt []time.Duration // when the level became normal
}

// normalAfter is when the level was normal first from an instant on.
func (w *levelRecorder) normalAfter(at time.Duration) time.Duration {
	for _, n := range w.normalAt {
		if n >= at {
			return n
		}
	}
	if w.Level() == overload.Normal {
		return at
	}
	return time.Hour
}

func (w *levelRecorder) Observe(s overload.Signals, now time.Duration) bool {
	changed := w.Controller.Observe(s, now)
	if changed {
		w.changes = append(w.changes, fmt.Sprint(now, " ", w.Level()))
	}
	if changed && w.Level() == overload.Normal {
		w.normalAt = append(w.normalAt, now)
	}
	return changed
}

// servedFraction is the fraction of a kind of traffic that was served.
func servedFraction(t *loopsim.Tally) float64 { return t.Served / max(1, t.Arrived) }

// Clients send three times the usual traffic for five seconds, and come back when they are rejected. The loop keeps
// up, the weight of what is served is higher than first come, first served would give, and the level is normal again
// soon after.
func TestThreefoldTrafficKeepsLoopOnTime(t *testing.T) {
	r := rush(12*time.Second, threefold)
	firstCome := r.Run(loopsim.FirstCome{})
	w := &levelRecorder{Controller: overload.New(config())}
	got := r.Run(w)
	if p99 := got.WaitQuantile(0.99, 0, 12*time.Second); p99 > 50*ms {
		t.Errorf("p99 of the wait %v, want under 50ms; first come %v",
			p99, firstCome.WaitQuantile(0.99, 0, 12*time.Second))
	}
	if got.Total.EarnedWeight < 1.2*firstCome.Total.EarnedWeight || got.Total.Late > 0 {
		t.Errorf("weight served %.0f, %.0f late; first come %.0f",
			got.Total.EarnedWeight, got.Total.Late, firstCome.Total.EarnedWeight)
	}
	if h := got.ByClass["hazard"]; servedFraction(h) < 0.99 {
		t.Errorf("%.3f of the hazard reports served", servedFraction(h))
	}
	if w.normalAfter(7*time.Second) > 9*time.Second {
		t.Errorf("%v: normal wanted within 2 s of the rush's end", w.changes)
	}
	attempts, rejected := 0, 0
	for i := 90; i < 120; i++ {
		attempts, rejected = attempts+got.Attempts[i], rejected+got.Rejections[i]
	}
	if float64(attempts) > 1.7*normalRate*3 || rejected > attempts/50 {
		t.Errorf("%d attempts and %d rejections in the 3 s from 2 s after the rush on: no storm wanted", attempts, rejected)
	}
	if len(w.changes) > 10 {
		t.Errorf("the level swings: %v", w.changes)
	}
}

// Traffic triples and falls back every half second. The level changes no more than a few times, and no weight is lost.
func TestAlternatingTrafficDoesNotSwingLevel(t *testing.T) {
	r := rush(12*time.Second, func(_ string, t time.Duration) float64 {
		if t%time.Second < 500*ms {
			return 3
		}
		return 1
	})
	w := &levelRecorder{Controller: overload.New(config())}
	got, firstCome := r.Run(w), r.Run(loopsim.FirstCome{})
	p99 := got.WaitQuantile(0.99, 0, 12*time.Second)
	if p99 > 100*ms || got.Total.EarnedWeight < 0.95*firstCome.Total.EarnedWeight || len(w.changes) > 20 {
		t.Errorf("p99 of the wait %v, weight served %.0f, first come %.0f, levels %v",
			p99, got.Total.EarnedWeight, firstCome.Total.EarnedWeight, w.changes)
	}
}

// One tenant sends thirteen times its traffic. The others, within their quotas, are hardly rejected; the one that
// floods is rejected more than they are, but is still served within its quota.
func TestFloodingTenantIsRejectedFirst(t *testing.T) {
	r := rush(10*time.Second, func(tenant string, t time.Duration) float64 {
		if tenant == "momiji" && t > 2*time.Second && t < 7*time.Second {
			return 12.8
		}
		return 1
	})
	got := r.Run(overload.New(config()))
	flooding := got.ByTenant["momiji"]
	for name, tally := range got.ByTenant {
		if name != "momiji" && (servedFraction(tally) < 0.97 || servedFraction(tally) < servedFraction(flooding)) {
			t.Errorf("%s: %.3f served, the flooding tenant %.3f", name, servedFraction(tally), servedFraction(flooding))
		}
	}
	if p99 := got.WaitQuantile(0.99, 0, 10*time.Second); p99 > 50*ms || servedFraction(flooding) < 0.1 {
		t.Errorf("p99 %v, %.3f of the flooding tenant served: within its quota it has to be",
			p99, servedFraction(flooding))
	}
}

// The process is suspended for a second under normal traffic, as by SIGSTOP or a starved core. It then finds a second's
// queries waiting. It rejects few of them, and soon serves as before.
func TestSuspendedProcessRejectsLittle(t *testing.T) {
	r := rush(8*time.Second, func(string, time.Duration) float64 { return 1 })
	r.Stalled = func(t time.Duration) bool { return t > 3*time.Second && t < 4*time.Second }
	w := &levelRecorder{Controller: overload.New(config())}
	got := r.Run(w)
	if got.Total.Rejected > 0.1*got.Total.Arrived || w.normalAfter(4*time.Second) > 7*time.Second {
		t.Errorf("%.0f of %.0f rejected, levels %v", got.Total.Rejected, got.Total.Arrived, w.changes)
	}
	if wait := got.WaitQuantile(0.99, 6*time.Second, 8*time.Second); wait > 50*ms {
		t.Errorf("p99 of the wait two seconds later %v", wait)
	}
}
