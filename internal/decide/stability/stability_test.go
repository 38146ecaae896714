package stability

import (
	"testing"
	"time"
)

// windows has the times of these tests.
var windows = Windows{Settled: 1 * time.Second, Suspect: 3 * time.Second, Writing: 30 * time.Second}

// step is a look at an instant, in milliseconds, and what Observe says of it.
type step struct {
	at      int
	version byte
	writing bool
	suspect bool
	want    Reason
}

// A file is rewritten while it is looked at. It never counts as complete before it has been unchanged for the window
// that its last look calls for, however the looks fall.
func TestObserve(t *testing.T) {
	for name, steps := range map[string][]step{
		"one look never suffices": {{at: 9000, version: 1, want: Unchecked}},
		"unchanged": {{at: 0, version: 1, want: Unchecked}, {at: 999, version: 1, want: Unchecked},
			{at: 1000, version: 1, want: Stable}},
		"changes start anew": {{at: 0, version: 1, want: Unchecked}, {at: 900, version: 2, want: Changed},
			{at: 1800, version: 2, want: Unchecked}, {at: 1900, version: 2, want: Stable}},
		"back to an earlier version": {{at: 0, version: 1, want: Unchecked}, {at: 500, version: 2, want: Changed},
			{at: 1000, version: 1, want: Changed}, {at: 2000, version: 1, want: Stable}},
		"suspect": {{at: 0, version: 1, suspect: true, want: Suspect}, {at: 2999, version: 1, suspect: true, want: Suspect},
			{at: 3000, version: 1, suspect: true, want: Stable}},
		"a writer": {{at: 0, version: 1, writing: true, want: Writing}, {at: 29999, version: 1, writing: true, want: Writing},
			{at: 30000, version: 1, writing: true, want: Stable}},
		"it is gone": {{at: 0, version: 1, writing: true, want: Writing}, {at: 5000, version: 1, want: Stable}},
		"both": {{at: 0, version: 1, suspect: true, want: Suspect},
			{at: 5000, version: 1, suspect: true, writing: true, want: Writing}},
	} {
		var tracker Tracker
		for _, s := range steps {
			look := Look{Version: Version{s.version}, Writing: s.writing, Suspect: s.suspect}
			if got := tracker.Observe(look, time.Duration(s.at)*time.Millisecond, windows); got != s.want {
				t.Errorf("%s: at %d ms: %v, want %v", name, s.at, got, s.want)
			}
		}
	}
}
