package distribution

import (
	"context"
	"log/slog"
	"time"
)

const (
	// oldAfter is the age from which on what a reader has is logged as old.
	oldAfter = 5 * time.Second
	// ageEvery is how often the age is looked at.
	ageEvery = time.Second
)

// watchAge logs when what the follower has grows old, and when it is fresh again.
func (f *Follower) watchAge(ctx context.Context) {
	tick := time.NewTicker(ageEvery)
	defer tick.Stop()
	old := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s := f.Status(); old != (s.Staleness > oldAfter) {
			old = !old
			f.logAge(s, old)
		}
	}
}

func (f *Follower) logAge(s Status, old bool) {
	attributes := []any{"resource", f.cfg.Resource.Name(), "age", s.Staleness.Round(time.Millisecond), "epoch", s.Version.Epoch, "index", s.Version.Index, "whole", s.Complete}
	if old {
		slog.Warn("no fresh version", attributes...)
		return
	}
	slog.Info("versions are fresh again", attributes...)
}
