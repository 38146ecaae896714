package twophase

import "time"

const (
	// sampleGain is the weight of a new sample in a shard's savings and latency: about five queries count.
	sampleGain = 0.2
	// initialSavingIfCached is the probability that a first phase saves the full question, for the first cached value.
	initialSavingIfCached = 0.5
	// newestTrust is for how long the newest version counts after it was last confirmed.
	newestTrust = time.Minute
)

// shardKey is a shard of an index.
type shardKey struct {
	index  string
	number int
}

// shardState is what is known of a shard's data.
type shardState struct {
	savingIfCached    float64       // probability that a first phase saves the full question whose value is cached
	savingIfNotCached float64       // probability that a first phase saves a full question whose value is not cached
	fullLatency       time.Duration // of full answers, a moving mean; 0 where there was none

	versioned bool          // the latest readable answer had versions
	hasNewest bool          // newest is valid
	newest    Version       // newest version that any replica has shown
	newestAt  time.Duration // when a replica last showed it

	entries map[string]*entry // cache entries by body: two bodies never share a value
}

func newShardState() *shardState {
	return &shardState{savingIfCached: initialSavingIfCached, entries: map[string]*entry{}}
}

// lookUp reports whether a body was asked for recently, and whether its value is cached.
func (s *shardState) lookUp(body string) (asked, cached bool) {
	e := s.entries[body]
	return e != nil, e != nil && e.value != nil
}

// observeFullLatency takes the latency of a full answer.
func (s *shardState) observeFullLatency(latency time.Duration) {
	if s.fullLatency == 0 {
		s.fullLatency = latency
	}
	s.fullLatency += time.Duration(sampleGain * float64(latency-s.fullLatency))
}

// observeSaving takes whether a first phase saved the full question. With a cached value it does so where that value
// still stands or the shard has no match, without one only where there is no match; and neither where the full question
// had gone out before.
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

// observeInvalidated takes that a body is asked for again whose cached value was dropped as outdated meanwhile. It
// counts as a first phase that saved nothing.
func (s *shardState) observeInvalidated() { s.savingIfCached -= sampleGain * s.savingIfCached }

// observeVersion takes the shard's version at a replica at now. It reports whether the replica's answer may be used,
// and whether the cached values are outdated.
//
// A replica may lag behind the others: its answer would take back a change that a client has already seen. Its version
// then is older than the newest one seen, and is not used. If nobody has confirmed the newest version for newestTrust,
// it is gone: its newest document was deleted, or all replicas went back. Without that end nothing would be used again.
func (s *shardState) observeVersion(v Version, now time.Duration) (usable, outdated bool) {
	if s.hasNewest {
		switch r := v.relationTo(s.newest); {
		case r == same:
			s.newestAt = now
			return true, false
		case r != newer && now-s.newestAt < newestTrust:
			return false, r == conflicting // either state may be the one that is cached under this version
		}
	}
	s.newest, s.newestAt, s.hasNewest = v, now, true
	return true, true
}
