// Package harepass makes the decisions of an aggregator, which reads many shards for one query.
// A root feeds Step with what happened and does what it returns, the same for the same seed and events.
// Types are in api.go, every decision here, top-down: a step, the shares and their refill, queries, attempts,
// replica health, the list. docs/design.md says where each rule comes from.
package harepass

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Tunables: ratios and counts; times derive from the settings and from what was seen.
const (
	capFactor   = 1.2  // a replica's cap in equal shares of its shard's rate (the design's value)
	floorFactor = 0.5  // a ready replica's least share, in equal shares (the design's value)
	startMean   = 0.2  // starting mean as a share of the aim (the design's value)
	baseGain    = 0.05 // weight of a new sample in a class's base: a query or two at any root
	ratioGain   = 0.2  // and in a replica's ratio to it: about five samples, for a root sees each one rarely
	tieBand     = 0.1  // means this close, as a ratio, are a tie: less than a part's own spread
	rateKeep    = 0.8  // part of a rate kept at each refill: a memory of about five refills

	seenSize      = 64   // latencies kept per class for its quantiles: about a minute of one root
	hedgeQuantile = 0.95 // a part slower than this is overdue: one in twenty is by chance
	hedgeFirst    = 0.3  // a part is never overdue before this share of its aim: nothing is at stake
	hedgeLast     = 0.4  // and always after this: a second copy needs about as long again, and slack
	hedgeFactor   = 2.0  // and only when later than so many usual means: all being late is load
	hedgeShare    = 0.15 // further attempts on suspicion, as a share of parts taken
	hedgeBurst    = 10.0 // how many of them may be saved up: one failed replica's parts; 3 was worse

	silentFactor = 1.5  // overdue times without any answer that make a replica silent
	keptFactor   = 0.5  // overdue times after which a replica may be keeping a class unanswered
	lostFactor   = 10.0 // usual means after which an attempt is lost, not slow: a next one costs work
	lostSoon     = 0.5  // of that in a larger fleet, whose roots find the silent each by a query of its own
	slowFactor   = 3.0  // times its siblings' mean that make a replica too slow to be ready
	backFactor   = 2.0  // a suspect's trial parts must be within so many of its siblings' means
	trialShare   = 0.15 // trial parts, as a share of parts taken: suspects never take over a root's traffic
	trialRate    = 25.0 // first trials of a suspect a second by all roots together
	trialRuns    = 3    // and so many of them in a row: one quick part is chance
	trialFirst   = 0.2  // first pause before a trial part, as a share of the tightest aim
	trialLast    = 2.0  // longest such pause; each failed trial doubles it
	lastPause    = 0.2  // wait before a part's third attempt and on, of the aim: its shard is crowded or dying
	waryFor      = 8.0  // tightest aims after an error in which a replica gets nothing that may not run twice
	fullPause    = 0.1  // a full replica is let be for this share of the class's aim, more each time in a row
	leastKept    = 2    // holders of a shard that a root of a large fleet keeps: one, and another beside it
	fewRoots     = 5.0  // a root of a larger fleet meets a replica more seldom, and pauses as much longer
	heldUpFrom   = 0.1  // a wake later than this share of the tightest aim: the root itself stood still
	idleSafety   = 0.7  // share of the idle time after which connections were lost that they are trusted for
	idleGrow     = 1.03 // growth of that time at each refill: what drops connections may end
	errorRun     = 2    // faults in a row that are more than bad luck
	coldSafety   = 0.8  // part of the fall rule's budget used: others may be less careful
	burstSeconds = 2.0  // a tenant may run ahead of its quota by so many seconds
	burstLeast   = 5.0  // and by so many queries: where a root's part of a quota is small, a few meet by chance
	overSharePos = 0.25 // predicted share of the aim at which over-share traffic is refused
	lateFrom     = 0.25 // predicted share of the aim at which a late query is given up
	refuseFrom   = 0.4  // predicted share of the aim at which refusals begin
	refuseAll    = 0.7  // and at which nearly all is refused
	lightest     = 0.9  // weight, in a query's mean ones, under which a part brings little when refusals begin
	refuseMost   = 0.9  // the rest keeps the prediction fresh; also the share of its time that a query may need
	lookTurns    = 4    // turns between looks at open queries, and for the way to a client: far below any aim
	weightSlack  = 1e-6 // rounding in sums of part weights
)

const refillEvery, never, keepGone = time.Second, 24 * time.Hour, time.Minute // the first is the design's

// New checks the settings and returns an Aggregator with nothing in hand.
func New(seed uint64, s Settings) (*Aggregator, error) {
	a := &Aggregator{rng: rand.New(rand.NewPCG(seed, 0x756d62)), byID: map[string]*replica{},
		shards: map[int]*shard{}, queries: map[string]*query{}, byNumber: map[int64]*query{},
		parts: map[string]*part{}, strain: 1, hedges: hedgeBurst, idleLimit: never}
	return a, a.Configure(s)
}

// Configure checks settings and goes by them from now on; on an error nothing has changed.
func (a *Aggregator) Configure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	a.set, a.dirty = s, true
	a.reform()
	a.settle()
	a.reclass()
	a.partial = slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Floor < c.Need })
	a.tightest = slices.MinFunc(s.Classes, func(x, y Class) int { return int(x.Aim - y.Aim) }).Aim
	tenants := map[string]*tenant{}
	for _, t := range s.Tenants {
		rate := t.Quota / float64(s.Roots)
		tenants[t.Name] = a.tenants[t.Name].with(rate, max(rate*burstSeconds, burstLeast))
	}
	a.tenants = tenants
	return nil
}

