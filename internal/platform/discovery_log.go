package platform

import (
	"log/slog"
	"time"

	"harepass/internal/counters"
)

// This file is what is counted and logged of discovery: each subscription that failed, until when nothing is asked again,
// and how old the list is meanwhile.

var (
	listCallsServed = counters.New("list_calls", "served")
	listWatchesLost = counters.New("list_calls", "watch_lost")
	listUnreachable = counters.New("list_calls", "unreachable")
	listUnanswered  = counters.New("list_calls", "unanswered")
)

// outage is a time without an answer of discovery, for the log.
type outage struct {
	answered time.Time // the last answer; the start before the first
	failures int       // since then
}

// failed logs the end of a subscription, when the next one begins, and how long the list holds still.
func (o *outage) failed(f *listFailure, version int64, pause, holds time.Duration) {
	o.failures++
	switch {
	case f.watch:
		listWatchesLost.Inc()
	case f.unreachable():
		listUnreachable.Inc()
	default:
		listUnanswered.Inc()
	}
	slog.Info("discovery lost", "err", f, "took", f.took.Round(time.Millisecond), "version", version, "failures", o.failures,
		"list_age", time.Since(o.answered).Round(time.Millisecond), "next_call_in", pause.Round(time.Millisecond), "list_expires_in", holds.Round(time.Millisecond))
}

// served notes an answer, and logs the end of an outage.
func (o *outage) served(version int64) {
	listCallsServed.Inc()
	if o.failures > 0 {
		slog.Info("discovery answers again", "version", version, "failures", o.failures, "after", time.Since(o.answered).Round(time.Millisecond))
	}
	o.answered, o.failures = time.Now(), 0
}
