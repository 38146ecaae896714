package coordinatorproc

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"harepass/internal/core"
	"harepass/internal/decide/overload"
	"harepass/internal/loadshed"
	"harepass/internal/logmsg"
	"harepass/internal/test/loadgen"
)

// meter is the gate of a process, a guard's or one that admits all, and keeps its figures.
type meter struct {
	*loadshed.Shedder // nil admits all
	began             time.Time

	mu    sync.Mutex
	waits *hdrhistogram.Histogram // of the loop, in microseconds
	stats Stats
}

func newMeter() *meter {
	return &meter{began: time.Now(), waits: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// sumUp is what has been measured until now.
func (m *meter) sumUp() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Wait99MS = float64(m.waits.ValueAtPercentile(99)) / 1000
	m.stats.CPU = loadshed.ReadUsage().CPU.Seconds()
	return m.stats
}

// Admit implements core.Gate.
func (m *meter) Admit(a overload.Arrival) (ok bool, retryIn time.Duration) {
	if ok = true; m.Shedder != nil {
		ok, retryIn = m.Shedder.Admit(a)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.stats.Admitted++
	} else {
		m.stats.Refused++
	}
	return ok, retryIn
}

// Done implements core.Gate.
func (m *meter) QueryDone(parts int) {
	if m.Shedder != nil {
		m.Shedder.QueryDone(parts)
	}
}

// Turn implements core.Gate.
func (m *meter) ObserveTick(t core.Tick) {
	if m.Shedder != nil {
		m.Shedder.ObserveTick(t)
	}
	if t.Count == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	mean := (t.TotalWait / time.Duration(t.Count)).Microseconds()
	m.waits.RecordValues(min(mean, m.waits.HighestTrackableValue()), int64(t.Count))
	worst := float64(t.MaxWait) / float64(time.Millisecond)
	m.stats.WaitMaxMS = max(m.stats.WaitMaxMS, worst)
	at := float64(int(time.Since(m.began).Seconds()*10)) / 10
	if n := len(m.stats.Waits); n == 0 || m.stats.Waits[n-1].At != at {
		m.stats.Waits = append(m.stats.Waits, loadgen.Point{At: at, Value: worst})
	} else {
		m.stats.Waits[n-1].Value = max(m.stats.Waits[n-1].Value, worst)
	}
}

// watchHeap keeps the most that was live.
func (m *meter) watchHeap(ctx context.Context) {
	for ctx.Err() == nil {
		live := float64(loadshed.ReadUsage().LiveBytes) / (1 << 20)
		m.mu.Lock()
		m.stats.LiveMB = max(m.stats.LiveMB, live)
		m.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// levelLog is a log handler that keeps the changes of level.
type levelLog struct{ m *meter }

// Enabled implements slog.Handler.
func (levelLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l levelLog) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == logmsg.KeyOverloadLevel {
			l.m.mu.Lock()
			l.m.stats.Levels = append(l.m.stats.Levels, loadgen.LevelChange{At: time.Since(l.m.began).Seconds(), Level: a.Value.String()})
			l.m.mu.Unlock()
		}
		return a.Key != logmsg.KeyOverloadLevel
	})
	return nil
}

// WithAttrs implements slog.Handler.
func (l levelLog) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l levelLog) WithGroup(string) slog.Handler { return l }
