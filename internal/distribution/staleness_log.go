package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

const (
	// staleCopyAfter is the staleness from which a local copy counts as stale: an operator should know of it, and a
	// busy source is waited for rather than left (needsSnapshot). Config.StaleAfter is another limit: of a source's
	// staleness.
	staleCopyAfter = 5 * time.Second
	// stalenessInterval is the time between two readings of the staleness.
	stalenessInterval = time.Second
)

// logStaleness logs when the local copy has become stale, and when it is so no more, until ctx ends.
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

// logStaleOrFresh logs the change that logStaleness has found; fresh is what is not stale.
func (f *Follower) logStaleOrFresh(s Status, stale bool) {
	attributes := []any{logmsg.KeyResource, f.cfg.Path.ResourceName(), "staleness", s.Staleness.Round(time.Millisecond),
		"epoch", s.Version.Epoch, "index", s.Version.Index, "complete", s.Complete}
	if stale {
		slog.Warn("local copy stale", attributes...)
		return
	}
	slog.Info("local copy fresh", attributes...)
}
