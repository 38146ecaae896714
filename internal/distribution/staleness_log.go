package distribution

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/logmsg"
)

const (
	// outdatedAfter is the staleness of a local copy that an operator should know of.
	outdatedAfter = 5 * time.Second
	// stalenessInterval is the time between two looks at the staleness.
	stalenessInterval = time.Second
)

// logStaleness logs when the local copy has become outdated, and when it is fresh again, until ctx ends.
func (f *Follower) logStaleness(ctx context.Context) {
	ticker := time.NewTicker(stalenessInterval)
	defer ticker.Stop()
	outdated := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if s := f.Status(); outdated != (s.Staleness > outdatedAfter) {
			outdated = !outdated
			f.logFreshness(s, outdated)
		}
	}
}

func (f *Follower) logFreshness(s Status, outdated bool) {
	attributes := []any{logmsg.KeyResource, f.cfg.Resource.Name(), "staleness", s.Staleness.Round(time.Millisecond),
		"epoch", s.Version.Epoch, "index", s.Version.Index, "complete", s.Complete}
	if outdated {
		slog.Warn("local copy stale", attributes...)
		return
	}
	slog.Info("local copy fresh", attributes...)
}
