package overload_test

import (
	"testing"
	"time"

	"harepass/internal/decide/overload"
)

// The costs of queries and parts are learned from the CPU time of whole windows, although other work uses CPU time too.
func TestCostsAreLearnedFromWindows(t *testing.T) {
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
		cpu := 0.002 + float64(n)*(0.0005+0.0004*float64(2+8*(i%2))) // seconds, 2 ms of them for other work
		c.Observe(overload.Signals{CoresUsed: cpu / c.Interval().Seconds()}, now)
	}
	if q, p := c.Costs(); q < 0.0004 || q > 0.0008 || p < 0.0003 || p > 0.0005 {
		t.Errorf("a query costs %.6f and a part %.6f, want about 0.0005 and 0.0004", q, p)
	}
}
