package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

const (
	// staleCopyAfter is the staleness above which the local copy counts as stale: the Follower logs this for operators,
	// and waits for a busy source instead of leaving it (needsSnapshot). Config.StaleAfter is a separate limit, for the
	// staleness of a source.
	staleCopyAfter = 5 * time.Second
	// stalenessInterval is the time between two checks of the staleness.
	stalenessInterval = time.Second
)

// logStaleness logs each time that the local copy becomes stale or fresh again, until ctx ends.
func (f *Follower) logStaleness(ctx context.Context) {
	ticker := time.NewTicker(stalenessInterval)
	defer ticker.Stop()
	stale := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s := f.Status(); stale != (s.Staleness > staleCopyAfter) {
			stale = !stale
			f.logStaleOrFresh(s, stale)
		}
	}
}

// logStaleOrFresh logs that the local copy has become stale, or is fresh (not stale) again.
func (f *Follower) logStaleOrFresh(s Status, stale bool) {
	attributes := []any{logmsg.KeyResource, f.cfg.Path.ResourceName(), "staleness", s.Staleness.Round(time.Millisecond),
		"epoch", s.Version.Epoch, "index", s.Version.Index, "complete", s.Complete}
	if stale {
		slog.Warn("local copy stale", attributes...)
		return
	}
	slog.Info("local copy fresh", attributes...)
}
