package twophase

import "time"

const (
	// sampleGain is the weight of a new sample in the moving means of a shard's savings and latency: about the last
	// five queries count.
	sampleGain = 0.2
	// initialSavingIfCached is the initial estimate of the probability that a first phase saves the full query whose
	// value is cached.
	initialSavingIfCached = 0.5
	// newestTrust is how long a shard's newest version stays valid after a replica last showed it.
	newestTrust = time.Minute
)

// shardKey identifies a shard of an index.
type shardKey struct {
	index  string
	number int
}

// shardState is what the planner has learned about a shard.
type shardState struct {
	savingIfCached    float64       // probability that a first phase saves a full query whose value is cached
	savingIfNotCached float64       // probability that a first phase saves a full query whose value is not cached
	fullLatency       time.Duration // moving mean of the latency of full answers; 0 before the first one

	versioned bool          // the latest answer had versions; unreadable first-phase answers do not count
	hasNewest bool          // newest is valid
	newest    Version       // newest version that any replica has shown
	newestAt  time.Duration // when a replica last showed the newest version

	entries map[string]*entry // cache entries by body: two bodies never share a value
}

func newShardState() *shardState {
	return &shardState{savingIfCached: initialSavingIfCached, entries: map[string]*entry{}}
}

// lookUp reports whether a body was requested recently, and whether its value is cached.
func (s *shardState) lookUp(body string) (requested, cached bool) {
	e := s.entries[body]
	return e != nil, e != nil && e.value != nil
}

// observeFullLatency records the latency of a full answer.
func (s *shardState) observeFullLatency(latency time.Duration) {
	if s.fullLatency == 0 {
		s.fullLatency = latency
	}
	s.fullLatency += time.Duration(sampleGain * float64(latency-s.fullLatency))
}

// observeSaving records whether a first phase saved the full query. With a cached value it does so if that value is
// still valid or the shard has no match; without a cached value, only if the shard has no match. It never does so if
// the full query was sent before the first-phase answer arrived.
func (s *shardState) observeSaving(wasCached, saved bool) {
	saving := &s.savingIfNotCached
	if wasCached {
		saving = &s.savingIfCached
	}
	sample := 0.0
	if saved {
		sample = 1
	}
	*saving += sampleGain * (sample - *saving)
}

// observeInvalidated records a repeated request for a body whose cached value was dropped as outdated since the last
// request. It counts as a first phase that saved nothing.
func (s *shardState) observeInvalidated() { s.savingIfCached -= sampleGain * s.savingIfCached }

// observeVersion records the version of the shard that a replica shows at now. It reports whether the replica's answer
// may be used, and whether the cached values are outdated.
//
// A replica can lag behind the others, and its answer would then revert a change that a client has already seen. So an
// answer with a version older than the newest one is not used. If no replica has shown the newest version for
// newestTrust, that version no longer exists: its newest document was deleted, or all replicas reverted to an older
// state. The newest version must expire, because otherwise no answer would ever be used again.
func (s *shardState) observeVersion(v Version, now time.Duration) (usable, outdated bool) {
	if s.hasNewest {
		switch r := v.relationTo(s.newest); {
		case r == same:
			s.newestAt = now
			return true, false
		case r != newer && now-s.newestAt < newestTrust:
			return false, r == conflicting // the cached values may belong to either of the conflicting states
		}
	}
	s.newest, s.newestAt, s.hasNewest = v, now, true
	return true, true
}
