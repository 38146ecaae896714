// Package loadshed watches the process and lets the overload controller decide: it is the gate that fronts and owner
// ask, takes the owner's turns, the CPU time, the heap and the descriptors as signals, and tells changes of level.
package loadshed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
)

// Shedder is a core.Gate. Set its fields, then Run.
type Shedder struct {
	Clock         core.Clock
	Measure       func() Usage                      // of the process; Self, but for tests
	Descriptors   func() float64                    // share of those there may be that are in use; nil where that is not known
	TickElapsed   func() time.Duration              // how long the owner's present turn has taken; nil where that is not known
	RelieveMemory func(overload.MemoryLevel, int64) // what is to be done for want of memory; must not block for long
	Log           *slog.Logger

	mu      sync.Mutex
	control *overload.Controller
	turns   core.Tick
	last    Usage
	looked  time.Duration
	early   chan struct{}
	memory  overload.MemoryLevel
}

const usualParts = 4 // of a query, until some have told how many they have

// ControllerConfig is a controller's configuration as far as the settings tell it: classes, and tenants with this root's part of
// their shares. Target, cores, memory and the longest advice are the installation's to say.
func ControllerConfig(s scatter.Settings) overload.Config {
	c := overload.Config{Rand: rand.Float64}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, overload.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, NonIdempotent: k.Idempotency != scatter.Idempotent, TypicalParts: usualParts})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, overload.Tenant{Name: t.Name, Quota: t.Quota / float64(max(1, s.Coordinators))})
	}
	return c
}

// New returns a Guard for a controller's configuration.
func New(cfg overload.Config, clock core.Clock) *Shedder {
	return &Shedder{Clock: clock, Measure: Self, Log: slog.Default(), control: overload.New(cfg), early: make(chan struct{}, 1)}
}

// SetClasses takes the classes and tenants of other settings over.
func (g *Shedder) SetClasses(s scatter.Settings) {
	c := ControllerConfig(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.SetClasses(c.Classes, c.Tenants)
}

// A query is handed from goroutine to goroutine so often at least, from its first byte to its answer's last: each time
// it waits for a core.
const handOvers = 4

const earlyWindows = 1 // waits longer than so many windows are looked at before the next one is over

// Admit implements core.Gate.
func (g *Shedder) Admit(a overload.Arrival) (bool, time.Duration) {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.control.Admit(a, now)
	return d.Admitted, d.RetryAfter
}

// QueryDone implements core.Gate.
func (g *Shedder) QueryDone(parts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.QueryDone(parts)
}

// ObserveTick implements core.Gate. One that came far too late brings the next look forward.
func (g *Shedder) ObserveTick(t core.Tick) {
	g.mu.Lock()
	g.turns.TotalWait += t.TotalWait
	g.turns.MaxWait = max(g.turns.MaxWait, t.MaxWait)
	g.turns.Count += t.Count
	g.turns.Duration = max(g.turns.Duration, t.Duration)
	g.turns.OpenFraction, g.turns.QueryBytes = t.OpenFraction, t.QueryBytes
	late := t.MaxWait > earlyWindows*g.control.Interval()
	g.mu.Unlock()
	if late {
		select {
		case g.early <- struct{}{}:
		default:
		}
	}
}

// Level is the present one.
func (g *Shedder) Level() overload.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Level()
}

// Run looks once a window until ctx is done.
func (g *Shedder) Run(ctx context.Context) {
	g.last, g.looked = g.Measure(), g.Clock()
	ticker := time.NewTicker(g.control.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.early:
			if g.Clock()-g.looked < g.control.Interval()/4 {
				continue
			}
		}
		g.look()
	}
}

// look hands the signals to the controller and passes on what it says.
func (g *Shedder) look() {
	use, now := g.Measure(), g.Clock()
	s := overload.Signals{LiveBytes: use.Live}
	if span := now - g.looked; span > 0 {
		s.CoresUsed = float64(use.CPU-g.last.CPU) / float64(span)
	}
	if g.Descriptors != nil {
		s.DescriptorFraction = g.Descriptors()
	}
	g.mu.Lock()
	s.QueryBytes, s.OpenFraction = g.turns.QueryBytes, g.turns.OpenFraction
	if g.turns.Count > 0 {
		s.MeanWait = g.turns.TotalWait / time.Duration(g.turns.Count)
	}
	ready := runWait(g.last, use) // a program whose cores are taken falls behind before its owner does
	worst, took := g.turns.MaxWait, g.turns.Duration
	if g.TickElapsed != nil {
		took = max(took, g.TickElapsed())
	}
	s.MeanWait = max(s.MeanWait, handOvers*ready, took/2) // what comes at any time of a turn waits for half of it
	g.turns = core.Tick{OpenFraction: g.turns.OpenFraction, QueryBytes: g.turns.QueryBytes}
	changed := g.control.Observe(s, now)
	level, reasons := g.control.Level(), g.control.Reasons(s)
	rate, memory, excess := g.control.AdmittedRate(), g.control.MemoryLevel(), g.control.ExcessBytes(s)
	g.mu.Unlock()
	g.last, g.looked = use, now
	if changed {
		g.Log.Warn("overload", "level", level.String(), "because", strings.Join(reasons, ", "), "wait", s.MeanWait, "worst", worst, "ready", ready, "turn", took,
			"cores", s.CoresUsed, "admitted_cores", rate, "live_mb", s.LiveBytes>>20, "held_mb", s.QueryBytes>>20, "memory", memory.String(),
			"descriptors", s.DescriptorFraction, "open", s.OpenFraction)
	}
	if g.RelieveMemory != nil && (memory != g.memory || excess > 0) {
		g.RelieveMemory(memory, excess)
	}
	g.memory = memory
}
