package faultinjection

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// Timeline is what happened, of all processes and the rig in one order.
type Timeline struct {
	began time.Time

	mu      sync.Mutex
	entries []timelineEntry
}

// Note adds a line.
func (t *Timeline) Note(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, timelineEntry{time.Since(t.began), who, fmt.Sprintf(format, args...)})
}

// Print writes all lines in order of time.
func (t *Timeline) Print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.entries, func(x, y timelineEntry) int { return int(x.elapsed - y.elapsed) })
	for _, n := range t.entries {
		if _, err := fmt.Fprintf(out, "%8.3f %-8s %s\n", n.elapsed.Seconds(), n.source, n.text); err != nil {
			return err
		}
	}
	return nil
}

type timelineEntry struct {
	elapsed      time.Duration
	source, text string
}

func newTimeline() *Timeline { return &Timeline{began: time.Now()} }
