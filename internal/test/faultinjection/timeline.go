package faultinjection

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Sources of a timeline's entries. A log line of a member has the member's name as its source.
const (
	sourceHarness = "harness" // an action of the fleet on processes, links, replicas or discovery
	sourceRule    = "rule"    // a rule was broken
	sourceVerdict = "verdict" // an expectation was not met
)

// Timeline records the events of all processes and of the fleet that runs them. Its methods may be called by any
// goroutine.
type Timeline struct {
	began time.Time

	mu      sync.Mutex
	entries []timelineEntry
}

// timelineEntry is one event.
type timelineEntry struct {
	elapsed      time.Duration // since the timeline began
	source, text string
}

func newTimeline() *Timeline { return &Timeline{began: time.Now()} }

// Note adds an entry with the current time.
func (t *Timeline) Note(source, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, timelineEntry{time.Since(t.began), source, fmt.Sprintf(format, args...)})
}

// Print writes all entries in order of time: seconds since the timeline began, source and text. Errors come from out.
func (t *Timeline) Print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.entries, func(x, y timelineEntry) int { return int(x.elapsed - y.elapsed) })
	for _, e := range t.entries {
		if _, err := fmt.Fprintf(out, "%8.3f %-8s %s\n", e.elapsed.Seconds(), e.source, e.text); err != nil {
			return err
		}
	}
	return nil
}
