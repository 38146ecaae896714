package relay

import (
	"context"
	"log/slog"
	"time"

	"harepass/internal/distribution"
)

// restartPause is how long a relay waits before it begins anew with its sources.
const restartPause = 500 * time.Millisecond

// Follow keeps a resource at what other relays give out until ctx ends. The configuration's Apply is set here.
func (r *Resource) Follow(ctx context.Context, config distribution.Config) {
	for ctx.Err() == nil {
		r.followOnce(ctx, config)
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
}

// followOnce follows until ctx ends, or an answer does not fit the log: then only a snapshot helps.
func (r *Resource) followOnce(ctx context.Context, config distribution.Config) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	config.Apply = func(update distribution.Update) {
		if ctx.Err() != nil {
			return
		}
		if err := r.Apply(update.Slice); err != nil {
			slog.Warn("answer refused", "resource", config.Resource.Name(), "source", update.Source, "err", err)
			cancel()
			return
		}
		if update.Complete {
			slog.Info("version taken", "resource", config.Resource.Name(), "epoch", update.Slice.Version.Epoch,
				"index", update.Slice.Version.Index, "entries", len(update.Slice.Entries), "source", update.Source)
		}
	}
	config.ConfirmedAt = time.Now().Add(-r.currentAge())
	follower := distribution.New(config)
	r.SetStaleness(func() time.Duration { return follower.Status().Staleness })
	follower.Run(ctx)
}
