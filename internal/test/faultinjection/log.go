package faultinjection

import (
	"bytes"
	"sync"
)

// Log collects the output of a process. Its methods may be called by any goroutine. The zero value is empty.
type Log struct {
	mu             sync.Mutex
	text           bytes.Buffer
	onLine         func(string) // called with each complete line, in order, unless it is nil
	incompleteLine []byte       // bytes since the last complete line; only used if onLine is set
}

// Write implements io.Writer. It never fails.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.onLine != nil {
		l.splitLines(p)
	}
	return l.text.Write(p)
}

// splitLines calls onLine with each line that p completes. The caller must hold the lock.
func (l *Log) splitLines(p []byte) {
	l.incompleteLine = append(l.incompleteLine, p...)
	for {
		line, rest, complete := bytes.Cut(l.incompleteLine, []byte("\n"))
		if !complete {
			return
		}
		l.onLine(string(line))
		l.incompleteLine = rest
	}
}

// String returns the output so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