func newClass(c Class, most int) *class {
	return &class{Class: c, most: most, overdue: scale(c.Aim, hedgeLast), work: startMean * c.Aim.Seconds(),
		base: startMean * c.Aim.Seconds()}
}

// Step takes what happened at now and returns what to do, in order. now never goes back.
func (a *Aggregator) Step(now time.Duration, events []Event) []Action {
	a.now, a.out, a.still = now, nil, false
	a.turn++
	a.heldUp = a.wakeAt > 0 && a.now-a.wakeAt > scale(a.tightest, heldUpFrom) // nobody else was late then
	for _, e := range events {
		switch ev := e.(type) {
		case ListReceived:
			a.onList(ev)
		case QueryArrived:
			a.onQuery(ev)
		case PartArrived:
			a.onPart(ev)
		case PartSettled:
			a.onSettled(ev)
		case AttemptEnded:
			a.onEnded(ev)
		case QueryGone:
			if q := a.queries[ev.ID]; q != nil {
				a.close(q)
			}
		case QueryDue:
			if q := a.queries[ev.ID]; q != nil {
				q.end = a.now
				q.stir()
			}
		case Woken:
			a.wakeAt = 0
		}
	}
	a.watchReplicas()
	if a.dirty || a.now >= a.nextRefill {
		a.refill()
	}
	a.still = true // from here on nothing that ratios go by changes in this step
	for _, q := range a.open {
		if !q.admitted {
			a.admit(q)
		}
		if !q.closed && !a.resting(q) {
			a.drive(q)
			a.rest(q)
		}
	}
	a.open = slices.DeleteFunc(a.open, func(q *query) bool { return q.closed })
	a.keepList()
	a.schedule()
	return a.out
}

// schedule asks to be woken when the next thing is due, and every few turns while queries are open.
func (a *Aggregator) schedule() {
	due := a.nextRefill
	sooner := func(times ...time.Duration) {
		for _, t := range times {
			if t > a.now {
				due = min(due, t)
			}
		}
	}
	for _, q := range a.open {
		sooner(q.end, a.cutoff(q), q.aim-a.set.Turn, a.now+max(lookTurns*a.set.Turn, time.Millisecond))
	}
	if a.set.Subscribe && !a.subscribed {
		sooner(a.listTry)
	}
	due = max(due, a.now+max(a.set.Turn, time.Microsecond))
	if a.wakeAt <= a.now || due < a.wakeAt {
		a.wakeAt = due
		a.do(WakeIn{In: due - a.now})
	}
}

// Shares.

// ramp is the share of its capacity that a replica has for certain.
func (a *Aggregator) ramp(r *replica) float64 { return a.rampAt(r, a.now) }

func (a *Aggregator) rampAt(r *replica, at time.Duration) float64 {
	c := &a.set.Cold
	age := at - r.coldFrom
	if r.coldFrom == 0 || c.WarmWithin <= 0 || c.Multiple <= 0 || age >= c.WarmWithin {
		return 1
	}
	return c.Start + (1-c.Start)*max(0, age.Seconds())/c.WarmWithin.Seconds()
}

// refill renews rates, quantiles and all shares.
func (a *Aggregator) refill() {
	if a.now >= a.nextRefill {
		a.nextRefill = a.now + refillEvery
		a.decays++
		a.idleLimit = min(scale(a.idleLimit, idleGrow), never)
		warm := count(a.replicas, func(r *replica) bool { return a.keeps(r) && a.ramp(r) == 1 })
		gain := max(1-rateKeep, 1/(a.refills+1)) // what a young root has seen counts in full
		a.warmRate += gain * (a.served/max(1, warm) - a.warmRate)
		a.askedRate += gain * (a.asked - a.askedRate)
		a.served, a.asked, a.refills = 0, 0, a.refills+1
		a.withinBudget() // forgets what is past its window
		a.forget()
		for _, c := range a.classes {
			c.measure()
		}
	}
	a.dirty = false
	a.settle()
	a.renew()
}

// refillShard fills the replicas of one shard greedily, tightest aim first; a class whose mean there exceeds
// its aim moves to the front, once. The slowest part's mean exceeds the aim exactly where some shard's does.
func (a *Aggregator) refillShard(s *shard) { a.refillBy(s, a.present()) }

func (a *Aggregator) refillBy(s *shard, by basis) {
	a.work.shards++
	a.hold(s)
	order := append(a.order[:0], a.classes...)
	a.order = order
	slices.SortStableFunc(order, func(x, y *class) int { return int(x.Aim - y.Aim) })
	for range order {
		a.fill(s, order, by.at)
		late := slices.IndexFunc(order, func(c *class) bool { return s.mean(c, by.bases[c.idx]) > c.Aim.Seconds() })
		if late <= 0 {
			return
		}
		c := order[late]
		order = slices.Insert(slices.Delete(order, late, late+1), 0, c)
	}
}

