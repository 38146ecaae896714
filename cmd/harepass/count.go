package main

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"harepass/internal/core"
	"harepass/internal/counters"
)

// This file writes the totals of the process to the log, so that what a coordinator did can be told when it is gone.

const countersEvery = 10 * time.Second

// logCounters writes all totals now and then, where any has changed, until ctx ends.
func logCounters(ctx context.Context) {
	ticker := time.NewTicker(countersEvery)
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

// logReady writes when a coordinator that was started at a time has left the phase Starting.
func logReady(owner *core.Coordinator, started time.Time) {
	<-owner.Started()
	slog.Info("phase", "is", owner.Phase().String(), "after", time.Since(started).Round(time.Millisecond))
}

// logTotals writes all totals once.
func logTotals() { slog.Info("counters", counters.Attrs(counters.Totals())...) }
