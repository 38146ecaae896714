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
	// earlyWaitWindows is the wait, in windows, from which the next observation comes before its window is over.
	earlyWaitWindows = 1
	// maxObservationsPerWindow bounds how often the process is observed in one window, early observations included.
	maxObservationsPerWindow = 4
)

// Shedder is a core.Admitter. Use New, set the exported fields, then start Run. Its methods other than Run may be
// called from any goroutine at any time.
type Shedder struct {
	Clock core.Clock
	// Measure reads what the process has used; ReadUsage outside tests.
	Measure func() Usage
	// DescriptorFraction returns the descriptors in use as a fraction of the limit; nil where that is not known.
	DescriptorFraction func() float64
	// TickElapsed returns how long the coordinator's present tick has taken; nil where that is not known.
	TickElapsed func() time.Duration
	// RelieveMemory is called by Run when the memory level changes, and while bytes are in excess, with both. Run
	// observes nothing while it blocks. core.Coordinator.RelieveMemory does so while the coordinator's queue is full:
	// under a tick that hangs, no further window is observed until it ends. Nil where nobody relieves memory.
	RelieveMemory func(level overload.MemoryLevel, excessBytes int64)
	Log           *slog.Logger

	early chan struct{} // asks Run for an observation before its window is over

	mu         sync.Mutex
	controller *overload.Controller
	ticks      core.Tick // since the last observation; see addTick

	// Only Run uses these.
	usage       Usage         // at the last observation
	observedAt  time.Duration // when the last observation was
	memoryLevel overload.MemoryLevel
}

// New returns a Shedder for a controller's configuration.
func New(cfg overload.Config, clock core.Clock) *Shedder {
	return &Shedder{
		Clock: clock, Measure: ReadUsage, Log: slog.Default(),
		controller: overload.New(cfg), early: make(chan struct{}, 1),
	}
}

// SetClasses takes over the classes and tenants of new settings.
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

// unlock ends a locked section of a request's goroutine. Under the lock a panic ends the process, although servers recover
// from those of their handlers: all requests go by the controller, and it may be half changed.
func (s *Shedder) unlock() {
	if v := recover(); v != nil {
		stack := debug.Stack()
		go panic(fmt.Sprintf("%v under the shedder's lock\n%s", v, stack)) // nobody recovers in that goroutine
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

// ObserveTick implements core.Admitter. A tick in which something waited far too long has Run observe early.
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

// addTick takes in a tick: TotalWait and Count are summed up, of MaxWait and Duration the longest counts, and
// OpenFraction and QueryBytes are those of the latest tick. It is called under the lock.
func (s *Shedder) addTick(t core.Tick) {
	s.ticks.TotalWait += t.TotalWait
	s.ticks.MaxWait = max(s.ticks.MaxWait, t.MaxWait)
	s.ticks.Count += t.Count
	s.ticks.Duration = max(s.ticks.Duration, t.Duration)
	s.ticks.OpenFraction, s.ticks.QueryBytes = t.OpenFraction, t.QueryBytes
}

// Level returns the present level.
func (s *Shedder) Level() overload.Level {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.controller.Level()
}

// Run observes the process once a window until ctx is done. It is called once; its caller owns the goroutine. It
// notices the end of ctx only between observations, so it returns late while RelieveMemory blocks.
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

// observe hands a window's signals to the controller and passes on what it decides.
func (s *Shedder) observe() {
	usage, now := s.Measure(), s.Clock()
	sample := sample{cpuUsed: cpuUsed(s.usage, usage, now-s.observedAt), liveBytes: usage.LiveBytes,
		schedulingWait: schedulingWait(s.usage, usage)}
	if s.DescriptorFraction != nil {
		sample.descriptorFraction = s.DescriptorFraction()
	}
	s.mu.Lock()
	sample.ticks = s.ticks
	if s.TickElapsed != nil { // a tick that does not end reports nothing by itself
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

// verdict is what the controller says after an observation.
type verdict struct {
	level        overload.Level
	reasons      []string
	admittedRate float64 // cost that is admitted, in core seconds a second
	memoryLevel  overload.MemoryLevel
	excessBytes  int64
}

// logLevel writes a line for a change of level. There is none for single queries: under overload there would be too
// many.
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
