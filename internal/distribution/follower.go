package distribution

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/follower"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

// Config says what a Follower follows and who takes it.
type Config struct {
	Resource Resource
	Place    failover.Place
	Sources  []failover.Source // one at least

	// Check finds what is wrong with an answer's entries before anything of it counts. nil finds nothing.
	Check func([]versionlog.Entry) error
	// Apply takes what has changed. It is called by Run's goroutine, one update after the other.
	Apply func(Update)

	Heartbeat time.Duration // the heartbeat; DefaultHold where it is 0
	Allowance time.Duration // DefaultAllowance where it is 0
	// StaleAfter is the age of what a source has from which on a fresher one is looked for; where it is 0,
	// sources.DefaultStaleAfter, or three heartbeats if that is more.
	StaleAfter time.Duration
	// Confirmed is when what the consumer has from before was last known to be the newest; New's time where it is zero.
	ConfirmedAt time.Time
	MaxBody     int // bytes; DefaultMaxBody where it is 0

	KnownNames []string // names that the consumer has from elsewhere: it is told where the first snapshot does not hold them

	// AnySnapshot takes every snapshot over, whatever its index is: for the one source of an authority, which is the
	// discovery service and counts by an index of its own.
	AcceptAnySnapshot bool

	Dial http1.Dialer // nil for plain TCP
	Rand *rand.Rand   // nil for one of its own
}

// Follower keeps a replica of one resource. Use New, then Run.
type Follower struct {
	cfg           Config
	selector      *failover.Selector // of Run alone, as state is
	state         follower.State
	startedAt     time.Time
	dial          http1.Dialer // counts bytes
	moreAvailable bool         // the last answer brought news and told of more
	served        bool         // the current source has given a good answer
	probeResults  chan probe   // of a better source, once it is over
	probing       bool         // one is under way, or its result waits in trials
	// sourceAge is that of what the current source has, by its last answer.
	sourceStaleness time.Duration
	// behindSince is when the current source's answers began to be older than the replica; zero while they are not.
	behindSince time.Time

	mu        sync.Mutex
	status    Status
	confirmed time.Time

	calls, failures, bytesRead, bytesWritten atomic.Int64
	versions, entries, snapshots             atomic.Int64
	switches, rejected                       atomic.Int64
}

// New returns a Follower that does nothing before Run.
func New(cfg Config) *Follower {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Allowance == 0 {
		cfg.Allowance = DefaultAllowance
	}
	if cfg.StaleAfter == 0 {
		cfg.StaleAfter = max(failover.DefaultStaleAfter, 3*cfg.Heartbeat)
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	now := time.Now()
	if cfg.ConfirmedAt.IsZero() {
		cfg.ConfirmedAt = now
	}
	f := &Follower{cfg: cfg, selector: failover.New(cfg.Place, cfg.Sources, cfg.Rand), startedAt: now, confirmed: cfg.ConfirmedAt, probeResults: make(chan probe, 1)}
	f.selector.StaleAfter(cfg.StaleAfter)
	f.state.AcceptAnySnapshot = cfg.AcceptAnySnapshot
	f.state.Seed(cfg.KnownNames)
	f.dial = f.countBytes(cfg.Dial)
	return f
}

// Status tells where the follower stands. It is for any goroutine.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Staleness = time.Since(f.confirmed)
	return s
}

// Counters tell what was done so far. It is for any goroutine.
func (f *Follower) Counters() Counters {
	return Counters{Calls: f.calls.Load(), Failures: f.failures.Load(),
		BytesRead: f.bytesRead.Load(), BytesWritten: f.bytesWritten.Load(),
		Versions: f.versions.Load(), Entries: f.entries.Load(), Snapshots: f.snapshots.Load(),
		Switches: f.switches.Load(), Rejected: f.rejected.Load()}
}

// now is the time on the selector's clock.
func (f *Follower) now() time.Duration { return time.Since(f.startedAt) }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.watchAge(ctx)
	defer f.waitForProbe()
	for ctx.Err() == nil {
		source, wait := f.selector.Next(f.now())
		if wait > 0 {
			sleep(ctx, wait)
			continue
		}
		f.follow(ctx, source)
	}
}

// follow follows a source, and better ones that it changes to, until one is to be left.
func (f *Follower) follow(ctx context.Context, source failover.Source) {
	c := f.client(source)
	defer func() { c.Close() }()
	defer f.left()
	for first := true; ; {
		result := f.poll(ctx, c, f.hold(first))
		first = false
		if ctx.Err() != nil {
			return
		}
		if !f.recordOutcome(ctx, source, result) {
			return
		}
		if nearer, client := f.betterSource(ctx); client != nil {
			c.Close()
			source, c, first = nearer, client, true
			f.answered(source)
		}
	}
}

// hold is how long the next call may be held: a reader that has just come, or knows that there is more, does not wait.
func (f *Follower) hold(first bool) time.Duration {
	cursor, known := f.state.Cursor()
	if first || !known || cursor.Base > 0 || f.moreAvailable || f.behind() {
		return noHold
	}
	if !f.selector.Stale() {
		return f.cfg.Heartbeat
	}
	if f.probing {
		return min(f.cfg.Heartbeat, trialHold)
	}
	if wait := f.selector.LookIn(f.now()); wait > 0 {
		return min(f.cfg.Heartbeat, max(wait, noHold))
	}
	return f.cfg.Heartbeat
}

// trialHold is the hold of calls to a stale source while another one is tried: its answer is not to wait for a heartbeat.
const trialHold = 100 * time.Millisecond

// noHold is the hold of a call that does not wait for news.
const noHold = time.Millisecond

func (f *Follower) client(source failover.Source) *http1.Client {
	return &http1.Client{Address: source.Address, Dial: f.dial,
		Limits: http1.Limits{Head: http1.DefaultLimits.Head, Body: f.cfg.MaxBody}}
}

// answered notes the first good answer of a source that has been chosen.
func (f *Follower) answered(source failover.Source) {
	f.served = true
	f.switches.Add(1)
	f.mu.Lock()
	f.status.Source = source.Address
	f.mu.Unlock()
	slog.Info("source followed", "resource", f.cfg.Resource.Name(), "source", source.Address, "zone", source.Zone, "region", source.Region)
}

// left notes that no source is followed.
func (f *Follower) left() {
	f.served, f.behindSince = false, time.Time{}
	f.mu.Lock()
	f.status.Source = ""
	f.mu.Unlock()
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
