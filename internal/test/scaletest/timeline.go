package scaletest

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// timeline is what the run did, in order.
type timeline struct {
	began time.Time

	mu    sync.Mutex
	out   io.Writer
	lines []string
}

func newTimeline(out io.Writer) *timeline {
	if out == nil {
		out = io.Discard
	}
	return &timeline{began: time.Now(), out: out}
}

// note adds a line.
func (t *timeline) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
	t.lines = append(t.lines, line)
	fmt.Fprintln(t.out, line)
}
