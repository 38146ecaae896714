package scaletest

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// timeline writes down what the run does, with the time since its beginning. Its methods may be called by any
// goroutine.
type timeline struct {
	began time.Time

	mu  sync.Mutex
	out io.Writer
}

// newTimeline begins a timeline at this instant; a nil writer discards its lines.
func newTimeline(out io.Writer) *timeline {
	if out == nil {
		out = io.Discard
	}
	return &timeline{began: time.Now(), out: out}
}

// note writes a line: the seconds since the beginning and a message.
func (t *timeline) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "%8.3f %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}