func (a *Aggregator) fill(s *shard, order []*class, at time.Duration) {
	n, total := len(s.holders), 0.0
	equal := resize(&a.equal, n) // equal shares, a cold holder's in proportion to its ramp
	for i, r := range s.holders {
		equal[i] = 0
		if i < s.kept && r.ready() {
			equal[i] = a.rampAt(r, at)
			total += equal[i]
		}
	}
	rate, room := 0.0, resize(&a.room, n)
	for _, v := range s.rates {
		rate += max(v, weightSlack)
	}
	for i := range equal {
		equal[i] /= max(total, math.SmallestNonzeroFloat64)
		room[i] = (capFactor - floorFactor) * equal[i] * rate
	}
	for _, c := range order {
		demand := max(s.rates[c.idx], weightSlack)
		x := resize(&s.shares[c.idx], n)
		for i := range x {
			x[i] = floorFactor * equal[i]
		}
		left := (1 - floorFactor) * demand
		for left > weightSlack*demand {
			tied, width := s.cheapest(room, a.tied[:0])
			if a.tied = tied; len(tied) == 0 {
				break
			}
			give := min(left, width)
			for _, i := range tied {
				part := give * room[i] / width
				room[i] -= part
				if give == width {
					room[i] = 0
				}
				x[i] += part / demand
			}
			left -= give
		}
	}
}

// cheapest lists the holders with room whose mean ties with the lowest, and their room together.
func (s *shard) cheapest(room []float64, tied []int) (_ []int, width float64) {
	low := math.Inf(1)
	for i, r := range s.holders {
		if room[i] > 0 {
			low = min(low, r.ratio)
		}
	}
	for i, r := range s.holders {
		if room[i] > 0 && r.ratio <= low*(1+tieBand) {
			tied = append(tied, i)
			width += room[i]
		}
	}
	return tied, width
}

func (c *class) measure() {
	n := min(c.seenN, seenSize)
	if n < seenSize/8 {
		return
	}
	sorted := slices.Sorted(slices.Values(c.seen[:n]))
	c.work = min(c.work, sorted[n/10]) // cold or loaded replicas only make parts look dearer
	q := time.Duration(sorted[int(float64(n)*hedgeQuantile)] * float64(time.Second))
	c.overdue = min(max(q, scale(c.Aim, hedgeFirst)), scale(c.Aim, hedgeLast))
}

// Queries.

func (a *Aggregator) onQuery(ev QueryArrived) {
	q := &query{QueryArrived: ev, cls: a.byClass[ev.Class], raced: draws{}, coldDraws: draws{}}
	a.taken = append(a.taken, a.now)
	if q.cls == nil {
		a.do(Refuse{Query: ev.ID})
		return
	}
	q.end = ev.ValidUntil - max(a.set.Turn, time.Microsecond)
	q.floor = q.cls.Floor
	if ev.Whole {
		q.floor = q.cls.Need
	}
	q.aim = min(a.now+q.cls.Aim, q.end) // a client with little time left wants its answer within that
	a.open = append(a.open, q)
	a.queries[q.ID], a.byNumber[q.Number] = q, q
}

func (a *Aggregator) onPart(ev PartArrived) {
	q := a.byNumber[ev.Number]
	if q == nil {
		return
	}
	p := &part{PartArrived: ev, q: q}
	q.stir()
	q.parts = append(q.parts, p)
	a.parts[p.ID] = p
	if s := a.shardOf(ev.Shard); !ev.Held { // a held part is no load yet
		s.counts[q.cls.idx]++
	}
	a.hedges = min(hedgeBurst, a.hedges+hedgeShare)
	a.trials = min(trialRuns, a.trials+trialShare)
	a.taken = append(a.taken, a.now)
}

// onSettled lets a held part go out, or takes a part as served whose value the root has by other means.
func (a *Aggregator) onSettled(ev PartSettled) {
	if p := a.parts[ev.ID]; p != nil && !p.served && !p.q.closed {
		if p.Held && !ev.In {
			a.shardOf(p.Shard).counts[p.q.cls.idx]++
		}
		p.q.stir()
		if p.Held = false; ev.In {
			a.serve(p)
		}
	}
}

// admit refuses what cannot meet its aim, over-share traffic first.
func (a *Aggregator) admit(q *query) {
	q.admitted = true
	q.normalize()
	aim := q.cls.Aim.Seconds()
	pressure := a.predict(q) / aim
	refuse := pressure*float64(q.cls.Aim) > refuseMost*float64(q.aim-a.now) // it cannot be in time
	if t := a.tenants[q.Tenant]; t != nil && t.rate > 0 && a.set.OverShareWorth < 1 {
		t.tokens, t.at = min(t.room, t.tokens+t.rate*(a.now-t.at).Seconds()), a.now
		refuse = refuse || t.tokens < 1 && pressure > overSharePos
		if t.tokens >= 1 && !q.IsRetry { // a retry belongs to a query that was counted
			t.tokens--
		}
	}
	p := (pressure - refuseFrom) / (refuseAll - refuseFrom)
	if refuse || p > 0 && a.rng.Float64() < min(p, refuseMost) {
		// What is refused renews no base: it counts as one sample at the start.
		a.strain -= baseGain * max(0, a.strain-1)
		q.cls.base += baseGain * (min(q.cls.base, startMean*q.cls.Aim.Seconds()) - q.cls.base)
		a.giveUp(q)
		return
	}
	a.asked += float64(len(q.parts)) / max(1, float64(min(a.ready, a.set.Cells)))
	// An answer in part does without shut shards; half way to the floor without crowded ones and light parts.
	light := slices.Clone(q.parts)
	slices.SortStableFunc(light, func(x, y *part) int { return cmp.Compare(x.Weight, y.Weight) })
	little, sum := min((pressure-lateFrom)/(refuseFrom-lateFrom), lightest), q.cls.Need
	for _, p := range light {
		shut := a.shut(p)
		if rest := sum - p.Weight; shut && rest >= q.floor-weightSlack ||
			rest > (q.cls.Need+q.floor)/2 && (p.Weight*float64(len(light)) < little ||
				a.cost(p) > refuseMost*aim && a.rng.Float64() < refuseMost) {
			p.left, sum = true, rest
		} else if shut {
			a.giveUp(q)
			return
		}
	}
}

