package inputfile

import (
	"context"
	"time"

	"harepass/internal/decide/stability"
)

// ReloadWindows are the times for a file that a running process reads again. Waiting costs little then, since the
// process serves on with what it has.
var ReloadWindows = stability.Windows{Settled: time.Second, Suspect: 3 * time.Second, Writing: 30 * time.Second}

// StartWindows are the times for the files of a process that starts, and that serves nobody meanwhile.
var StartWindows = stability.Windows{Settled: time.Second, Suspect: 3 * time.Second, Writing: 3 * time.Second}

// lookInterval is the time between two looks at a file that does not count as complete yet.
const lookInterval = 250 * time.Millisecond

// WaitStable calls look until the file counts as complete after that look, or ctx is done. It calls waiting after each
// look that does not suffice. The error is the cause of ctx.
func WaitStable(ctx context.Context, w stability.Windows, look func() stability.Look,
	waiting func(stability.Reason)) error {
	began := time.Now()
	var tracker stability.Tracker
	for {
		reason := tracker.Observe(look(), time.Since(began), w)
		if reason == stability.Stable {
			return nil
		}
		waiting(reason)
		if err := sleep(ctx, lookInterval); err != nil {
			return err
		}
	}
}

// sleep waits for a time. Its error is the cause of ctx if that is done before.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
