// Package twophase decides how queries over many sections are asked in two phases: first, cheaply, what a section
// could add, then in full only those that may. It decides which sections are worth the first question, how
// long their full one is held back for it, what a first answer proves, and what values are retained. It has no
// I/O, no clock and no randomness; docs/design/two-phase.md says why each rule is as it is.
//
// A Planner belongs to one goroutine. Instants are readings of any clock that never goes back.
package twophase

import "time"

// Tunables: ratios and counts; times follow from what was seen.
const (
	creditRate  = 0.04 // speculative work allowed, as a share of the full parts asked: under the 5% that may be lost
	firstRatio  = 0.1  // cost of a first answer in full ones, until both have been seen
	leastRatio  = 0.02 // no first answer is taken to be cheaper
	mostCredit  = 2.0  // saved up at most, in full parts, or as much as asks a whole query first
	chanceGain  = 0.2  // weight of a new sample in a section's chances: about five queries
	firstChance = 0.5  // that a value retained for the first time still stands
	slackFactor = 2.0  // times the usual slow first answer (its 95th percentile) that a section is held back
	firstShare  = 0.25 // of the time to spare, for the first answers where none has been seen
	slow        = 0.95 // quantile of the latencies that time is kept for
	usual       = 0.5
	quick       = 0.1 // quantile of those that hardly waited
	markLife    = time.Minute
)

// Topic is what costs are learned by.
type Topic struct{ Index, Class string }

// Request is a query at its arrival.
type Request struct {
	Topic
	Body           string         // all that a section's value depends on, besides its data
	Shards         []int          // in the order of its parts
	Capable        func(int) bool // whether every holder of a section can be asked cheaply
	Now, Objective time.Duration  // when the answer is wanted
}

// Mode is how a section is asked.
type Mode int

// The ways to ask.
const (
	Full            Mode = iota // at once, as without two phases
	FullWithVersion             // at once, with the version of what it returns, so that it can be retained
	FirstPhase                  // cheaply first
)

// Plan is what becomes of a query's sections. Hold is how long those asked First wait at most, 0 where none is.
type Plan struct {
	Modes       []Mode
	MaxDeferral time.Duration
}

// Planner learns what two phases are worth and retains values. Use New.
type Planner struct {
	store  store
	topics map[Topic]*topic
}

// topic is what is known of an index and class.
type topic struct {
	first, full recent  // latencies of served parts
	credit      float64 // speculative work that may be spent, in full parts
	most        int     // sections of the largest query
	next        int     // where the next query begins to speculate, so that no section is left out
}

// New returns a Planner that retains at most so many bytes, bookkeeping included; 0 retains nothing.
func New(bytes int) *Planner {
	return &Planner{store: newStore(bytes), topics: map[Topic]*topic{}}
}

func (p *Planner) topic(t Topic) *topic {
	k := p.topics[t]
	if k == nil {
		k = &topic{}
		p.topics[t] = k
	}
	return k
}

// Plan decides how a query is asked. Where two phases would not pay, each section is asked in full at once; a
// little is spent all the same, out of credit, to notice when they would.
func (p *Planner) Plan(a Request) Plan {
	t := p.topic(a.Topic)
	plan := Plan{Modes: make([]Mode, len(a.Shards))}
	if n := len(a.Shards); n > t.most { // room to try a whole query of this size once
		t.credit += float64(n-t.most) * 2 * firstRatio
		t.most = n
	}
	hold := t.hold(a.Objective - a.Now)
	begin := t.next
	for i := range a.Shards {
		i = (i + begin) % len(a.Shards)
		no := a.Shards[i]
		if a.Capable != nil && !a.Capable(no) {
			continue
		}
		s := p.store.section(a.Index, no)
		known, has := s.known(a.Body)
		p.store.note(s, a.Body)
		ratio := t.ratio(s)
		worth := 2 * ratio / (1 + ratio) // chance from which a first answer, and a version with the full one, pay
		chance := s.empty
		if has {
			chance = max(s.same, s.empty)
		}
		switch {
		case chance > worth && hold > 0:
			plan.Modes[i] = FirstPhase
		case known && !has && s.signed && s.same > worth: // asked before, and what is retained tends to stand
			plan.Modes[i] = FullWithVersion
		case hold > 0 && t.credit >= 2*ratio:
			t.credit -= 2 * ratio
			t.next = (i + 1) % len(a.Shards)
			plan.Modes[i] = FirstPhase
		}
		if plan.Modes[i] == FirstPhase {
			plan.MaxDeferral = hold
		}
	}
	return plan
}