// shut tells that whoever could serve a part is shunned: it would but add to a crowd, and wait there in vain.
func (a *Aggregator) shut(p *part) bool {
	open := func(r *replica) bool { return a.now >= r.shunUntil }
	return a.fleet > 1 && !slices.ContainsFunc(a.shardOf(p.Shard).holders, open)
}

// predict is the expected latency of the slowest part that the least answer needs.
func (a *Aggregator) predict(q *query) float64 {
	parts := slices.Clone(q.parts)
	slices.SortStableFunc(parts, func(x, y *part) int { return cmp.Compare(a.cost(x), a.cost(y)) })
	last, sum := 0.0, 0.0
	for _, p := range parts {
		if sum < min(q.cls.Need, q.floor)-weightSlack {
			last, sum = a.cost(p), sum+p.Weight
		}
	}
	return last
}

// cost is the latency to expect of a part, at its shard's lower median holder.
func (a *Aggregator) cost(p *part) float64 {
	c, s := p.q.cls, a.shardOf(p.Shard)
	if m := a.usualOf(&s.common, s.subset()); !math.IsInf(m, 1) {
		return m * c.base * a.strain
	} // nobody is ready: hope, but prefer other parts, and spare a crowd if that is all there is
	return max(c.Aim.Seconds()*refuseFrom, s.least()*c.base*a.strain)
}

// choose marks the parts to ask for: all, or the quickest that make a whole answer; more of them when one
// that was asked for can no longer come.
func (a *Aggregator) choose(q *query, need float64) {
	sum := q.weight
	var spare []*part
	for _, p := range q.parts {
		if !p.wanted && !p.left {
			spare = append(spare, p)
		} else if p.wanted && !p.served && a.live(p) {
			sum += p.Weight
		}
	}
	if need < 1 && sum < need-weightSlack {
		slices.SortStableFunc(spare, func(x, y *part) int { return cmp.Compare(a.cost(x), a.cost(y)) })
	}
	for _, p := range spare {
		if sum < need-weightSlack {
			p.wanted = true
			sum += p.Weight
		}
	}
}

// live tells whether a part's answer can still come.
func (a *Aggregator) live(p *part) bool {
	return p.outstanding() > 0 || a.maySend(p)
}

// drive does what a query needs now: its answer, its end, missing attempts, second copies.
func (a *Aggregator) drive(q *query) {
	need, floor := q.cls.Need, min(q.floor, q.cls.Need)
	if q.step > 0 {
		if need = 1; q.floor >= q.cls.Need {
			floor = 1
		}
	}
	if a.now >= q.aim-a.set.Turn && !q.late { // go on only where that costs no other query its aim
		q.late = true
		if q.cls.LateWorth <= 0 || a.predict(q) > lateFrom*q.cls.Aim.Seconds() {
			q.end = a.now
		}
	}
	if len(q.parts) > 0 && q.weight >= need-weightSlack {
		a.answer(q, q.step == 0 || q.whole)
		return
	}
	a.choose(q, need)
	reach := q.weight // what could still come in
	for _, p := range q.parts {
		if !p.served && !p.left && a.live(p) {
			reach += p.Weight
		}
		if p.wanted && !p.Held && !p.served && p.outstanding() == 0 && a.maySend(p) &&
			a.now < q.end && a.now >= p.notBefore {
			r, t := a.pick(p, false), a.due(p)
			if t != nil {
				a.trials--
				a.send(p, t)
			}
			if r != nil && (t == nil || a.set.SecondCopies && a.maySend(p)) {
				a.send(p, r)
			}
		}
	}
	over, ready := a.now >= q.end, q.weight > 0 && q.weight >= floor-weightSlack
	short := reach < need-weightSlack && len(q.parts) > 0 // a second step's parts come a step later
	switch {
	case ready && (over || a.now >= a.cutoff(q) || short && q.weight >= reach-weightSlack):
		a.answer(q, false)
		return
	case over || short && reach < floor-weightSlack:
		a.giveUp(q)
		return
	}
	for _, p := range q.parts {
		if p.wanted && !p.served {
			a.hedge(p)
		}
	}
}

// cutoff is when what is in has to do: short of the aim, which the client counts from its own end of the way,
// and where a second step follows, short of it by that step's time when it is slow.
func (a *Aggregator) cutoff(q *query) time.Duration {
	by := q.aim - lookTurns*a.set.Turn
	if q.step == 0 && q.cls.SecondStep > 0 {
		by -= q.cls.overdue
	}
	return by
}

// answer answers a query. A class with a second step stays open for its new parts.
func (a *Aggregator) answer(q *query, whole bool) {
	a.do(Answer{Query: q.ID, Whole: whole})
	if q.step == 0 && q.cls.SecondStep > 0 {
		for _, p := range q.parts {
			a.callOff(p)
		}
		q.step, q.whole, q.weight, q.parts, q.admitted = 1, whole, 0, nil, true
		return
	}
	a.close(q)
}

// giveUp ends a query without an answer: refused where a new try is harmless, else failed.
func (a *Aggregator) giveUp(q *query) {
	harm := func(p *part) bool { return p.mayRun && q.cls.Repeat != Free }
	if q.step > 0 || slices.ContainsFunc(q.parts, harm) {
		a.do(Fail{Query: q.ID})
	} else {
		a.do(Refuse{Query: q.ID, RetryIn: a.set.RetryAdvice})
	}
	a.close(q)
}

