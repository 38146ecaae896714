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

// Update is what one answer has changed. Config.Apply may keep it after it has returned.
type Update struct {
	// Slice is the answer as received. Relays apply it to their own version log. Consumers that keep entries use
	// Entries and MissingFromSnapshot instead, and only the slice's version.
	Slice versionlog.Slice
	// Entries are the changed entries and the tombstones of removed entries, in the order of their indexes.
	Entries []versionlog.Entry
	// MissingFromSnapshot are the names in the local copy that a snapshot did not contain. They are reported with the
	// snapshot's last slice.
	MissingFromSnapshot []string
	// SnapshotCompleted reports that the answer was the last slice of a snapshot.
	SnapshotCompleted bool
	// Complete reports that the local copy has the whole state of the source's log at the slice's version, and
	// that no newer version is known.
	Complete bool
	// Source is the address of the source that answered.
	Source string
}

// Follower keeps a local copy of one resource. Create it with New, and start it with Run.
type Follower struct {
	cfg       Config
	dial      http1.Dialer // cfg.Dial; its connections add their bytes to totals
	startedAt time.Time    // origin of the selector's clock

	// Only Run's goroutine uses the following fields.
	selector *failover.Selector
	state    follower.State // version and entry indexes of the local copy
	current  currentSource
	lag      lag
	probe    probeSlot

	// Any goroutine may use the following fields.
	status sharedStatus
	totals totals
}

// currentSource is what the answers of the current source have shown. When the Follower switches to a source that it
// has probed, it sets served at once. The other fields, and Follower.lag, keep the former source's values until the
// next answer is applied.
type currentSource struct {
	served        bool          // the source has sent a usable answer since it became the current one
	moreAvailable bool          // the last applied answer contained something new and announced another slice
	staleness     time.Duration // the staleness that the last applied answer stated; 0 before the first one
}

// New returns a Follower. It opens no connection and starts no goroutine: Run does.
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

// Run follows the resource until ctx ends, and returns once the goroutines that it started have ended. It must be
// called only once.
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

// follow polls the source, and any better source that it switches to, until it leaves the current one or ctx ends.
func (f *Follower) follow(ctx context.Context, source failover.Source) {
	client := f.client(source)
	defer func() { client.Close() }() // closes the client as of the return: a switch replaces it
	defer f.clearSource()
	for first := true; ; { // first: the next poll is the first of its source
		err := f.poll(ctx, client, f.maxWait(first), f.callTimeout(first))
		first = false
		if ctx.Err() != nil {
			return
		}
		if !f.handleOutcome(ctx, source, err) {
			return
		}
		if better, betterClient := f.betterSource(ctx); betterClient != nil {
			client.Close()
			source, client, first = better, betterClient, true
			f.recordFollowed(source)
		}
	}
}

// client returns a client for a source. The client connects at its first call.
func (f *Follower) client(source failover.Source) *http1.Client {
	return &http1.Client{Address: source.Address, Dial: f.dial,
		Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: f.cfg.MaxBody, Fields: answerFields}}
}

// recordFollowed records and logs that a new current source has sent its first usable answer, to a poll or a probe.
func (f *Follower) recordFollowed(source failover.Source) {
	f.current.served = true
	f.totals.switches.Add(1)
	f.status.setSource(source.Address)
	slog.Info(logmsg.SourceFollowed, logmsg.KeyResource, f.cfg.Path.ResourceName(), logmsg.KeySource, source.Address,
		"zone", source.Zone, "region", source.Region)
}

// clearSource records that no source is followed. The next source's first applied answer replaces moreAvailable and
// staleness.
func (f *Follower) clearSource() {
	f.current.served = false
	f.lag.reset()
	f.status.setSource("")
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