// ratio is the cost of a section's first answer in its full ones. First answers cost much the same wherever they
// are asked, so what they usually take beyond the quickest is waiting, and full ones wait as long. It goes by
// section: what is pruned says nothing of its full cost, so an average would be that of the sections that are not.
func (t *topic) ratio(s *section) float64 {
	if t.first.n < recentLeast || s.took == 0 {
		return firstRatio
	}
	first := t.first.quantile(quick)
	full := s.took - (t.first.quantile(usual) - first)
	if full <= first {
		return 1
	}
	return max(leastRatio, float64(first)/float64(full))
}

// hold divides the time left to the aim: the full answers of those that must be asked keep what they take when
// they are slow; of the rest, first answers have what they take when they are. 0 where that is too little.
func (t *topic) hold(left time.Duration) time.Duration {
	spare := left - t.full.quantile(slow)
	if t.full.n == 0 {
		spare = left / 2
	}
	if t.first.n == 0 {
		return max(0, time.Duration(firstShare*float64(spare)))
	}
	if spare < t.first.quantile(slow) {
		return 0
	}
	return min(spare, time.Duration(slackFactor*float64(t.first.quantile(slow))))
}

// FullSent books a full part that goes out: a share of the work may be spent on trying two phases.
func (p *Planner) FullSent(k Topic) {
	t := p.topic(k)
	t.credit = min(t.credit+creditRate, max(mostCredit, 2*firstRatio*float64(t.most)))
}

// ObserveLatency books the latency of a section's served part, of its first phase or in full.
func (p *Planner) ObserveLatency(k Topic, no int, first bool, took time.Duration) {
	t, s := p.topic(k), p.store.section(k.Index, no)
	if first {
		t.first.add(took)
		return
	}
	t.full.add(took)
	if s.took == 0 {
		s.took = took
	}
	s.took += time.Duration(chanceGain * float64(took-s.took))
}

// Verdict is what a first answer proves.
type Verdict int

// The verdicts.
const (
	Inconclusive Verdict = iota // it failed, could not be read, or its replica is behind: as if not asked
	NeedsFull                   // the section may add something that is not at hand
	Empty                       // the section has no hit
	Unchanged                   // the retained value is what the section would answer
)

func (v Verdict) String() string {
	return [...]string{"nothing", "must ask", "empty", "unchanged"}[v]
}

// Proves tells whether a verdict stands for the section's value.
func (v Verdict) Proves() bool { return v == Empty || v == Unchanged }

// ObserveFirstPhase judges a section's first answer. Value is the retained one where it is Unchanged. Held tells that the
// full question has not gone out: only then has the first one saved anything.
func (p *Planner) ObserveFirstPhase(k Topic, no int, text string, ev Evidence, held bool, now time.Duration) (v Verdict, value []byte) {
	s := p.store.section(k.Index, no)
	_, had := s.known(text)
	v, value = p.judge(s, text, ev, now)
	saved := 0.0
	if v.Proves() && held {
		saved = 1
	}
	if had {
		s.same += chanceGain * (saved - s.same)
	} else {
		s.empty += chanceGain * (saved - s.empty)
	}
	return v, value
}

func (p *Planner) judge(s *section, text string, ev Evidence, now time.Duration) (Verdict, []byte) {
	if !ev.Readable {
		return Inconclusive, nil
	}
	s.signed = ev.Versioned
	if ev.Versioned {
		if !p.store.see(s, ev.Version, now) {
			return Inconclusive, nil
		}
	} else if s.marked { // this replica does not say how far it is, though others do
		return Inconclusive, nil
	}
	if ev.Matches == 0 {
		return Empty, nil
	}
	if e := p.store.get(s, text); ev.Versioned && e != nil {
		return Unchanged, e.data
	}
	return NeedsFull, nil
}

// WantsVersion tells whether a full question should bring the section's version with it, after a first answer.
func (p *Planner) WantsVersion(k Topic, no int) bool { return p.store.section(k.Index, no).signed }

// ObserveFull retains a full answer that came with its version, unless it is of a replica that is behind.
func (p *Planner) ObserveFull(k Topic, no int, text string, ev Evidence, value []byte, now time.Duration) {
	s := p.store.section(k.Index, no)
	if s.signed = ev.Readable && ev.Versioned; !s.signed { // versions went away: a first answer has to bring them back
		return
	}
	if p.store.see(s, ev.Version, now) {
		p.store.put(s, text, value)
	}
}

// SetLimit changes how many bytes may be retained, and lets go what is over it.
func (p *Planner) SetLimit(bytes int) {
	p.store.limit = bytes
	p.store.trim()
}

// Cached tells how many values are retained and what all of it takes.
func (p *Planner) Cached() (values, bytes int) { return p.store.values, p.store.bytes }