// close forgets a query; attempts still out are called off.
func (a *Aggregator) close(q *query) {
	q.closed = true
	delete(a.queries, q.ID)
	delete(a.byNumber, q.Number)
	for _, p := range q.parts {
		a.callOff(p)
	}
}

// callOff ends the wait for a part; a part without attempts is forgotten.
func (a *Aggregator) callOff(p *part) {
	for _, at := range p.attempts {
		if a.set.Cancel && !at.ended && !at.off && !at.trial {
			at.off = true
			a.do(CallOff{Part: p.ID, Attempt: at.no})
		}
	}
	if !slices.ContainsFunc(p.attempts, func(at *attempt) bool { return !at.ended }) {
		delete(a.parts, p.ID)
	}
}

// Attempts.

// maySend tells whether the class bears another attempt of the part now.
func (a *Aggregator) maySend(p *part) bool {
	c := p.q.cls
	return len(p.attempts) == 0 || len(p.attempts) < c.most && a.withinBudget() &&
		(!p.mayRun || a.now <= c.Resend().Until(p.firstRun))
}

// withinBudget keeps the stated budget of further attempts.
func (a *Aggregator) withinBudget() bool {
	b := a.set.Budget
	if b == nil {
		a.taken, a.extras = nil, nil
		return true
	}
	edge := a.now - b.Window // at the edge an attempt still counts, a query no longer
	a.taken = slices.DeleteFunc(a.taken, func(t time.Duration) bool { return t <= edge })
	a.extras = slices.DeleteFunc(a.extras, func(t time.Duration) bool { return t < edge })
	return float64(len(a.extras)+1) <= float64(b.Free)+b.Ratio*float64(len(a.taken))
}

// due is a suspect whose trial is due, for copies beside the part's own attempt; where copies are barred,
// in its place: for an equal share of the parts, of classes that may miss one if there are such.
func (a *Aggregator) due(p *part) *replica {
	c, holders := p.q.cls, a.shardOf(p.Shard).subset()
	if a.trials < 1 || len(p.attempts) > 0 || c.Repeat == SingleShot || !a.set.SecondCopies &&
		(a.partial && c.Floor >= c.Need || a.rng.Float64()*float64(len(holders)) > 1) {
		return nil
	}
	for _, r := range holders {
		if r.suspect && a.now >= r.trialAt && len(r.out) == 0 && a.coldRoom(p, r) {
			return r
		}
	}
	return nil
}

// pick draws a replica for the part's next attempt by the shares: among the ready ones not yet tried, then
// the ready ones, then, since health never empties the choice, any listed: the failing last, after a pause.
func (a *Aggregator) pick(p *part, second bool) *replica {
	s, c := a.shardOf(p.Shard), p.q.cls
	open := func(r *replica) bool { return r.ready() && a.now >= r.shunUntil }
	fresh := func(r *replica) bool { return open(r) && a.now >= r.barred[c.idx] && !p.tried(r) }
	if c.Repeat == SingleShot { // an error or silence loses such a part for good, and they come in runs
		wary := scale(a.tightest, waryFor)
		trusted := func(r *replica) bool { // with this class
			lost := r.lostAt[c.idx]
			return fresh(r) && !a.stuck(r, c) && (lost == 0 || a.now >= lost+scale(wary, float64(1+r.faults[c.idx])))
		}
		sound := func(r *replica) bool { return trusted(r) && (r.errorAt == 0 || a.now >= r.errorAt+wary) }
		for _, ok := range []func(*replica) bool{sound, trusted} {
			if r := a.draw(p, s, ok); r != nil {
				return r
			}
		}
	}
	for i, ok := range []func(*replica) bool{
		fresh,
		open,
		func(r *replica) bool { return !r.failing && !p.tried(r) }, // the slow and the silent come first
		func(r *replica) bool { return a.now >= r.failedAt+a.firstPause() },
	} {
		if r := a.draw(p, s, ok); r != nil || second && i == 0 {
			return r
		}
	}
	return nil
}

// stuck tells whether a replica has kept a part for too long: it may leave just those unanswered.
func (a *Aggregator) stuck(r *replica, c *class) bool {
	return slices.ContainsFunc(r.out, func(at *attempt) bool {
		return at.part.q.cls == c && !at.excused && a.now-at.sent > a.late(r, c, keptFactor, hedgeFactor)
	})
}

// draw runs the query's race: a part takes the replica of least exponential variate / share. That draws by
// the shares, and parts of one query meet where they can. Replicas busier than the least busy are skipped.
// One beyond the subset stands in where nothing in it will do.
func (a *Aggregator) draw(p *part, s *shard, ok func(*replica) bool) *replica {
	least := math.MaxInt
	var pool []int
	for i, r := range s.holders {
		if (i < s.kept || len(pool) == 0) && ok(r) && a.now >= r.fullUntil && a.coldRoom(p, r) {
			pool = append(pool, i)
			least = min(least, a.busy(r))
		}
	}
	best, low := (*replica)(nil), math.Inf(1)
	for _, i := range pool {
		r := s.holders[i]
		if a.busy(r) > least {
			continue
		}
		v := p.q.raced.draw(r, a.rng.ExpFloat64) / max(s.shares[p.q.cls.idx][i], weightSlack)
		if v < low {
			low, best = v, r
		}
	}
	return best
}

// busy counts our calls at a replica, less the one of this step that a part could still join.
func (a *Aggregator) busy(r *replica) int {
	if a.openCall(r) != nil {
		return r.calls - 1
	}
	return r.calls
}

