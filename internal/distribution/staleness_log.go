package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

const (
	// outdatedAfter is the staleness of a local copy that an operator should know of.
	staleCopyAfter = 5 * time.Second
	// stalenessInterval is the time between two looks at the staleness.
	stalenessInterval = time.Second
)

// logStaleness logs when the local copy has become outdated, and when it is fresh again, until ctx ends.
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

func (f *Follower) logStaleOrFresh(s Status, stale bool) {
	attributes := []any{logmsg.KeyResource, f.cfg.Path.ResourceName(), "staleness", s.Staleness.Round(time.Millisecond),
		"epoch", s.Version.Epoch, "index", s.Version.Index, "complete", s.Complete}
	if stale {
		slog.Warn("local copy stale", attributes...)
		return
	}
	slog.Info("local copy fresh", attributes...)
}
