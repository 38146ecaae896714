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

	mu    sync.Mutex
	notes []note
}

// Note adds a line.
func (t *Timeline) Note(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notes = append(t.notes, note{time.Since(t.began), who, fmt.Sprintf(format, args...)})
}

// Print writes all lines in order of time.
func (t *Timeline) Print(out io.Writer) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	slices.SortStableFunc(t.notes, func(x, y note) int { return int(x.at - y.at) })
	for _, n := range t.notes {
		if _, err := fmt.Fprintf(out, "%8.3f %-8s %s\n", n.at.Seconds(), n.who, n.what); err != nil {
			return err
		}
	}
	return nil
}

type note struct {
	at        time.Duration
	who, what string
}

func newTimeline() *Timeline { return &Timeline{began: time.Now()} }