// coldRoom tells whether a replica can be sent a part: a cold one has this root's part of what the fall rule
// allows at its guaranteed ramp, never in a burst. What warm ones do, more than latencies tell, it can do.
func (a *Aggregator) coldRoom(p *part, r *replica) bool {
	f := a.ramp(r)
	if f >= 1 || p.tried(r) || !a.subset.Keeps(r.key) { // the budget is for first tries, of those who keep it
		return f >= 1
	}
	work := 0.0 // at least one core, so at least 1/work parts a second when warm
	for _, c := range a.classes {
		if c.seenN >= seenSize/8 || work == 0 { // a class too rare to be measured is taken to be like the others
			work = max(work, c.work)
		}
	}
	least := 1 / (work * float64(a.set.Roots))
	rate := f * coldSafety * a.set.Cold.Multiple * max(least/a.subset.Share, a.warmRate)
	room := rate * a.set.Cold.Window.Seconds()
	r.coldTokens, r.coldAt = min(max(1, room), r.coldTokens+rate*(a.now-r.coldAt).Seconds()), a.now
	if time.Duration(a.refills-1)*refillEvery <= a.set.Cold.Window { // too young to know what it is asked for
		p.q.coldDraws[r] = 1 // none, later either: the budget was for this query too
	} else if room < 1 { // no whole part: what each root saves for it lies idle
		crowd := float64(a.set.Reach) // what failed elsewhere may be all that its siblings were sent
		if len(p.attempts) == 0 {
			crowd = a.crowd(r)
		}
		return p.q.coldDraws.draw(r, func() float64 { return a.drawCold(r) })*crowd*max(a.askedRate, least) < rate
	}
	return r.coldTokens >= 1
}

// crowd is the load that would come to a replica if it took all that is drawn for it, in equal shares: one
// where all holders are warm, more where the others are cold, which take part of it only, or not there.
func (a *Aggregator) crowd(r *replica) (sum float64) {
	takes := func(o *replica) float64 { return min(1, coldSafety*a.set.Cold.Multiple*a.ramp(o)) }
	for j := range a.set.Reach {
		all := takes(r)
		for _, o := range r.siblings {
			if a.keeps(o) && mod(o.Cell-r.Cell+j, a.set.Cells) < a.set.Reach {
				all += takes(o)
			}
		}
		sum += 1 / all
	}
	return sum
}

func (a *Aggregator) send(p *part, r *replica) {
	if a.ramp(r) < 1 {
		r.coldTokens--
	}
	if r.suspect {
		r.trialAt = a.now + r.pause
	}
	at := &attempt{part: p, no: len(p.attempts), r: r, sent: a.now, trial: r.suspect}
	if len(r.out) == 0 && r.usedAt > 0 {
		at.idle = a.now - r.usedAt
	}
	if at.idle > scale(a.idleLimit, idleSafety) {
		at.idle = 0
		a.do(Disconnect{Replica: r.ID}) // the part opens a fresh connection
	}
	r.usedAt = a.now
	a.attach(at)
	if at.no > 0 {
		a.extras = append(a.extras, a.now)
	}
	until := p.q.aim // before the aim only until then: replicas drop what they have not begun
	if a.now >= until {
		until = p.q.end
	}
	a.do(Send{Part: p.ID, Replica: r.ID, Timeout: max(until-a.now, time.Microsecond)})
}

// hedge sends what an overdue part calls for, within a share of our traffic: a spare part where not all are
// needed, else a second copy. A query's last parts are free: the rest would be lost with them.
func (a *Aggregator) hedge(p *part) {
	at := p.latest() // never late before its class is overdue
	if at == nil || a.now-at.sent < p.q.cls.overdue || p.outstanding() != 1 || a.now >= p.q.end {
		return
	}
	// Where copies are barred, a part's only attempt is called off for the next one: a trial, or a lost one.
	lost := !a.set.SecondCopies && a.set.Cancel && (at.trial || p.q.cls.Repeat == Free && !at.excused &&
		a.hedges >= 1 && a.now-at.sent >= a.late(at.r, p.q.cls, silentFactor, lostFactor*max(lostSoon, 1/a.fleet)))
	free := lost || p.q.weight >= 1-hedgeShare
	if at.ended || at.off || at.counted || a.hedges < 1 && !free ||
		a.now-at.sent < a.late(at.r, p.q.cls, 1, hedgeFactor) {
		return
	}
	target := p
	if i := slices.IndexFunc(p.q.parts, func(x *part) bool { return !x.wanted && !x.left && !x.Held }); i >= 0 {
		target = p.q.parts[i]
	}
	if lost && a.maySend(p) { // the next one goes out when this one has ended
		if at.off = true; !at.trial {
			a.hedges--
		}
		a.do(CallOff{Part: p.ID, Attempt: at.no})
	}
	if target == p && (!a.set.SecondCopies || !a.maySend(p)) || at.off {
		return
	}
	if r := a.pick(target, true); r != nil {
		target.wanted, at.counted = true, true
		if !free {
			a.hedges--
		}
		a.send(target, r)
	}
}

func (a *Aggregator) onEnded(ev AttemptEnded) {
	p := a.parts[ev.Part]
	if p == nil || ev.Attempt < 0 || ev.Attempt >= len(p.attempts) || p.attempts[ev.Attempt].ended {
		return
	}
	at := p.attempts[ev.Attempt]
	at.r.usedAt = a.now
	at.detach(ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot)
	a.judge(at.r, p.q.cls, at, ev)
	if p.q.closed || !slices.Contains(p.q.parts, p) {
		a.callOff(p)
		return
	}
	if ev.Outcome != Served && len(p.attempts) > 1 {
		p.notBefore = a.now + scale(p.q.cls.Aim, lastPause)
	}
	if ev.Outcome == Served && !p.served {
		a.serve(p)
	}
}

