package twophase

import "time"

// Evidence is what a replica's answer shows of its shard, on any wire.
type Evidence struct {
	Readable  bool    // the answer could be read, and speaks for the whole shard
	Matches   int64   // exact number of matches; -1 where it is not given
	Versioned bool    // every document has a version, and Version sums them up
	Version   Version // valid where Versioned
}

// Verdict is what a first answer proves.
type Verdict int

// The verdicts.
const (
	Inconclusive Verdict = iota // nothing: it failed, could not be read, or its replica lags behind
	NeedsFull                   // the shard may have matches that are not cached
	Empty                       // the shard has no match
	Unchanged                   // the cached value is what the shard would answer
)

// String returns what the verdict means in a word or two.
func (v Verdict) String() string {
	return [...]string{"inconclusive", "needs full", "empty", "unchanged"}[v]
}

// Proves reports whether the shard's answer is known without the full question.
func (v Verdict) Proves() bool { return v == Empty || v == Unchanged }

// ObserveFirstPhase judges a shard's first answer at now, and returns the cached value where it is Unchanged.
// Deferred says that the full question has not gone out: only then has the first answer saved anything.
func (p *Planner) ObserveFirstPhase(t Topic, shard int, body string, ev Evidence, deferred bool,
	now time.Duration) (v Verdict, value []byte) {
	s := p.shard(t.Index, shard)
	_, wasCached := s.lookUp(body)
	v, value = p.judge(s, body, ev, now)
	s.observeSaving(wasCached, v.Proves() && deferred)
	return v, value
}

func (p *Planner) judge(s *shardState, body string, ev Evidence, now time.Duration) (Verdict, []byte) {
	if !ev.Readable {
		return Inconclusive, nil
	}
	s.versioned = ev.Versioned
	if ev.Versioned {
		if !p.acceptVersion(s, ev.Version, now) {
			return Inconclusive, nil
		}
	} else if s.hasNewest { // this replica does not show how far it lags, though others do
		return Inconclusive, nil
	}
	if ev.Matches == 0 {
		return Empty, nil
	}
	if value, ok := p.cache.get(s, body); ok && ev.Versioned {
		return Unchanged, value
	}
	return NeedsFull, nil
}

// acceptVersion takes a shard's version at a replica, and reports whether that replica's answer may be used. It drops
// the shard's cached values where they are outdated (shardState.observeVersion).
func (p *Planner) acceptVersion(s *shardState, v Version, now time.Duration) (usable bool) {
	usable, outdated := s.observeVersion(v, now)
	if outdated {
		p.cache.invalidate(s)
	}
	return usable
}

// WantsVersion reports whether a full question that follows a first answer should bring the shard's version with it.
func (p *Planner) WantsVersion(t Topic, shard int) bool { return p.shard(t.Index, shard).versioned }

// ObserveFullWithVersion takes the full answer to a question that asked for the shard's version. It caches the value
// unless the replica lags behind. An answer without versions shows that they have gone away: no value of the shard is
// cached until a first answer shows versions again. So it must not be called for a question without the version.
func (p *Planner) ObserveFullWithVersion(t Topic, shard int, body string, ev Evidence, value []byte,
	now time.Duration) {
	s := p.shard(t.Index, shard)
	s.versioned = ev.Readable && ev.Versioned
	if s.versioned && p.acceptVersion(s, ev.Version, now) {
		p.cache.put(s, body, value)
	}
}
