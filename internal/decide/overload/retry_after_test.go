package overload_test

import (
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// Two thousand queries are rejected at one instant. If all came back together, the next overload would follow. No
// tenth of a second may see more than a few times what an even stream would bring, and those within their quotas come
// first.
func TestRejectedQueriesComeBackSpreadOut(t *testing.T) {
	c := overload.New(config())
	now := 10 * time.Second
	for range 200 { // busy and behind, so that its capacity is known and it is limited
		for range 30 {
			c.Admit(overload.Arrival{Class: "route", Tenant: "kitakaze", Parts: 4}, now)
			c.QueryDone(4)
		}
		now += c.Interval()
		c.Observe(overload.Signals{MeanWait: 25 * ms, CoresUsed: 1}, now)
	}
	byTenth := map[int]int{}             // queries that come back, by tenth of a second
	latest := map[string]time.Duration{} // return of a tenant's last query
	rejected := 0
	for range 1000 {
		for _, tenant := range []string{"shirakaba", "nobody"} {
			d := c.Admit(overload.Arrival{Class: "route", Tenant: tenant, Parts: 4}, now)
			if d.Admitted {
				continue
			}
			rejected++
			byTenth[int(d.RetryAfter/(100*ms))]++
			if rejected <= 200 { // later ones of shirakaba are beyond its quota too
				latest[tenant] = max(latest[tenant], d.RetryAfter)
			}
			if d.RetryAfter <= 0 || d.RetryAfter > 30*time.Second {
				t.Fatalf("retry after %v", d.RetryAfter)
			}
		}
	}
	most := 0
	for _, k := range byTenth {
		most = max(most, k)
	}
	if rejected < 1500 || most > 4*rejected/len(byTenth) || len(byTenth) < 50 {
		t.Errorf("%d rejected come back over %d tenths of a second, %d in one of them", rejected, len(byTenth), most)
	}
	if latest["shirakaba"] >= latest["nobody"] {
		t.Errorf("within the quota the last comes back in %v, beyond it in %v", latest["shirakaba"], latest["nobody"])
	}
}
