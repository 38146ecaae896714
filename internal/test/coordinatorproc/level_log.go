package coordinatorproc

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
	"harepass/internal/test/loadgen"
)

// levelLog is a log handler that records the changes of the overload level and drops everything else.
type levelLog struct{ meter *meter }

// Enabled implements slog.Handler.
func (levelLog) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (l levelLog) Handle(_ context.Context, r slog.Record) error {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key != logmsg.KeyOverloadLevel {
			return true
		}
		l.meter.recordLevel(a.Value.String())
		return false
	})
	return nil
}

// WithAttrs implements slog.Handler.
func (l levelLog) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l levelLog) WithGroup(string) slog.Handler { return l }

// recordLevel records a change of the overload level.
func (m *meter) recordLevel(level string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change := loadgen.LevelChange{At: time.Since(m.began).Seconds(), Level: level}
	m.stats.Levels = append(m.stats.Levels, change)
}
