package listversion

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func known(index int64, confirmedAt, heardAt time.Duration) Known {
	return Known{Service: "d", Index: index, ConfirmedAt: confirmedAt, HeardAt: heardAt}
}

// The index decides between two versions of one service, unless one of them was confirmed after the other process had
// last heard of its own: the service was restarted with a lower index then. Versions of two services do not compare.
func TestSupersedes(t *testing.T) {
	for name, c := range map[string]struct {
		k, other Known
		want     bool
	}{
		"higher index":                      {known(42, 9*second, 10*second), known(41, 9*second, 10*second), true},
		"same index":                        {known(42, 9*second, 10*second), known(42, 9*second, 10*second), false},
		"same index, confirmed later":       {known(42, 19*second, 20*second), known(42, 9*second, 10*second), false},
		"lower index":                       {known(41, 9*second, 10*second), known(42, 9*second, 10*second), false},
		"lower index, confirmed later":      {known(3, 19*second, 20*second), known(42, 9*second, 10*second), true},
		"higher index, heard before":        {known(42, 9*second, 10*second), known(3, 19*second, 20*second), false},
		"confirmed within the tolerance":    {known(3, 10*second+clockTolerance, 20*second), known(42, 9*second, 10*second), false},
		"same index after a restart":        {Known{"d", 5, 42, 19 * second, 20 * second}, known(42, 9*second, 10*second), true},
		"never confirmed, higher index":     {known(42, NotConfirmed, 10*second), known(41, 9*second, 10*second), true},
		"never confirmed, heard before":     {known(42, NotConfirmed, 10*second), known(41, 11*second, 12*second), false},
		"other service, whatever the index": {Known{Service: "e", Index: 99, ConfirmedAt: 99 * second}, known(41, second, second), false},
	} {
		if got := c.k.Supersedes(c.other); got != c.want {
			t.Errorf("%s: supersedes is %v, want %v", name, got, c.want)
		}
	}
}

// A service changes its list and is restarted from older states; two processes hear of it at different times. Whenever
// one process's version is of an earlier time, it does not supersede the other's, and no two versions supersede each
// other. If a process would take the earlier one, it would forget a drain.
func TestEarlierVersionNeverSupersedes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		index, generation := int64(40), 0 // generation counts changes and restarts
		var processes [2]Known
		var generations [2]int
		for i := range processes {
			processes[i] = known(index, now, now)
		}
		restarted := false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(20, 2000).Draw(t, "pause")) * time.Millisecond
			switch rapid.SampledFrom([]string{"change", "restart", "hear"}).Draw(t, "event") {
			case "change":
				index++
				generation++
			case "restart":
				index = max(0, index-int64(rapid.IntRange(1, 40).Draw(t, "lost")))
				generation++
				restarted = true
			case "hear":
				i := rapid.IntRange(0, 1).Draw(t, "process")
				took := time.Duration(rapid.IntRange(0, 19).Draw(t, "took")) * time.Millisecond
				processes[i], generations[i] = known(index, now, now+took), generation
			}
			for i, k := range processes {
				other := processes[1-i]
				if k.Supersedes(other) && other.Supersedes(k) {
					t.Fatalf("%+v and %+v supersede each other", k, other)
				}
				if generations[i] < generations[1-i] && k.Supersedes(other) {
					t.Fatalf("%+v supersedes %+v, which is later; restarted: %v", k, other, restarted)
				}
			}
		}
	})
}
