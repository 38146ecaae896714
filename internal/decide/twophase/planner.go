package twophase

import "time"

// Topic is an index and a class of queries. Costs are learned for each topic by itself.
type Topic struct{ Index, Class string }

// Request is a query at its arrival.
type Request struct {
	Topic
	Body        string               // all that a shard's answer depends on, besides the shard's data
	Shards      []int                // shard of each part, in the order of the parts
	Capable     func(shard int) bool // whether every holder of a shard can answer a first phase; nil where all can
	Now         time.Duration        // instant of arrival
	ObjectiveAt time.Duration        // latency objective as an instant: the answer is wanted until then
}

// Mode is how a shard is asked.
type Mode int

// The modes.
const (
	Full            Mode = iota // in full at once
	FullWithVersion             // in full at once, with the version, so that the value can be cached
	InTwoPhases                 // its first phase at once, and in full only where that proves nothing
)

// Plan is how a query's shards are asked.
type Plan struct {
	Modes       []Mode        // mode of each part, in the order of the request
	MaxDeferral time.Duration // how long the full questions of InTwoPhases parts wait at most; 0 where there is none
}

// Planner learns where two phases pay, and caches values. Use New. It is for one goroutine at a time.
type Planner struct {
	cache  cache
	shards map[shardKey]*shardState // no more of them than the shards of the configured indices
	topics map[Topic]*topicState
}

// New returns a Planner that caches at most so many bytes, bookkeeping included; 0 caches nothing.
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

// Plan decides how a query is asked. Where two phases do not pay, each shard is asked in full at once; a few
// are explored, to notice when two phases would pay.
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
		asked, cached := s.lookUp(r.Body)
		p.cache.recordRequest(s, r.Body)
		mode, explores := t.chooseMode(s, asked, cached, deferral)
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

// chooseMode decides how one shard is asked, and whether that is exploration: a first phase that does not pay yet. An
// exploration takes its credit.
//
// In units of a full answer, two phases cost ratio for the first answer and, where it proves nothing, 1+ratio for a
// full answer with its version. They are cheaper than one phase where the probability of a proof is over
// 2*ratio/(1+ratio).
func (t *topicState) chooseMode(s *shardState, asked, cached bool, deferral time.Duration) (m Mode, explores bool) {
	ratio := t.costRatio(s)
	breakEven := 2 * ratio / (1 + ratio)
	saving := s.savingIfNotCached
	if cached { // a shard with a cached value may prove to have no match just as well
		saving = max(s.savingIfCached, s.savingIfNotCached)
	}
	switch {
	case saving > breakEven && deferral > 0:
		return InTwoPhases, false
	case asked && !cached && s.versioned && s.savingIfCached > breakEven:
		return FullWithVersion, false
	case deferral > 0 && t.spendExploration(ratio):
		return InTwoPhases, true
	}
	return Full, false
}

// FullSent counts a full question that goes out: it pays for a fraction of an exploration.
func (p *Planner) FullSent(t Topic) { p.topic(t).earnExploration() }

// ObserveLatency takes the latency of a shard's served part, of its first phase or in full.
func (p *Planner) ObserveLatency(t Topic, shard int, firstPhase bool, latency time.Duration) {
	if firstPhase {
		p.topic(t).firstLatencies.add(latency)
		return
	}
	p.topic(t).fullLatencies.add(latency)
	p.shard(t.Index, shard).observeFullLatency(latency)
}

// SetLimit changes how many bytes may be cached, and drops what is beyond that.
func (p *Planner) SetLimit(cacheBytes int) {
	p.cache.limit = cacheBytes
	p.cache.trim()
}

// Cached returns how many values are cached, and the bytes of the whole cache.
func (p *Planner) Cached() (values, bytes int) { return p.cache.values, p.cache.bytes }
