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

// normalRate is the total traffic of the three classes and tenants, in queries per second, that keeps the loop half
// busy.
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

// rush returns a simulation of the normal traffic multiplied by a factor for each tenant. Traffic above a factor of 1.1
// exceeds the tenant's quota.
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

// threefold is the factor for a rush with three times the normal traffic for five seconds, from 2 s to 7 s.
func threefold(_ string, t time.Duration) float64 {
	if t > 2*time.Second && t < 7*time.Second {
		return 3
	}
	return 1
}

// levelRecorder records how a controller's level changes.
type levelRecorder struct {
	*overload.Controller
	changes  []string        // instant and new level of each change
	normalAt []time.Duration // instants at which the level became normal
}

// normalAfter returns the first instant, not before at, at which the level became normal. If there is none, it returns
// at while the level is normal, and an hour otherwise.
func (r *levelRecorder) normalAfter(at time.Duration) time.Duration {
	for _, n := range r.normalAt {
		if n >= at {
			return n
		}
	}
	if r.Level() == overload.Normal {
		return at
	}
	return time.Hour
}

func (r *levelRecorder) Observe(s overload.Signals, now time.Duration) bool {
	changed := r.Controller.Observe(s, now)
	if changed {
		r.changes = append(r.changes, fmt.Sprint(now, " ", r.Level()))
	}
	if changed && r.Level() == overload.Normal {
		r.normalAt = append(r.normalAt, now)
	}
	return changed
}

// servedFraction returns the fraction of a kind of traffic that was served.
func servedFraction(t *loopsim.Tally) float64 { return t.Served / max(1, t.Arrived) }

// Clients send three times the normal traffic for five seconds, and retry when they are rejected. The loop keeps up,
// the total priority weight of the served queries is higher than with first come, first served, and the level is normal
// again soon after the rush.
func TestThreefoldTrafficKeepsLoopOnTime(t *testing.T) {
	r := rush(12*time.Second, threefold)
	firstCome := r.Run(loopsim.FirstCome{})
	levels := &levelRecorder{Controller: overload.New(config())}
	got := r.Run(levels)
	if p99 := got.WaitQuantile(0.99, 0, 12*time.Second); p99 > 50*ms {
		t.Errorf("p99 of the wait is %v, want at most 50ms; first come, first served: %v",
			p99, firstCome.WaitQuantile(0.99, 0, 12*time.Second))
	}
	if got.Total.EarnedWeight < 1.2*firstCome.Total.EarnedWeight || got.Total.Late > 0 {
		t.Errorf("weight served %.0f with %.0f late, want none late and 1.2 times the %.0f of first come, first served",
			got.Total.EarnedWeight, got.Total.Late, firstCome.Total.EarnedWeight)
	}
	if h := got.ByClass["hazard"]; servedFraction(h) < 0.99 {
		t.Errorf("%.3f of the hazard reports served, want at least 0.99", servedFraction(h))
	}
	if levels.normalAfter(7*time.Second) > 9*time.Second {
		t.Errorf("level changes %v, want normal within 2 s after the rush", levels.changes)
	}
	attempts, rejected := 0, 0
	for i := 90; i < 120; i++ {
		attempts, rejected = attempts+got.Attempts[i], rejected+got.Rejections[i]
	}
	if float64(attempts) > 1.7*normalRate*3 || rejected > attempts/50 {
		t.Errorf("%d attempts and %d rejections from 2 s to 5 s after the rush, want no storm", attempts, rejected)
	}
	if len(levels.changes) > 10 {
		t.Errorf("level changes %v, want at most 10", levels.changes)
	}
}

// Traffic alternates every half second between three times the normal rate and the normal rate. The level changes only
// a few times, and hardly any priority weight is lost.
func TestAlternatingTrafficDoesNotSwingLevel(t *testing.T) {
	r := rush(12*time.Second, func(_ string, t time.Duration) float64 {
		if t%time.Second < 500*ms {
			return 3
		}
		return 1
	})
	levels := &levelRecorder{Controller: overload.New(config())}
	got, firstCome := r.Run(levels), r.Run(loopsim.FirstCome{})
	p99 := got.WaitQuantile(0.99, 0, 12*time.Second)
	if p99 > 100*ms || got.Total.EarnedWeight < 0.95*firstCome.Total.EarnedWeight || len(levels.changes) > 20 {
		t.Errorf("p99 of the wait %v, weight served %.0f (first come, first served: %.0f), level changes %v",
			p99, got.Total.EarnedWeight, firstCome.Total.EarnedWeight, levels.changes)
	}
}

// One tenant sends thirteen times its normal traffic. The other tenants, within their quotas, are hardly rejected. The
// flooding tenant is rejected more often, but is still served within its quota.
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
			t.Errorf("%s: %.3f served, flooding tenant: %.3f; want at least 0.97 and no less than the flooding tenant",
				name, servedFraction(tally), servedFraction(flooding))
		}
	}
	if p99 := got.WaitQuantile(0.99, 0, 10*time.Second); p99 > 50*ms || servedFraction(flooding) < 0.1 {
		t.Errorf("p99 of the wait %v, flooding tenant %.3f served; want at most 50ms and at least 0.1",
			p99, servedFraction(flooding))
	}
}

// The process is suspended for a second under normal traffic, as by SIGSTOP or a starved core. When it resumes, the
// queries of that second are waiting. It rejects few of them, and soon serves as before.
func TestSuspendedProcessRejectsLittle(t *testing.T) {
	r := rush(8*time.Second, func(string, time.Duration) float64 { return 1 })
	r.Stalled = func(t time.Duration) bool { return t > 3*time.Second && t < 4*time.Second }
	levels := &levelRecorder{Controller: overload.New(config())}
	got := r.Run(levels)
	if got.Total.Rejected > 0.1*got.Total.Arrived || levels.normalAfter(4*time.Second) > 7*time.Second {
		t.Errorf("%.0f of %.0f rejected, level changes %v; want at most a tenth rejected and normal within 3 s",
			got.Total.Rejected, got.Total.Arrived, levels.changes)
	}
	if wait := got.WaitQuantile(0.99, 6*time.Second, 8*time.Second); wait > 50*ms {
		t.Errorf("p99 of the wait from 2 s after the suspension on is %v, want at most 50ms", wait)
	}
}