// serve takes a part's value as in: no attempt of it is waited for any more.
func (a *Aggregator) serve(p *part) {
	p.served = true
	p.q.weight += p.Weight
	a.callOff(p)
}

// Replica health.

// judge draws from an attempt's outcome what it says of its replica. Quick failures never look like speed.
func (a *Aggregator) judge(r *replica, c *class, at *attempt, ev AttemptEnded) {
	a.before(r)
	took := ev.Took.Seconds()
	if at.excused || a.heldUp { // its time tells of this root, not of the replica
		took = min(took, r.ratio*c.base)
	}
	switch ev.Outcome {
	case Served:
		r.lastOK, r.okAt[c.idx], a.lastOK = a.now, a.now, a.now
		a.served += math.Floor(a.ramp(r)) // by warm ones
		r.errors, r.fulls, r.faults[c.idx], r.barred[c.idx], r.shunUntil = 0, 0, 0, 0, 0
		c.seen[c.seenN%seenSize] = took
		c.seenN++
		if r.restarted && !r.suspect && at.sent >= r.resetAt { // it lost a connection, or was long away
			if r.restarted = false; at.sent-r.resetAt > 2*a.firstPause() {
				a.chill(r, a.now)
			} else if r.lostIdle >= a.firstPause() {
				a.idleLimit = min(a.idleLimit, r.lostIdle)
			}
		}
		if r.suspect && !a.unused(r, at) {
			if took > backFactor*c.base*usual(r.siblings)/a.ramp(r) {
				a.doubt(r, at)
				return
			}
			if r.good++; r.good < trialRuns { // the next trial may follow at once
				r.trialAt = a.now
				return
			}
			a.welcome(r)
		}
		c.base += max(baseGain, 1/float64(c.seenN)) * (took - c.base)
		a.strain += baseGain * (took/c.base/r.ratio - a.strain)
		r.ratio += ratioGain * (took/c.base - r.ratio)
	case Full:
		r.fulls++
		r.fullUntil = a.now + scale(c.Aim, min(1, fullPause*float64(r.fulls)))
		a.shun(r, scale(a.firstPause(), float64(min(r.fulls, 2))))
		r.atLeast(c, c.Aim.Seconds()) // a full queue cannot meet the aim, and is load
		c.base += baseGain * max(0, c.Aim.Seconds()-c.base)
	case ConnectFailed: // nobody is there; who comes back may be a new process
		r.lostIdle, r.restarted, r.failing, r.failedAt = 0, true, true, a.now
		a.doubt(r, at)
	case Reset: // one connection broke with all that was on it: if the process died, it refuses the next one
		if at.sent >= r.resetAt {
			r.resetAt, r.lostIdle, r.restarted = a.now, at.idle, true
			r.failing, r.failedAt = r.errors > 0, a.now
			a.fault(r, at)
		}
	case Errored:
		r.failing, r.failedAt, r.errorAt = r.errors > 0, a.now, a.now
		a.fault(r, at)
		a.bar(r, c)
	case TimedOut, Cancelled:
		long := ev.Took >= a.late(r, c, silentFactor, slowFactor) && !at.excused && !a.heldUp
		if ev.Took >= a.late(r, c, keptFactor, hedgeFactor) {
			r.lostAt[c.idx] = a.now
		}
		switch {
		case at.trial && at.off:
			a.doubt(r, at)
		case long && r.lastOK < at.sent:
			a.fault(r, at) // silence is not slowness
		case long && r.okAt[c.idx] < at.sent:
			a.bar(r, c)
		default:
			a.strain += baseGain * max(0, took/c.base/r.ratio-a.strain) // load that served parts hide
			r.atLeast(c, took)
		}
	}
}

// atLeast takes a part that would have taken so long at least into a replica's ratio.
func (r *replica) atLeast(c *class, seconds float64) {
	r.ratio += ratioGain * max(0, seconds/c.base-r.ratio)
}

// shun keeps first attempts from a replica, for a pause that grows with the fleet, up to ten of the longest
// of a lone root: the tries of all roots add up, and would keep a full one full.
func (a *Aggregator) shun(r *replica, pause time.Duration) time.Duration {
	pause = min(scale(pause, a.fleet), scale(a.tightest, 10*trialLast))
	r.shunUntil = max(r.shunUntil, a.now+scale(pause, min(1, a.fleet-1)))
	return pause
}

// fault counts an error or a part given up long overdue; several in a row make a suspect.
func (a *Aggregator) fault(r *replica, at *attempt) {
	if r.errors++; r.errors >= errorRun {
		a.doubt(r, at)
	}
}

// bar keeps a class from a replica that failed it several times in a row while it served others.
func (a *Aggregator) bar(r *replica, c *class) {
	r.faults[c.idx]++
	r.barred[c.idx] = a.now + scale(a.tightest, trialLast*float64(r.faults[c.idx]/errorRun))
}

// doubt takes a replica out of the ready ones; each failed trial doubles the pause before the next.
func (a *Aggregator) doubt(r *replica, at *attempt) {
	if !r.suspect {
		a.setSuspect(r, true)
		r.suspectAt, r.pause, a.dirty = a.now, max(r.pause, a.firstPause()), true
	} else if at != nil && at.sent >= r.suspectAt {
		r.pause = min(2*r.pause, scale(a.tightest, trialLast))
	}
	r.good, r.trialAt = 0, a.nextTrial(r, a.shun(r, r.pause))
}

