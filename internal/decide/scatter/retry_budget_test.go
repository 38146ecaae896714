package scatter

import (
	"testing"
)

// Retries keep to their budget up to its edge.
func TestRetryBudget(t *testing.T) {
	s := base()
	s.RetryBudget = &RetryBudget{MinRetries: 1, Ratio: 0.1, Window: 10 * sec}
	h := start(t, s, names("a", "b", "c", "d")...)
	extra, tries := 0, map[string]int{}
	take := func(acts []Action) { // the first attempt of each part errs, the others are served
		for sends := of[Send](acts); len(sends) > 0; sends = sends[1:] {
			x, o := sends[0], Errored
			if tries[x.Part] > 0 {
				extra++
				o = Succeeded
			}
			tries[x.Part]++
			if limit := 1 + 0.1*float64(2*h.n); float64(extra) > limit {
				t.Fatalf("%d further attempts after %d queries", extra, h.n)
			}
			sends = append(sends, of[Send](h.step(0, ended(x.Part, tries[x.Part]-1, x.Replica, o, ms)))...)
		}
	}
	for range 20 { // 20 queries and 20 parts: 1 + 4 further attempts
		take(h.query("c", 0))
		take(h.step(450*ms, TimerFired{})) // past a failing replica's pause
	}
	if extra != 5 {
		t.Errorf("%d further attempts, want 5", extra)
	}
}
