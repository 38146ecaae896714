package faultinjection

import (
	"bytes"
	"sync"
)

// Log collects what a process writes. Its methods may be called by any goroutine. The zero value is empty.
type Log struct {
	mu             sync.Mutex
	text           bytes.Buffer
	onLine         func(string) // called with each complete line, in order; nil for nobody
	incompleteLine []byte       // what was written since the last complete line; kept for onLine only
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

// splitLines hands on the lines that p completes. It is to be called under the lock.
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

// String returns what has been written so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
