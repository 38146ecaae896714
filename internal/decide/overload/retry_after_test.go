package overload_test

import (
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// Two thousand queries arrive at one instant, and most are rejected. If all were retried together, they would cause the
// next overload. No tenth of a second may get more than a few times the retries of an even stream, and queries within
// their quotas are retried first.
func TestRejectedQueriesComeBackSpreadOut(t *testing.T) {
	c := overload.New(config())
	now := 10 * time.Second
	for range 200 { // the loop is busy and behind, so that its capacity is known and the limit is active
		for range 30 {
			c.Admit(overload.Arrival{Class: "route", Tenant: "kitakaze", Parts: 4}, now)
			c.QueryDone(4)
		}
		now += c.Interval()
		c.Observe(overload.Signals{MeanWait: 25 * ms, CoresUsed: 1}, now)
	}
	byTenth := map[int]int{}             // number of retries, by tenth of a second
	latest := map[string]time.Duration{} // latest retry of each tenant
	rejected := 0
	for range 1000 {
		for _, tenant := range []string{"shirakaba", "nobody"} {
			d := c.Admit(overload.Arrival{Class: "route", Tenant: tenant, Parts: 4}, now)
			if d.Admitted {
				continue
			}
			rejected++
			byTenth[int(d.RetryAfter/(100*ms))]++
			if rejected <= 200 { // later queries of shirakaba are beyond its quota too
				latest[tenant] = max(latest[tenant], d.RetryAfter)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 30*time.Second {
				t.Fatalf("retry after %v, want above 0 and at most 30s", d.RetryAfter)
			}
		}
	}
	most := 0
	for _, k := range byTenth {
		most = max(most, k)
	}
	if rejected < 1500 || most > 4*rejected/len(byTenth) || len(byTenth) < 50 {
		t.Errorf("%d retries in %d tenths of a second, at most %d in one of them", rejected, len(byTenth), most)
	}
	if latest["shirakaba"] >= latest["nobody"] {
		t.Errorf("latest retry within the quota after %v, beyond it after %v", latest["shirakaba"], latest["nobody"])
	}
}
