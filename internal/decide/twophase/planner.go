package twophase

import "time"

// Topic is an index and a class of queries. Costs are learned for each topic separately.
type Topic struct{ Index, Class string }

// Request is an arriving query.
type Request struct {
	Topic
	Body        string               // everything that a shard's answer depends on, besides the shard's data
	Cacheable   bool                 // Body and the shard's documents alone decide a shard's answer
	Shards      []int                // shard of each part, in the order of the parts
	Capable     func(shard int) bool // whether every holder of a shard supports first phases; nil if all do
	Now         time.Duration        // instant of arrival
	ObjectiveAt time.Duration        // instant by which the latency objective wants the answer
}

// Mode is how a part is sent to its shard.
type Mode int

// The modes.
const (
	Full            Mode = iota // send the full query at once
	FullWithVersion             // send the full query at once and request the version, so that the value can be cached
	InTwoPhases                 // send the first phase at once, and the full query only if that proves nothing
)

// Plan is how the parts of a query are sent to their shards.
type Plan struct {
	Modes       []Mode        // mode of each part, in the order of the request
	MaxDeferral time.Duration // longest deferral of the full queries of InTwoPhases parts; 0 if there are no such parts
}

// Planner learns for which shards two phases pay off, and caches values. Create it with New. It is not safe for
// concurrent use.
type Planner struct {
	cache  cache
	shards map[shardKey]*shardState // bounded by the number of shards of the configured indices
	topics map[Topic]*topicState
}

// New returns a Planner that caches at most cacheBytes bytes, including bookkeeping. With 0 it caches nothing.
func New(cacheBytes int) *Planner {
	return &Planner{
		cache: newCache(cacheBytes), shards: map[shardKey]*shardState{}, topics: map[Topic]*topicState{},
	}
}

func (p *Planner) topic(t Topic) *topicState {
	state := p.topics[t]
	if state == nil {
		state = &topicState{}
		p.topics[t] = state
	}
	return state
}

func (p *Planner) shard(index string, number int) *shardState {
	key := shardKey{index, number}
	state := p.shards[key]
	if state == nil {
		state = newShardState()
		p.shards[key] = state
	}
	return state
}

// Plan chooses the mode of each part of a query. A shard for which two phases do not pay off gets the full query at
// once. The planner still explores a few of these shards, to detect when two phases would pay off.
func (p *Planner) Plan(r Request) Plan {
	t := p.topic(r.Topic)
	t.grantCredit(len(r.Shards))
	deferral := t.maxDeferral(r.ObjectiveAt - r.Now)
	plan := Plan{Modes: make([]Mode, len(r.Shards))}
	begin := t.nextExplored
	for offset := range r.Shards {
		i := (offset + begin) % len(r.Shards)
		if r.Capable != nil && !r.Capable(r.Shards[i]) {
			continue
		}
		s := p.shard(r.Index, r.Shards[i])
		requested, cached := false, false
		if r.Cacheable {
			requested, cached = s.lookUp(r.Body)
			p.cache.recordRequest(s, r.Body)
		}
		mode, explores := t.chooseMode(s, requested, cached, deferral)
		if explores {
			t.nextExplored = (i + 1) % len(r.Shards)
		}
		if mode == InTwoPhases {
			plan.MaxDeferral = deferral
		}
		plan.Modes[i] = mode
	}
	return plan
}

// chooseMode chooses the mode of one part, and reports whether the choice is exploration: a first phase that is not
// expected to pay off. An exploration spends its credit.
//
// In units of a full answer's cost, a first-phase answer costs ratio. If it proves nothing, the full answer with its
// version costs 1+ratio more. Two phases are cheaper than one if the probability of a proof is above
// 2*ratio/(1+ratio).
func (t *topicState) chooseMode(s *shardState, requested, cached bool, deferral time.Duration) (m Mode, explores bool) {
	ratio := t.costRatio(s)
	breakEven := 2 * ratio / (1 + ratio)
	saving := s.savingIfNotCached
	if cached { // the first phase can prove either that the value is valid or that the shard has no match
		saving = max(s.savingIfCached, s.savingIfNotCached)
	}
	switch {
	case saving > breakEven && deferral > 0:
		return InTwoPhases, false
	case requested && !cached && s.versioned && s.savingIfCached > breakEven:
		return FullWithVersion, false
	case deferral > 0 && t.spendExploration(ratio):
		return InTwoPhases, true
	}
	return Full, false
}

// FullSent records that a full query was sent. Each full query earns credit for a fraction of an exploration.
func (p *Planner) FullSent(t Topic) { p.topic(t).earnExploration() }

// ObserveLatency records the latency of a part that a shard served, either of its first phase or of its full query.
func (p *Planner) ObserveLatency(t Topic, shard int, firstPhase bool, latency time.Duration) {
	if firstPhase {
		p.topic(t).firstLatencies.add(latency)
		return
	}
	p.topic(t).fullLatencies.add(latency)
	p.shard(t.Index, shard).observeFullLatency(latency)
}

// SetLimit sets the maximum size of the cache, in bytes, and evicts the entries that exceed it.
func (p *Planner) SetLimit(cacheBytes int) {
	p.cache.limit = cacheBytes
	p.cache.trim()
}

// Cached returns the number of cached values and the size of the whole cache in bytes.
func (p *Planner) Cached() (values, bytes int) { return p.cache.values, p.cache.bytes }
