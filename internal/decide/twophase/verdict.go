package twophase

import "time"

// Evidence is what a replica's answer shows about its shard, in any protocol.
type Evidence struct {
	Readable  bool    // the answer was readable and covers the whole shard
	Matches   int64   // exact number of matches; -1 if the answer does not give it
	Versioned bool    // every document has a version, and Version summarizes them
	Version   Version // valid if Versioned
}

// Verdict is what a first-phase answer proves.
type Verdict int

// The verdicts.
const (
	// Inconclusive proves nothing: the request failed, the answer is unreadable, or the replica may lag behind. A
	// replica may lag behind if its version is older than or conflicts with the newest one, or if it shows none
	// although some replica has shown one.
	Inconclusive Verdict = iota
	NeedsFull            // the shard may have matches, and no cached value is proven to be valid
	Empty                // the shard has no match
	Unchanged            // the cached value equals the shard's present answer
	// Contradicted is NeedsFull although the shard's documents are those of the cached value: their number of matches is
	// another one, so something else than the documents decides the shard's answer. The value is dropped.
	Contradicted
)

// String returns the verdict in a word or two.
func (v Verdict) String() string {
	return [...]string{"inconclusive", "needs full", "empty", "unchanged", "contradicted"}[v]
}

// Proves reports whether the shard's answer is known without the full query.
func (v Verdict) Proves() bool { return v == Empty || v == Unchanged }

// ObserveFirstPhase judges a shard's first-phase answer at now. It returns the cached value if the verdict is
// Unchanged. It also records the shard's newest version, drops cached values that the answer shows to be outdated, and
// learns whether the first phase saved the full query. deferred is whether the full query is still unsent: only then
// can the answer have saved it. The caller also passes failed first phases, with evidence that is not Readable: they
// count as saving nothing.
func (p *Planner) ObserveFirstPhase(t Topic, shard int, body string, ev Evidence, deferred bool,
	now time.Duration) (v Verdict, value []byte) {
	s := p.shard(t.Index, shard)
	_, wasCached := s.lookUp(body) // before judge, which may drop the value
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
	} else if s.hasNewest { // some replica has shown a version, so this one may lag behind by an unknown amount
		return Inconclusive, nil
	}
	if ev.Matches == 0 {
		return Empty, nil
	}
	e := p.cache.get(s, body)
	switch {
	case e == nil || !ev.Versioned: // acceptVersion has dropped an outdated value
		return NeedsFull, nil
	case e.matches != ev.Matches && e.matches >= 0 && ev.Matches >= 0:
		p.cache.dropValue(e)
		return Contradicted, nil
	}
	return Unchanged, e.value
}

// acceptVersion records the version of a shard that a replica shows, and reports whether that replica's answer may be
// used. It drops the shard's cached values if they are outdated (shardState.observeVersion).
func (p *Planner) acceptVersion(s *shardState, v Version, now time.Duration) (usable bool) {
	usable, outdated := s.observeVersion(v, now)
	if outdated {
		p.cache.invalidate(s)
	}
	return usable
}

// WantsVersion reports whether a full query that follows a first phase should request the shard's version.
func (p *Planner) WantsVersion(t Topic, shard int) bool { return p.shard(t.Index, shard).versioned }

// ObserveFullWithVersion records the answer to a full query that requested the shard's version. It caches the value
// unless the replica lags behind. An answer that is unreadable or has no versions counts as a sign that the shard no
// longer has them: full queries then stop requesting the version, so no value of the shard is cached, until another
// answer shows versions, usually that of a first phase. ObserveFullWithVersion must not be called for a full query that
// did not request the version, because an answer without versions would then be no such sign.
func (p *Planner) ObserveFullWithVersion(t Topic, shard int, body string, ev Evidence, value []byte,
	now time.Duration) {
	s := p.shard(t.Index, shard)
	s.versioned = ev.Readable && ev.Versioned
	if s.versioned && p.acceptVersion(s, ev.Version, now) {
		p.cache.put(s, body, value, ev.Matches)
	}
}
