package scaletest

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// timeline logs the events of a run with the time since its beginning. Its methods are safe for concurrent use.
type timeline struct {
	began time.Time

	mu  sync.Mutex
	out io.Writer
}

// newTimeline starts a timeline now. A nil writer discards its lines.
func newTimeline(out io.Writer) *timeline {
	if out == nil {
		out = io.Discard
	}
	return &timeline{began: time.Now(), out: out}
}

// logf writes a line with the seconds since the beginning and a formatted message.
func (t *timeline) logf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "%8.3f %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}
