// Package guard watches the process and lets the overload controller decide: it is the gate that fronts and owner
// ask, takes the owner's turns, the CPU time, the heap and the descriptors as signals, and tells changes of level.
package guard

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"harepass"
	"harepass/internal/core"
	"harepass/internal/decide/overload"
)

// Guard is a core.Gate. Set its fields, then Run.
type Guard struct {
	Clock       core.Clock
	Probe       func() Usage                 // of the process; Self, but for tests
	Descriptors func() float64               // share of those there may be that are in use; nil where that is not known
	Turning     func() time.Duration         // how long the owner's present turn has taken; nil where that is not known
	Squeeze     func(overload.Memory, int64) // what is to be done for want of memory; must not block for long
	Log         *slog.Logger

	mu      sync.Mutex
	control *overload.Controller
	turns   core.Turn
	last    Usage
	looked  time.Duration
	early   chan struct{}
	memory  overload.Memory
}

const usualParts = 4 // of a query, until some have told how many they have

// Config is a controller's configuration as far as the settings tell it: classes, and tenants with this root's part of
// their shares. Target, cores, memory and the longest advice are the installation's to say.
func Config(s harepass.Settings) overload.Config {
	c := overload.Config{Rand: rand.Float64}
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, overload.Class{Name: k.Name, Worth: k.Worth, Kept: k.Repeat != harepass.Free, Parts: usualParts})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, overload.Tenant{Name: t.Name, Share: t.Quota / float64(max(1, s.Roots))})
	}
	return c
}

// New returns a Guard for a controller's configuration.
func New(cfg overload.Config, clock core.Clock) *Guard {
	return &Guard{Clock: clock, Probe: Self, Log: slog.Default(), control: overload.New(cfg), early: make(chan struct{}, 1)}
}

// Reclass takes the classes and tenants of other settings over.
func (g *Guard) Reclass(s harepass.Settings) {
	c := Config(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.Reclass(c.Classes, c.Tenants)
}

// A query is handed from goroutine to goroutine so often at least, from its first byte to its answer's last: each time
// it waits for a core.
const handOvers = 4

const earlyWindows = 1 // waits longer than so many windows are looked at before the next one is over

// Admit implements core.Gate.
func (g *Guard) Admit(a overload.Arrival) (bool, time.Duration) {
	now := g.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.control.Admit(a, now)
	return d.OK, d.RetryIn
}

// Done implements core.Gate.
func (g *Guard) Done(parts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.control.Done(parts)
}

// Turn implements core.Gate. One that came far too late brings the next look forward.
func (g *Guard) Turn(t core.Turn) {
	g.mu.Lock()
	g.turns.Wait += t.Wait
	g.turns.Worst = max(g.turns.Worst, t.Worst)
	g.turns.Count += t.Count
	g.turns.Took = max(g.turns.Took, t.Took)
	g.turns.Open, g.turns.Held = t.Open, t.Held
	late := t.Worst > earlyWindows*g.control.Window()
	g.mu.Unlock()
	if late {
		select {
		case g.early <- struct{}{}:
		default:
		}
	}
}

// Level is the present one.
func (g *Guard) Level() overload.Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.control.Level()
}

// Run looks once a window until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	g.last, g.looked = g.Probe(), g.Clock()
	ticker := time.NewTicker(g.control.Window())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.early:
			if g.Clock()-g.looked < g.control.Window()/4 {
				continue
			}
		}
		g.look()
	}
}

// look hands the signals to the controller and passes on what it says.
func (g *Guard) look() {
	use, now := g.Probe(), g.Clock()
	s := overload.Signals{Live: use.Live}
	if span := now - g.looked; span > 0 {
		s.CPU = float64(use.CPU-g.last.CPU) / float64(span)
	}
	if g.Descriptors != nil {
		s.Descriptors = g.Descriptors()
	}
	g.mu.Lock()
	s.Held, s.Open = g.turns.Held, g.turns.Open
	if g.turns.Count > 0 {
		s.Wait = g.turns.Wait / time.Duration(g.turns.Count)
	}
	ready := runWait(g.last, use) // a program whose cores are taken falls behind before its owner does
	worst, took := g.turns.Worst, g.turns.Took
	if g.Turning != nil {
		took = max(took, g.Turning())
	}
	s.Wait = max(s.Wait, handOvers*ready, took/2) // what comes at any time of a turn waits for half of it
	g.turns = core.Turn{Open: g.turns.Open, Held: g.turns.Held}
	changed := g.control.Look(s, now)
	level, reasons := g.control.Level(), g.control.Reasons(s)
	rate, memory, excess := g.control.Limited(), g.control.Memory(), g.control.Excess(s)
	g.mu.Unlock()
	g.last, g.looked = use, now
	if changed {
		g.Log.Warn("overload", "level", level.String(), "because", strings.Join(reasons, ", "), "wait", s.Wait, "worst", worst, "ready", ready, "turn", took,
			"cores", s.CPU, "admitted_cores", rate, "live_mb", s.Live>>20, "held_mb", s.Held>>20, "memory", memory.String(),
			"descriptors", s.Descriptors, "open", s.Open)
	}
	if g.Squeeze != nil && (memory != g.memory || excess > 0) {
		g.Squeeze(memory, excess)
	}
	g.memory = memory
}
