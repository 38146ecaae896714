package relay

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/distribution"
	"harepass/internal/logmsg"
)

// restartBackoff is the wait before a relay starts over with a snapshot from one of its sources.
const restartBackoff = 500 * time.Millisecond

// Follow keeps the resource at the newest version of the sources in config until ctx ends. It sets config's Apply and
// ConfirmedAt.
func (r *Resource) Follow(ctx context.Context, config distribution.Config) {
	for ctx.Err() == nil {
		r.followOnce(ctx, config)
		select {
		case <-ctx.Done():
		case <-time.After(restartBackoff):
		}
	}
}

// followOnce follows the sources until ctx ends or the log rejects an answer. After a rejection the Follower's state
// differs from the log, and only a new Follower asks for a snapshot.
func (r *Resource) followOnce(ctx context.Context, config distribution.Config) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	config.Apply = func(update distribution.Update) {
		if ctx.Err() != nil {
			return
		}
		version := update.Slice.Version
		if err := r.Apply(update.Slice); err != nil {
			slog.Warn("answer rejected", logmsg.KeyResource, config.Path.ResourceName(),
				logmsg.KeySource, update.Source, logmsg.KeyError, err)
			cancel()
			return
		}
		if update.Complete {
			slog.Info("version applied", logmsg.KeyResource, config.Path.ResourceName(), "epoch", version.Epoch,
				"index", version.Index, "entries", len(update.Slice.Entries), logmsg.KeySource, update.Source)
		}
	}
	config.ConfirmedAt = time.Now().Add(-r.currentStaleness())
	follower := distribution.New(config)
	r.SetStalenessFunc(func() time.Duration { return follower.Status().Staleness })
	follower.Run(ctx)
}
