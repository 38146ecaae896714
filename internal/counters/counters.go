// Package counters holds the running totals of a process: what it accepted, closed, retried, refused and withheld, each
// with its reason. They are written to the log and told at the operators' door.
package counters

import (
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Counter is one total. It only grows.
type Counter struct {
	name  string
	total atomic.Int64
}

// Total is a counter's name and value at one moment.
type Total struct {
	Name  string
	Value int64
}

var registry struct {
	mu  sync.Mutex
	all []*Counter
}

// New registers a counter: what is counted, and the reason or kind that tells it from its siblings. It is meant for
// package variables; two of one name are told apart by nobody.
func New(what, kind string) *Counter {
	c := &Counter{name: what + "." + kind}
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.all = append(registry.all, c)
	return c
}

// Inc adds one.
func (c *Counter) Inc() { c.total.Add(1) }

// Name is what is counted, a dot, and the reason or kind.
func (c *Counter) Name() string { return c.name }

// Value is the total so far.
func (c *Counter) Value() int64 { return c.total.Load() }

// Totals lists the counters above zero, by name.
func Totals() (list []Total) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for _, c := range registry.all {
		if v := c.Value(); v > 0 {
			list = append(list, Total{c.name, v})
		}
	}
	slices.SortFunc(list, func(x, y Total) int { return strings.Compare(x.Name, y.Name) })
	return list
}

// Attrs words totals for a log line.
func Attrs(list []Total) (attrs []any) {
	for _, t := range list {
		attrs = append(attrs, slog.Int64(t.Name, t.Value))
	}
	return attrs
}
