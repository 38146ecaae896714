package distribution

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
	"harepass/internal/logmsg"
)

// Update is what one answer has changed. It may be kept after Apply has returned.
type Update struct {
	// Slice is the answer as it came, for consumers that keep a log of their own. The other fields are for those that
	// keep entries.
	Slice versionlog.Slice
	// Entries are the entries that were changed, and tombstones of removed ones, in the order of their indexes.
	Entries []versionlog.Entry
	// MissingFromSnapshot are the names that a snapshot did not hold. They come with its last slice.
	MissingFromSnapshot []string
	// Completed reports that the answer was the last slice of a snapshot.
	Completed bool
	// Complete reports that the local copy is the log's state at the slice's version.
	Complete bool
	// Source is the address of the source that answered.
	Source string
}

// Follower keeps a local copy of one resource. Use New, then Run.
type Follower struct {
	cfg       Config
	dial      http1.Dialer // cfg.Dial, with its bytes counted
	startedAt time.Time    // zero of the selector's clock

	// These are for Run's goroutine alone.
	selector *failover.Selector
	state    follower.State // which entries the local copy holds
	current  currentSource
	lag      lag
	probe    probeSlot

	// These are for any goroutine.
	status sharedStatus
	totals totals
}

// currentSource is what the answers of the source in use have shown.
type currentSource struct {
	served        bool          // it has given a good answer since it became the current one
	moreAvailable bool          // its last answer brought a new version, and announced another slice
	staleness     time.Duration // of what it had at its last good answer
}

// New returns a Follower that does nothing before Run.
func New(cfg Config) *Follower {
	now := time.Now()
	cfg = cfg.withDefaults(now)
	f := &Follower{cfg: cfg, startedAt: now, probe: newProbeSlot(),
		selector: failover.New(cfg.Locality, cfg.Sources, cfg.Rand)}
	f.status.confirmedAt = cfg.ConfirmedAt
	f.selector.SetStaleAfter(cfg.StaleAfter)
	f.state.AcceptAnySnapshot = cfg.AcceptAnySnapshot
	f.state.Seed(cfg.KnownNames)
	f.dial = f.totals.countBytes(cfg.Dial)
	return f
}

// now returns the time on the selector's clock.
func (f *Follower) now() time.Duration { return time.Since(f.startedAt) }

// Run follows the resource until ctx ends, and returns once the goroutines that it started have ended. It is called
// once.
func (f *Follower) Run(ctx context.Context) {
	var logging sync.WaitGroup
	logging.Go(func() { f.logStaleness(ctx) })
	defer logging.Wait()
	defer f.waitForProbe()
	for ctx.Err() == nil {
		source, wait := f.selector.FollowNext(f.now())
		if wait > 0 {
			sleep(ctx, wait)
			continue
		}
		f.follow(ctx, source)
	}
}

// follow polls a source, and better ones that it changes to, until the one in use is left.
func (f *Follower) follow(ctx context.Context, source failover.Source) {
	client := f.client(source)
	defer func() { client.Close() }()
	defer f.clearSource()
	for first := true; ; {
		err := f.poll(ctx, client, f.maxWait(first))
		first = false
		if ctx.Err() != nil {
			return
		}
		if !f.recordOutcome(ctx, source, err) {
			return
		}
		if better, betterClient := f.betterSource(ctx); betterClient != nil {
			client.Close()
			source, client, first = better, betterClient, true
			f.recordFollowed(source)
		}
	}
}

// client returns a client for a source. It connects at its first call.
func (f *Follower) client(source failover.Source) *http1.Client {
	return &http1.Client{Address: source.Address, Dial: f.dial,
		Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: f.cfg.MaxBody}}
}

// recordFollowed notes the first good answer of a new current source.
func (f *Follower) recordFollowed(source failover.Source) {
	f.current.served = true
	f.totals.switches.Add(1)
	f.status.setSource(source.Address)
	slog.Info(logmsg.SourceFollowed, logmsg.KeyResource, f.cfg.Resource.Name(), logmsg.KeySource, source.Address,
		"zone", source.Zone, "region", source.Region)
}

// clearSource notes that no source is followed.
func (f *Follower) clearSource() {
	f.current.served = false
	f.lag.end()
	f.status.setSource("")
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
