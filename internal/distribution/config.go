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
	// DefaultSilenceTolerance is how long after the heartbeat an answer may arrive before its source counts as silent.
	DefaultSilenceTolerance = 300 * time.Millisecond
	// DefaultMaxBody is the size limit of the body of a relay's answer, in bytes.
	DefaultMaxBody = 64 << 10

	// staleHeartbeats is the lower bound of the default StaleAfter, in heartbeats. A relay may hear from its own source
	// only once per heartbeat.
	staleHeartbeats = 3
)

// Config configures a Follower: the resource, its possible sources, and the consumer of the updates. New reads it once.
type Config struct {
	// Path is the resource to follow.
	Path Path
	// Locality is where this process runs. The Follower prefers nearer sources.
	Locality failover.Locality
	// Sources are the relays, or the discovery service, that the Follower may follow. There must be at least one.
	Sources []failover.Source

	// Check returns an error if the entries of an answer are invalid. The Follower calls it before it applies any part
	// of the answer. If Check is nil, all entries are accepted.
	Check func([]versionlog.Entry) error
	// Apply receives what an answer has changed. Run's goroutine calls it, for one update at a time.
	Apply func(Update)

	// Heartbeat is how long a source may wait for a new version before it answers without one. If it is 0,
	// DefaultHeartbeat is used.
	Heartbeat time.Duration
	// SilenceTolerance is how long after the heartbeat an answer may arrive before its source counts as silent. If it
	// is 0, DefaultSilenceTolerance is used.
	SilenceTolerance time.Duration
	// FirstCallTimeout is how long the first call to a source may take. A service that answers its callers in turn needs
	// it: only calls that continue a watch need no turn. If it is 0, the sum of Heartbeat and SilenceTolerance is used.
	FirstCallTimeout time.Duration
	// StaleAfter is the staleness at which a source counts as stale and the Follower looks for a fresher one. If it is
	// 0, failover.DefaultStaleAfter or three heartbeats are used, whichever is longer.
	StaleAfter time.Duration
	// ConfirmedAt is when the copy that the consumer starts with was last known to be the authority's newest version.
	// If it is zero, the time of the New call is used.
	ConfirmedAt time.Time
	// MaxBody is the size limit of an answer's body, in bytes. If it is 0, DefaultMaxBody is used.
	MaxBody int

	// KnownNames are the names of the entries that the consumer starts with. Update.MissingFromSnapshot lists those
	// that the first snapshot does not contain.
	KnownNames []string

	// AcceptAnySnapshot makes the Follower apply every snapshot, even one with a lower index. An authority sets it: its
	// only source is the discovery service, whose index starts over when that service restarts.
	AcceptAnySnapshot bool

	// Dial opens connections to sources. If it is nil, plain TCP is used.
	Dial http1.Dialer
	// Rand is the random source for jitter. Only the Follower may use it. If it is nil, a randomly seeded one is used.
	Rand *rand.Rand
}

// withDefaults returns the configuration with defaults in place of zero values. now is the time of the New call.
func (cfg Config) withDefaults(now time.Time) Config {
	if cfg.Heartbeat == 0 {
		cfg.Heartbeat = DefaultHeartbeat
	}
	if cfg.SilenceTolerance == 0 {
		cfg.SilenceTolerance = DefaultSilenceTolerance
	}
	if cfg.FirstCallTimeout == 0 {
		cfg.FirstCallTimeout = cfg.Heartbeat + cfg.SilenceTolerance
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
