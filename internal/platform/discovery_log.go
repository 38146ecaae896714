package platform

import (
	"errors"
	"log/slog"
	"time"

	"harepass/internal/counters"
)

// This file is what is counted and logged of discovery: each subscription that failed, until when nothing is asked again,
// and how old the list is meanwhile.

const (
	slowFailure = 250 * time.Millisecond // a call that fails later than this has waited in vain
)

var (
	listCallsServed  = counters.New("list_calls", "served")
	listWatchesLost  = counters.New("list_calls", "watch_lost")
	listFailedAtOnce = counters.New("list_calls", "failed_at_once")
	listFailedLate   = counters.New("list_calls", "failed_late")
)

// outage is a time without an answer of discovery, for the log.
type outage struct {
	answered time.Time // the last answer; the start before the first
	failures int       // since then
}

// failed logs the end of a subscription whose last call took so long, and when the next one begins.
func (o *outage) failed(err error, version int64, took, pause time.Duration) {
	o.failures++
	switch {
	case errors.Is(err, errLost):
		listWatchesLost.Inc()
	case took < slowFailure:
		listFailedAtOnce.Inc()
	default:
		listFailedLate.Inc()
	}
	slog.Info("discovery lost", "err", err, "took", took.Round(time.Millisecond), "version", version, "failures", o.failures,
		"list_age", time.Since(o.answered).Round(time.Millisecond), "next_call_in", pause.Round(time.Millisecond))
}

// served notes an answer, and logs the end of an outage.
func (o *outage) served(version int64) {
	listCallsServed.Inc()
	if o.failures > 0 {
		slog.Info("discovery answers again", "version", version, "failures", o.failures, "after", time.Since(o.answered).Round(time.Millisecond))
	}
	o.answered, o.failures = time.Now(), 0
}
