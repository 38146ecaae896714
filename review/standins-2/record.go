package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// record is the file that says what was sent, answered and run. Several goroutines may write to it.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// openRecord creates the record of the case in a folder.
func openRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// since returns the seconds since the record's start.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// add writes one line with the present time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}
