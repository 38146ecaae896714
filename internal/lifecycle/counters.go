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

// logCounters logs all totals once per countersInterval, if any has changed, until ctx is done. So the log shows what a
// process did, even if it was killed.
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

// logTotals logs all totals once.
func logTotals() { slog.Info("counters", counters.Attrs(counters.Totals())...) }

// logReady waits until a coordinator has left the phase Starting, and logs the time that this took since its start.
func logReady(coordinator *core.Coordinator, started time.Time) {
	<-coordinator.Started()
	slog.Info(logmsg.PhaseChanged, "phase", coordinator.Phase().String(),
		"after", time.Since(started).Round(time.Millisecond))
}