// unused tells whether a suspect that serves right after a reset was never ill: the part went on a connection
// dropped for want of use. Connections unused for nearly as long are not trusted then, and all who lost one
// are cleared. A process that restarts within two first pauses is taken for warm.
func (a *Aggregator) unused(r *replica, at *attempt) bool {
	if !r.restarted || r.lostIdle < a.firstPause() || at.sent-r.suspectAt > 2*a.firstPause() {
		return false
	}
	a.idleLimit = min(a.idleLimit, r.lostIdle)
	for _, o := range a.replicas {
		if o.suspect && o.restarted && o.lostIdle >= a.idleLimit {
			o.restarted = false
			a.welcome(o)
		}
	}
	return true
}

func (a *Aggregator) firstPause() time.Duration { return scale(a.tightest, trialFirst) }

// welcome makes a suspect ready again, as a joiner, and cold if its process may be a new one.
func (a *Aggregator) welcome(r *replica) {
	a.setSuspect(r, false)
	r.failing, r.good, r.errors, a.dirty = false, 0, 0, true
	r.pause /= 2 // not to nothing: who flaps waits longer each time
	if r.restarted {
		r.restarted = false
		a.chill(r, a.now)
	}
	a.join(r)
}

// chill marks a replica as started. Each root begins at a random part of its first token: whole ones at
// dozens of roots together would spend the fall rule's budget at once.
func (a *Aggregator) chill(r *replica, since time.Duration) {
	r.coldFrom, r.coldTokens, r.coldAt = since, a.rng.Float64(), a.now
}

// ratios lists the ratios of the ready ones of some replicas, in order, in the space of a list.
func ratios(some []*replica, list []float64) []float64 {
	for _, r := range some {
		if r.ready() {
			list = append(list, r.ratio)
		}
	}
	slices.Sort(list)
	return list
}

// join sets a replica's ratio to its siblings' average, or to the common one where it has none.
func (a *Aggregator) join(r *replica) {
	r.ratio = 1
	for i, v := range ratios(r.siblings, nil) {
		r.ratio += (v - r.ratio) / float64(i+1)
	}
}

// usual is the lower median ratio of the ready ones: what is common to all is load, not illness.
func usual(some []*replica) float64 {
	var space [16]float64
	if list := ratios(some, space[:0]); len(list) > 0 {
		return list[(len(list)-1)/2]
	}
	return math.Inf(1)
}

// late is how long a part may take: past being overdue, and far past what the replica's siblings take now,
// for what slows all of them is load.
func (a *Aggregator) late(r *replica, c *class, overdue, times float64) time.Duration {
	usual := min(times*c.base*a.usualOf(&r.common, r.siblings), c.Deadline.Seconds())
	return max(scale(c.overdue, overdue/a.ramp(r)), time.Duration(usual*float64(time.Second)))
}

// watchReplicas finds the silent (a part long overdue, nothing answered since it was sent, though others did
// answer) and the slow (a ratio far above the others').
func (a *Aggregator) watchReplicas() {
	for _, r := range a.watched() {
		for _, at := range r.out {
			at.excused = at.excused || a.heldUp
			if out := a.now - at.sent; out > scale(at.part.q.cls.overdue, silentFactor) && // late is no sooner
				r.ready() && !at.off && !at.excused && r.lastOK < at.sent && a.lastOK > at.sent &&
				out > a.late(r, at.part.q.cls, silentFactor, slowFactor) {
				a.doubt(r, at)
			}
		}
		if a.now >= a.nextRefill && r.ready() && a.ramp(r) == 1 && r.ratio > slowFactor*usual(r.siblings) {
			a.doubt(r, nil)
		}
	}
}

// The list.

func (a *Aggregator) onList(ev ListReceived) {
	switch ev.Scope {
	case ListRefused:
		a.subscribed = false
		a.listPause = min(max(2*a.listPause, refillEvery/2), max(a.set.ListMaxAge/4, refillEvery/2))
		a.listTry = a.now + scale(a.listPause, 0.5+a.rng.Float64())
		return
	case ListChanges, ListFull:
		a.subscribed, a.listPause = true, 0
	}
	a.dirty = true
	a.lists++
	for _, e := range ev.Replicas {
		r := a.byID[e.ID]
		if r == nil {
			r = a.newcomer(e)
			a.join(r)
			a.chill(r, e.Since)
		} else if e.Since > r.Since { // the same machine, a new process: cold, and whatever ailed it is over
			a.chill(r, e.Since)
			a.setSuspect(r, false)
			r.failing, r.restarted, r.errors = false, false, 0
			a.join(r)
		}
		a.relist(r, e)
		r.list = a.lists
	}
	if ev.Scope == ListChanges {
		return
	}
	for _, r := range a.replicas {
		if e := r.Replica; r.list != a.lists {
			e.State = Gone
			a.relist(r, e)
		}
	}
}

// forget drops replicas that are long over, for a long life brings ever new ones.
func (a *Aggregator) forget() {
	a.gone = slices.DeleteFunc(a.gone, func(r *replica) bool {
		over := r.State == Gone && len(r.out) == 0 && a.now-max(r.goneAt, r.usedAt) > keepGone
		if r.mayForget = r.State == Gone && !over; over {
			a.drop(r)
		}
		return !r.mayForget
	})
}

// keepList subscribes where the list must be asked for, again after each refusal.
func (a *Aggregator) keepList() {
	if !a.set.Subscribe || a.subscribed || a.now < a.listTry {
		return
	}
	a.listTry = a.now + max(a.set.ListMaxAge, refillEvery) // should no answer come at all
	a.do(Subscribe{})
}
