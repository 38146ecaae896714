package loadshed

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/scatter"
	"harepass/internal/logmsg"
)

const (
	// earlyWaitWindows is the wait, in observation windows, above which a tick triggers an early observation.
	earlyWaitWindows = 1
	// maxObservationsPerWindow bounds the observations in one window, including early ones.
	maxObservationsPerWindow = 4
)

// Shedder is a core.Admitter that sheds load. Use New, set the exported fields, then start Run. Any goroutine may call
// its methods at any time, except Run.
type Shedder struct {
	Clock core.Clock
	// Measure returns the resource usage of the process. It is ReadUsage except in tests.
	Measure func() Usage
	// DescriptorFraction returns the file descriptors in use as a fraction of the limit. It is nil if that is not
	// known.
	DescriptorFraction func() float64
	// TickElapsed returns how long the coordinator's current tick has taken. It is nil if that is not known.
	TickElapsed func() time.Duration
	// RelieveMemory is called by Run when the memory level changes, and while there are excess bytes, with both values.
	// Run makes no observation while RelieveMemory blocks. core.Coordinator.RelieveMemory blocks while the
	// coordinator's queue is full, so a tick that hangs can delay the next observation until it ends. RelieveMemory is
	// nil if memory is not relieved.
	RelieveMemory func(level overload.MemoryLevel, excessBytes int64)
	Log           *slog.Logger

	early chan struct{} // requests an observation by Run before the window is over

	mu         sync.Mutex
	controller *overload.Controller
	ticks      core.Tick // ticks since the last observation, combined by addTick

	// Only Run uses the following fields.
	usage       Usage         // usage at the last observation
	observedAt  time.Duration // instant of the last observation
	memoryLevel overload.MemoryLevel
}

// New returns a Shedder for a controller's configuration.
func New(cfg overload.Config, clock core.Clock) *Shedder {
	return &Shedder{
		Clock: clock, Measure: ReadUsage, Log: slog.Default(),
		controller: overload.New(cfg), early: make(chan struct{}, 1),
	}
}

// SetClasses applies the classes and tenants of new settings.
func (s *Shedder) SetClasses(settings scatter.Settings) {
	cfg := ControllerConfig(settings)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.SetClasses(cfg.Classes, cfg.Tenants)
}

// Admit implements core.Admitter.
func (s *Shedder) Admit(a overload.Arrival) (ok bool, retryAfter time.Duration) {
	now := s.Clock()
	s.mu.Lock()
	defer s.unlock()
	d := s.controller.Admit(a, now)
	return d.Admitted, d.RetryAfter
}

// unlock ends a critical section in a request's goroutine. A panic under the lock ends the process, although servers
// recover from panics of their handlers: all requests depend on the controller, whose state may be half changed.
func (s *Shedder) unlock() {
	if v := recover(); v != nil {
		stack := debug.Stack()
		go panic(fmt.Sprintf("%v under the shedder's lock\n%s", v, stack)) // no recover applies to that goroutine
		select {}
	}
	s.mu.Unlock()
}

// QueryDone implements core.Admitter.
func (s *Shedder) QueryDone(parts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controller.QueryDone(parts)
}

// ObserveTick implements core.Admitter. A tick in which a message or timer waited too long triggers an early
// observation.
func (s *Shedder) ObserveTick(t core.Tick) {
	s.mu.Lock()
	s.addTick(t)
	waitedTooLong := t.MaxWait > earlyWaitWindows*s.controller.Interval()
	s.mu.Unlock()
	if waitedTooLong {
		select {
		case s.early <- struct{}{}:
		default:
		}
	}
}

// addTick combines a tick with those since the last observation: it sums TotalWait and Count, keeps the maximum of
// MaxWait and Duration, and replaces OpenFraction and QueryBytes. The caller must hold the lock.
func (s *Shedder) addTick(t core.Tick) {
	s.ticks.TotalWait += t.TotalWait
	s.ticks.MaxWait = max(s.ticks.MaxWait, t.MaxWait)
	s.ticks.Count += t.Count
	s.ticks.Duration = max(s.ticks.Duration, t.Duration)
	s.ticks.OpenFraction, s.ticks.QueryBytes = t.OpenFraction, t.QueryBytes
}

// Level returns the current overload level.
func (s *Shedder) Level() overload.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Level()
}

// Run observes the process once per window until ctx is done. It is called once, in a goroutine of the caller. It
// checks ctx only between observations, so it returns late while RelieveMemory blocks.
func (s *Shedder) Run(ctx context.Context) {
	s.usage, s.observedAt = s.Measure(), s.Clock()
	ticker := time.NewTicker(s.controller.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.early:
			if s.Clock()-s.observedAt < s.controller.Interval()/maxObservationsPerWindow {
				continue
			}
		}
		s.observe()
	}
}

// observe passes a window's signals to the controller and applies the controller's decisions.
func (s *Shedder) observe() {
	usage, now := s.Measure(), s.Clock()
	sample := sample{cpuUsed: cpuUsed(s.usage, usage, now-s.observedAt), liveBytes: usage.LiveBytes,
		schedulingWait: schedulingWait(s.usage, usage)}
	if s.DescriptorFraction != nil {
		sample.descriptorFraction = s.DescriptorFraction()
	}
	s.mu.Lock()
	sample.ticks = s.ticks
	if s.TickElapsed != nil { // a tick that hangs is not reported by ObserveTick
		sample.ticks.Duration = max(sample.ticks.Duration, s.TickElapsed())
	}
	s.ticks = core.Tick{OpenFraction: s.ticks.OpenFraction, QueryBytes: s.ticks.QueryBytes}
	signals := sample.signals()
	changed := s.controller.Observe(signals, now)
	v := verdict{
		level: s.controller.Level(), reasons: s.controller.Reasons(signals), admittedRate: s.controller.AdmittedRate(),
		memoryLevel: s.controller.MemoryLevel(), excessBytes: s.controller.ExcessBytes(signals),
	}
	s.mu.Unlock()
	s.usage, s.observedAt = usage, now
	if changed {
		s.logLevel(v, signals, sample)
	}
	if s.RelieveMemory != nil && (v.memoryLevel != s.memoryLevel || v.excessBytes > 0) {
		s.RelieveMemory(v.memoryLevel, v.excessBytes)
	}
	s.memoryLevel = v.memoryLevel
}

// verdict is the controller's decision after an observation.
type verdict struct {
	level        overload.Level
	reasons      []string
	admittedRate float64 // admitted cost, in core seconds per second
	memoryLevel  overload.MemoryLevel
	excessBytes  int64
}

// logLevel logs a change of level. Single queries are not logged: under overload there would be too many lines.
func (s *Shedder) logLevel(v verdict, signals overload.Signals, sample sample) {
	s.Log.Warn(logmsg.OverloadLevelChanged,
		logmsg.KeyOverloadLevel, v.level.String(),
		logmsg.KeyOverloadReasons, strings.Join(v.reasons, ", "),
		logmsg.KeyMeanWait, signals.MeanWait,
		"max_wait", sample.ticks.MaxWait,
		"scheduling_wait", sample.schedulingWait,
		"tick_duration", sample.ticks.Duration,
		"cores_used", signals.CoresUsed,
		"cores_admitted", v.admittedRate,
		"live_heap_mb", signals.LiveBytes>>20,
		"query_mb", signals.QueryBytes>>20,
		"memory_level", v.memoryLevel.String(),
		"descriptor_fraction", signals.DescriptorFraction,
		"open_fraction", signals.OpenFraction)
}
