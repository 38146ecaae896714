package lifecycle

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/counters"
	"harepass/internal/logmsg"
)

// countersInterval is the time between two log lines with the totals.
const countersInterval = 10 * time.Second

// logCounters writes all totals periodically, if any has changed, until ctx ends. The log then
// shows what a process did, also after it was killed.
func logCounters(ctx context.Context) {
	ticker := time.NewTicker(countersInterval)
	defer ticker.Stop()
	var last []counters.Total
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if totals := counters.Totals(); !slices.Equal(totals, last) {
			slog.Info("counters", counters.Attrs(totals)...)
			last = totals
		}
	}
}

// logTotals writes all totals once.
func logTotals() { slog.Info("counters", counters.Attrs(counters.Totals())...) }

// logReady writes when a coordinator that was started at a time has left the phase Starting.
func logReady(coordinator *core.Coordinator, started time.Time) {
	<-coordinator.Started()
	slog.Info(logmsg.PhaseChanged, "phase", coordinator.Phase().String(),
		"after", time.Since(started).Round(time.Millisecond))
}
