package scatter

import (
	"testing"
)

// Retries stay within their budget and use all of it.
func TestRetryBudget(t *testing.T) {
	s := base()
	s.RetryBudget = &RetryBudget{MinRetries: 1, Ratio: 0.1, Window: 10 * sec}
	h := start(t, s, names("a", "b", "c", "d")...)
	extra, tries := 0, map[string]int{}
	take := func(acts []Action) { // the first attempt of each part fails, the others are served
		for sends := of[Send](acts); len(sends) > 0; sends = sends[1:] {
			x, o := sends[0], Errored
			if tries[x.Part] > 0 {
				extra++
				o = Succeeded
			}
			tries[x.Part]++
			if limit := 1 + 0.1*float64(2*h.n); float64(extra) > limit {
				t.Fatalf("%d retries after %d queries exceed the budget", extra, h.n)
			}
			sends = append(sends, of[Send](h.step(0, ended(x.Part, tries[x.Part]-1, x.Replica, o, ms)))...)
		}
	}
	for range 20 { // 20 queries and 20 parts allow 1 + 4 retries
		take(h.query("c", 0))
		take(h.step(450*ms, TimerFired{})) // past the backoff of a failing replica
	}
	if extra != 5 {
		t.Errorf("%d retries, want 5", extra)
	}
}
