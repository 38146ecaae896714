package platform

import (
	"log/slog"
	"time"

	"harepass/internal/counters"
	"harepass/internal/logmsg"
)

// The counters of calls to discovery. Their names must not change, because the admin endpoint shows them.
var (
	pollsAnswered    = counters.New("list_calls", "served")
	watchesLost      = counters.New("list_calls", "watch_lost")
	pollsUnreachable = counters.New("list_calls", "unreachable")
	pollsRejected    = counters.New("list_calls", "rejected")
	pollsUnanswered  = counters.New("list_calls", "unanswered")
)

// outage counts and logs each failed call to discovery since its last answer, and logs the next answer.
type outage struct {
	answered time.Time // time of the last answer; before the first one, the time at which Run began
	failures int       // failures since the last answer
}

// failed counts and logs a failure, with the time until the next poll and the time until the list expires.
func (o *outage) failed(f *pollFailure, version int64, nextPoll, expires time.Duration) {
	o.failures++
	switch e := f.evidence(); {
	case f.watch:
		watchesLost.Inc()
	case e == provesUnreachable:
		pollsUnreachable.Inc()
	case e == mayBeOverloaded:
		pollsRejected.Inc()
	default:
		pollsUnanswered.Inc()
	}
	slog.Info("discovery poll failed", logmsg.KeyError, f, logmsg.KeyLatency, f.took.Round(time.Millisecond),
		"version", version, "failures", o.failures,
		"endpoint_list_age", time.Since(o.answered).Round(time.Millisecond),
		"next_poll_in", nextPoll.Round(time.Millisecond),
		"endpoint_list_expires_in", expires.Round(time.Millisecond))
}

// answeredWith records an answer with a version of the list, and logs the end of an outage.
func (o *outage) answeredWith(version int64) {
	pollsAnswered.Inc()
	if o.failures > 0 {
		slog.Info("discovery recovered", "version", version, "failures", o.failures,
			"after", time.Since(o.answered).Round(time.Millisecond))
	}
	o.answered, o.failures = time.Now(), 0
}
