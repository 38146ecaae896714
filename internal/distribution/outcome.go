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
	// behindTolerance is for how long a source may be behind before it is left: it may be about to hear of what the
	// local copy has.
	behindTolerance = 300 * time.Millisecond
	// behindInterval is the wait between two polls of a source that is behind.
	behindInterval = 50 * time.Millisecond
)

// recordOutcome tells the selector what came of a poll, and reports whether the source is to be followed on. err is nil
// where its answer was applied.
func (f *Follower) recordOutcome(ctx context.Context, source failover.Source, err error) (stay bool) {
	if err == nil {
		f.recordServed(source)
		return true
	}
	if reasonOf(err) == failover.Behind && f.lag.tolerates(time.Now()) {
		sleep(ctx, behindInterval)
		return true
	}
	var busy busyError
	if errors.As(err, &busy) && f.needsSnapshot() {
		slog.Debug("source busy", logmsg.KeyResource, f.cfg.Resource.Name(), logmsg.KeySource, source.Address,
			"retry_after", busy.retryAfter)
		f.selector.Rejected(f.now(), busy.retryAfter)
		return false
	}
	f.leave(ctx, source, err)
	return false
}

// recordServed notes an answer that was applied.
func (f *Follower) recordServed(source failover.Source) {
	f.lag.end()
	if !f.current.served {
		f.recordFollowed(source)
	}
	f.selector.Succeeded(f.now())
	f.selector.RecordStaleness(f.now(), f.current.staleness)
}

// leave gives up the source in use for an error. One that has never served is logged for debugging only: it may be
// retried for hours.
func (f *Follower) leave(ctx context.Context, source failover.Source, err error) {
	level := slog.LevelDebug
	if f.current.served {
		level = slog.LevelInfo
	}
	reason := reasonOf(err)
	slog.Log(ctx, level, logmsg.SourceLeft, logmsg.KeyResource, f.cfg.Resource.Name(), logmsg.KeySource, source.Address,
		logmsg.KeyReason, reason.String(), logmsg.KeyError, err)
	f.selector.Leave(f.now(), reason)
}

// needsSnapshot reports whether a busy source is worth waiting for: there is no complete local copy yet, or one so
// stale that no other source is likely to remember all that has changed since. With a fresh copy the next source can
// go on.
func (f *Follower) needsSnapshot() bool {
	return !f.state.Complete() || f.Status().Staleness > outdatedAfter
}

// reasonOf returns why a source whose poll or probe ended with an error is left.
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

// lag is for how long the answers have been older than the local copy.
type lag struct {
	since time.Time // when they began to be; zero while they are not
}

// isBehind reports whether the last answer was older than the local copy.
func (l *lag) isBehind() bool { return !l.since.IsZero() }

// tolerates notes an answer that was older than the local copy, and reports whether its source may be polled again.
func (l *lag) tolerates(now time.Time) bool {
	if l.since.IsZero() {
		l.since = now
	}
	return now.Sub(l.since) < behindTolerance
}

// end notes an answer that was not older, or that no source is followed.
func (l *lag) end() { l.since = time.Time{} }
