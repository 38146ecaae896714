package distribution

import (
	"math/rand/v2"
	"time"

	"harepass/internal/decide/failover"
	"harepass/internal/decide/versionlog"
	"harepass/internal/http1"
)

const (
	// DefaultHeartbeat is how long a source may wait for a new version before it answers without one.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultAllowance is how much later than the heartbeat an answer may come before its source counts as silent.
	DefaultAllowance = 300 * time.Millisecond
	// DefaultMaxBody is the size limit of a relay's answer, in bytes.
	DefaultMaxBody = 64 << 10

	// staleHeartbeats is the least StaleAfter, in heartbeats: a relay hears of its own source once in each.
	staleHeartbeats = 3
)

// Config says what a Follower follows, from which sources, and who takes the updates. New reads it once.
type Config struct {
	// Resource is the path that is polled.
	Resource Resource
	// Place is where this process runs: nearer sources are preferred.
	Locality failover.Locality
	// Sources are the relays that may be followed, one at least.
	Sources []failover.Source

	// Check reports what is wrong with an answer's entries before anything of it is applied. nil accepts all.
	Check func([]versionlog.Entry) error
	// Apply takes what an answer has changed. Run's goroutine calls it, for one update after the other.
	Apply func(Update)

	// Heartbeat is how long a source may wait for a new version before it answers; DefaultHeartbeat where it is 0.
	Heartbeat time.Duration
	// Allowance is how much later an answer may come before its source counts as silent; DefaultAllowance where it
	// is 0.
	Allowance time.Duration
	// StaleAfter is the staleness of a source from which on a fresher one is looked for. Where it is 0, it is
	// failover.DefaultStaleAfter, or three heartbeats if that is more.
	StaleAfter time.Duration
	// ConfirmedAt is when the copy that the consumer begins with was last known to be the authority's newest; the time
	// of New where it is zero.
	ConfirmedAt time.Time
	// MaxBody is the size limit of an answer's body, in bytes; DefaultMaxBody where it is 0.
	MaxBody int

	// KnownNames are entries that the consumer begins with. The first snapshot reports those that it does not hold in
	// Update.MissingFromSnapshot.
	KnownNames []string

	// AcceptAnySnapshot applies every snapshot, whatever its index is. It is for an authority, whose one source is the
	// discovery service: that begins its index anew when it restarts.
	AcceptAnySnapshot bool

	// Dial opens connections to sources; nil for plain TCP.
	Dial http1.Dialer
	// Rand is the source of jitter, for the Follower alone; nil for one that is seeded at random.
	Rand *rand.Rand
}

// withDefaults returns the configuration with its zero values filled in. now is the time of New.
func (cfg Config) withDefaults(now time.Time) Config {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.Allowance == 0 {
		cfg.Allowance = DefaultAllowance
	}
	if cfg.StaleAfter == 0 {
		cfg.StaleAfter = max(failover.DefaultStaleAfter, staleHeartbeats*cfg.Heartbeat)
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.ConfirmedAt.IsZero() {
		cfg.ConfirmedAt = now
	}
	return cfg
}
