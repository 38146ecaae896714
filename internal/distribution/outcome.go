package distribution

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/follower"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

const (
	// behindTolerance is how long the current source may be behind the local copy before the Follower leaves it. The
	// source may be about to receive the versions that the local copy has.
	behindTolerance = 300 * time.Millisecond
	// behindInterval is the wait between two polls of a source that is behind the local copy.
	behindInterval = 50 * time.Millisecond
)

// handleOutcome reports the outcome of a poll to the selector, and returns whether the Follower stays with the source.
// err is nil if the answer was applied. If the source is behind the local copy and is tolerated, handleOutcome sleeps
// for behindInterval.
func (f *Follower) handleOutcome(ctx context.Context, source failover.Source, err error) (stay bool) {
	if err == nil {
		f.recordServed(source)
		return true
	}
	if reasonOf(err) == failover.Behind && f.lag.recordBehind(time.Now()) {
		sleep(ctx, behindInterval)
		return true
	}
	var busy busyError
	if errors.As(err, &busy) && f.needsSnapshot() {
		slog.Debug("source busy", logmsg.KeyResource, f.cfg.Path.ResourceName(), logmsg.KeySource, source.Address,
			"retry_after", busy.retryAfter)
		f.selector.Rejected(f.now(), busy.retryAfter)
		return false
	}
	f.leave(ctx, source, err)
	return false
}

// recordServed records that an answer of the current source was applied.
func (f *Follower) recordServed(source failover.Source) {
	f.lag.reset()
	if !f.current.served {
		f.recordFollowed(source)
	}
	f.selector.Succeeded(f.now())
	f.selector.RecordStaleness(f.now(), f.current.staleness)
}

// leave gives up the current source because of an error. If the source has sent no usable answer since it became the
// current one, the line is logged at debug level only: such a source may be retried for hours.
func (f *Follower) leave(ctx context.Context, source failover.Source, err error) {
	level := slog.LevelDebug
	if f.current.served {
		level = slog.LevelInfo
	}
	reason := reasonOf(err)
	slog.Log(ctx, level, logmsg.SourceLeft, logmsg.KeyResource, f.cfg.Path.ResourceName(),
		logmsg.KeySource, source.Address, logmsg.KeyReason, reason.String(), logmsg.KeyError, err)
	f.selector.Leave(f.now(), reason)
}

// needsSnapshot reports whether the Follower waits for a busy source instead of leaving it. It waits if the local copy
// is not complete, or if its staleness exceeds staleCopyAfter, because then no other source is likely to remember all
// changes since. A fresher copy can be updated by the next source.
func (f *Follower) needsSnapshot() bool {
	return !f.state.Complete() || f.Status().Staleness > staleCopyAfter
}

// reasonOf returns why a source is left, or not followed, after a poll or probe of it has failed with err.
func reasonOf(err error) failover.Reason {
	var protocol *http1.Error
	var timeout net.Error
	switch {
	case errors.Is(err, follower.ErrBehind):
		return failover.Behind
	case errors.Is(err, follower.ErrInvalid), errors.Is(err, ErrInvalid), errors.As(err, &protocol):
		return failover.Invalid
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timeout) && timeout.Timeout():
		return failover.Silent
	}
	return failover.Failed
}

// lag measures how long the current source has been behind the local copy.
type lag struct {
	since time.Time // time of the first answer that showed the source to be behind; zero while it is not behind
}

// isBehind reports whether the last answer showed the source to be behind the local copy.
func (l *lag) isBehind() bool { return !l.since.IsZero() }

// recordBehind records an answer that showed the source to be behind the local copy. It reports whether the source is
// tolerated, that is, may be polled again: it is until behindTolerance has passed since the first such answer.
func (l *lag) recordBehind(now time.Time) bool {
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since) < behindTolerance
}

// reset records an answer that was applied, or that no source is followed.
func (l *lag) reset() { l.since = time.Time{} }
