// Package counters holds the running totals of a process. They are written to the log, where operators and dashboards
// read them, so the names of counters must not change. Any goroutine may call all functions and methods.
package counters

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Counter is a total since the start of the process. It never decreases.
type Counter struct {
	name  string
	total atomic.Int64
}

// Total is a counter's name and its value at one time.
type Total struct {
	Name  string
	Value int64
}

var registry struct {
	mu       sync.Mutex
	counters []*Counter
}

// New registers a counter named by what is counted and by a kind or reason that distinguishes it from related counters.
// It is meant for package variables: a counter is never removed, and counters with the same name cannot be told apart
// in the log.
func New(counted, kind string) *Counter {
	c := &Counter{name: counted + "." + kind}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.counters = append(registry.counters, c)
	return c
}

// Inc adds one.
func (c *Counter) Inc() { c.total.Add(1) }

// Name returns what is counted, a dot, and the kind or reason.
func (c *Counter) Name() string { return c.name }

// Value returns the total so far.
func (c *Counter) Value() int64 { return c.total.Load() }

// Totals returns the counters above zero, sorted by name.
func Totals() (totals []Total) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, c := range registry.counters {
		if v := c.Value(); v > 0 {
			totals = append(totals, Total{c.name, v})
		}
	}
	slices.SortFunc(totals, func(x, y Total) int { return strings.Compare(x.Name, y.Name) })
	return totals
}

// Attrs returns totals as the attributes of a log line.
func Attrs(totals []Total) (attrs []any) {
	for _, t := range totals {
		attrs = append(attrs, slog.Int64(t.Name, t.Value))
	}
	return attrs
}
