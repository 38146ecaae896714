package core

import (
	"slices"
	"strconv"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// The decision module sees a query of two phases as one query with all its parts, and admits, counts and answers it
// like any other. The parts that the Planner wants asked cheaply first are deferred. Their first phase is a second
// query in the module. This second query has no tenant, and has a class of its own so that its fast parts do not make
// replicas look fast. If the first phase proves a part's value, the part is pruned: it is reported to the module as
// resolved, and the module does not send its full query, or cancels it if the part was released before. Otherwise the
// part is released.

// firstPhase is the first phase of a query.
type firstPhase struct {
	query        *query  // query whose deferred parts the first phase asks
	id           string  // the module's id of the first phase
	parts        []*part // first-phase parts, one for each deferred part of the query
	releaseTimer *timer  // releases the parts that are still deferred when it is due
	ended        bool    // endFirstPhase has run, because the query is over
}

// firstPhaseSuffix is appended to a class's name to name the class of its first phases, and to a query's id in the
// module to form the id of its first phase. Clients cannot use that class: only the module's settings contain it, and
// validate checks against the coordinator's (inForce).
const firstPhaseSuffix = "/first"

// withFirstPhases returns the decision module's settings: the given ones, with a class for the first phases of each
// named class. It has the latency objective of its original class, so values that the decision module derives from the
// tightest objective stay the same.
func withFirstPhases(s scatter.Settings, classNames []string) scatter.Settings {
	s.Classes = slices.Clone(s.Classes)
	for _, name := range classNames {
		for _, class := range s.Classes {
			if class.Name == name {
				class.Name += firstPhaseSuffix
				s.Classes = append(s.Classes, class)
				break
			}
		}
	}
	return s
}

// planFirstPhase lets the Planner decide how a query's parts are asked. It defers and returns the parts that get a
// first phase.
func (c *Coordinator) planFirstPhase(q *query) (deferred []*part) {
	if c.cfg.Planner == nil || q.Index == "" || !slices.Contains(c.cfg.TwoPhaseClasses, q.Class) {
		return nil
	}
	plan := c.cfg.Planner.Plan(c.planRequest(q))
	for i, p := range q.parts {
		p.deferred = plan.Modes[i] == twophase.InTwoPhases
		p.wantsVersion = plan.Modes[i] == twophase.FullWithVersion
		if p.deferred {
			deferred = append(deferred, p)
		}
	}
	if len(deferred) > 0 {
		f := &firstPhase{query: q, id: q.moduleID + firstPhaseSuffix}
		f.releaseTimer = c.timers.add(c.now+plan.MaxDeferral, func() { c.releaseDeferred(f) })
		q.firstPhase = f
	}
	return deferred
}

// planRequest describes a query, already counted as open, for the Planner. If a first phase of all its parts would
// exceed the open limit, all shards are declared incapable of first phases. If the settings no longer contain the
// query's class, ObjectiveAt stays 0: no time is left, so no part is deferred.
func (c *Coordinator) planRequest(q *query) twophase.Request {
	request := twophase.Request{Topic: q.topic(), Body: string(q.Body), Cacheable: q.Cacheable,
		Capable: c.supportsFirstPhase, Now: c.now}
	if class := c.inForce().class(q.Class); class != nil {
		request.ObjectiveAt = min(q.Deadline, c.now+class.LatencyObjective)
	}
	for _, p := range q.parts {
		request.Shards = append(request.Shards, p.shard)
	}
	if c.exceedsOpenLimit(len(q.parts)) {
		request.Capable = func(int) bool { return false }
	}
	return request
}

// supportsFirstPhase reports whether a shard has holders that are ready according to the list and to maintenance, and
// all of them support a first phase. It may ignore an expired lease, which only excludes holders: those that remain
// support first phases too, and if none remains, neither phase is sent. The endpoint table caches the result until one
// of the holders, the lease, the maintenance or the settings change.
func (c *Coordinator) supportsFirstPhase(shard int) bool {
	shard = c.endpoints.ring.position(shard) // shards at the same ring position have the same holders
	supported, known := c.endpoints.firstPhaseSupport[shard]
	if known {
		return supported
	}
	for _, id := range c.endpoints.ring.holders(shard) {
		e := c.endpoints.byID[id]
		if c.maintenance.register.Effective(e.Replica).State != scatter.Ready {
			continue
		}
		if supported = c.cfg.TwoPhaseSchemes[e.Scheme]; !supported {
			break
		}
	}
	c.endpoints.firstPhaseSupport[shard] = supported
	return supported
}

// beginFirstPhase opens the first phase of a query's deferred parts in the decision module.
func (c *Coordinator) beginFirstPhase(q *query, deferred []*part) {
	if len(deferred) == 0 {
		return
	}
	f, number := q.firstPhase, c.open.nextNumber()
	c.notify(scatter.QueryArrived{ID: f.id, Number: number, Class: q.Class + firstPhaseSuffix, Expires: q.Deadline,
		Parts: len(deferred)})
	for _, full := range deferred {
		id := f.id + "." + strconv.Itoa(full.index)
		p := &part{id: id, index: full.index, shard: full.shard, query: q, full: full}
		full.firstPhasePart = p
		f.parts = append(f.parts, p)
		c.notify(scatter.PartArrived{ID: p.id, Number: number, Shard: p.shard, Weight: 1 / float64(len(deferred))})
	}
	c.open.addFirstPhase(f)
}

// releaseDeferred releases all parts that are still deferred, because the first phase has used up its time or the
// decision module has ended it. A first-phase outcome that arrives later may still prove a part's value, which cancels
// the part's full attempt. releaseDeferred does nothing for a nil first phase.
func (c *Coordinator) releaseDeferred(f *firstPhase) {
	if f == nil || !c.open.isOpen(f.query) {
		return
	}
	for _, p := range f.query.parts {
		c.release(p)
	}
}

// release lets the decision module send a deferred part as a full query.
func (c *Coordinator) release(p *part) {
	if p.deferred {
		p.deferred = false
		c.notify(scatter.PartReleased{ID: p.id})
	}
}

// endPartFirstPhase ends the first phase of a part. The decision module cancels an outstanding attempt of that first
// phase.
func (c *Coordinator) endPartFirstPhase(full *part) {
	if full.firstPhasePart != nil {
		c.notify(scatter.PartReleased{ID: full.firstPhasePart.id, Resolved: true})
		full.firstPhasePart = nil
	}
}

// endFirstPhase ends the first phase of a query that is over; f is nil if the query had none.
func (c *Coordinator) endFirstPhase(f *firstPhase) {
	if f == nil || f.ended {
		return
	}
	f.ended = true
	c.timers.remove(f.releaseTimer)
	c.open.removeFirstPhase(f)
	c.notify(scatter.QueryCancelled{ID: f.id})
	c.closeParts(f.parts)
}

// learn reports an attempt's result to the Planner: its latency, what a first phase proves, and a value to retain.
func (c *Coordinator) learn(at *Attempt, succeeded bool, value []byte, latency time.Duration) {
	p := at.part
	if p.query.Index == "" || c.cfg.Planner == nil {
		return
	}
	if succeeded {
		c.cfg.Planner.ObserveLatency(p.query.topic(), p.shard, at.FirstPhase, latency)
	}
	switch {
	case at.FirstPhase:
		c.learnFirstPhase(at, succeeded)
	case succeeded:
		c.learnFull(at, value)
	}
}

// learnFull handles the value of a full query: it ends the part's first phase, after it has passed the value to the
// Planner if a version was requested. The answer may lack that version.
func (c *Coordinator) learnFull(at *Attempt, value []byte) {
	p := at.part
	if at.WithVersion {
		c.cfg.Planner.ObserveFullWithVersion(p.query.topic(), p.shard, string(p.query.Body), at.Evidence, value, c.now)
	}
	c.endPartFirstPhase(p)
}

// learnFirstPhase handles the outcome of a first-phase attempt: the full part either gets its value from it or is
// released. Any outcome ends the part's first phase, so a failed attempt is not retried. If the full part was released
// earlier and gets its value here, the decision module cancels its outstanding attempts.
func (c *Coordinator) learnFirstPhase(at *Attempt, succeeded bool) {
	p, q, full := at.part, at.part.query, at.part.full
	if full.firstPhasePart != p || !c.open.isOpen(q) {
		return // the query is over, or the full part's value or another first-phase attempt came earlier
	}
	evidence := at.Evidence
	evidence.Readable = evidence.Readable && succeeded
	verdict, value := c.cfg.Planner.ObserveFirstPhase(q.topic(), p.shard, string(q.Body), evidence, full.deferred,
		c.now)
	firstPhasesEnded[verdict].Inc()
	if verdict.Proves() && full.value == nil {
		if verdict == twophase.Empty {
			value = q.EmptyValue
		}
		full.value, full.pruned, full.deferred = value, true, false
		c.notify(scatter.PartReleased{ID: full.id, Resolved: true})
	}
	full.wantsVersion = q.Cacheable && c.cfg.Planner.WantsVersion(q.topic(), p.shard)
	c.release(full)
	c.endPartFirstPhase(full)
}
