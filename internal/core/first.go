package core

import (
	"slices"
	"strconv"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// This file is the owner's part in queries of two phases. The module sees one query with all its parts, admitted,
// counted and answered as any other; those that the planner wants asked cheaply first are held. Their first
// phase is a second query of the module, of a class of its own so that its quick parts do not pass for quick
// replicas, and of no tenant. What it proves settles a held part; what it does not, lets the part out.

// first is the first phase of a query.
type first struct {
	q     *query
	id    string
	parts []*part
	due   *deadline // when the parts still held go out
	over  bool      // the module is done with it
}

const firstSuffix = "/first" // of a class's name; clients cannot name it, for check goes by the settings as told

// withFirsts adds the classes of first phases. They have their class's aim, so that no figure that the module
// takes from the tightest one moves.
func withFirsts(s scatter.Settings, classes []string) scatter.Settings {
	s.Classes = slices.Clone(s.Classes)
	for _, name := range classes {
		for _, c := range s.Classes {
			if c.Name == name {
				c.Name += firstSuffix
				s.Classes = append(s.Classes, c)
				break
			}
		}
	}
	return s
}

func (q *query) topic() twophase.Topic { return twophase.Topic{Index: q.Index, Class: q.Class} }

// plan asks the planner how a query's parts are asked, and lists those with a first phase.
func (o *Coordinator) plan(q *query) (firsts []*part) {
	if o.cfg.Planner == nil || q.Index == "" || !slices.Contains(o.cfg.TwoPhaseClasses, q.Class) {
		return nil
	}
	ask := twophase.Request{Topic: q.topic(), Body: string(q.Body), Capable: o.able, Now: o.now}
	if c := o.set().class(q.Class); c != nil {
		ask.Objective = min(q.Deadline, o.now+c.LatencyObjective)
	}
	for _, p := range q.parts {
		ask.Shards = append(ask.Shards, p.shard)
	}
	if most := o.most(); most > 0 && o.held+1+len(q.parts) > most {
		ask.Capable = func(int) bool { return false } // no room for a first phase
	}
	plan := o.cfg.Planner.Plan(ask)
	for i, p := range q.parts {
		p.held, p.signed = plan.Modes[i] == twophase.FirstPhase, plan.Modes[i] == twophase.FullWithVersion
		if p.held {
			firsts = append(firsts, p)
		}
	}
	if len(firsts) > 0 {
		q.first = &first{q: q, id: q.id + firstSuffix}
		q.first.due = o.deadlines.add(o.now+plan.MaxDeferral, func() { o.letOut(q.first) })
	}
	return firsts
}

// able tells whether all holders of a section that may be sent to speak to callers that know of first phases.
func (o *Coordinator) able(shard int) bool {
	shard = o.cells.position(shard)
	able, known := o.ables[shard]
	if !known {
		for _, id := range o.cells.holders(shard) {
			if n := o.nodes[id]; o.book.Effective(n.Replica).State == scatter.Ready {
				if able = o.cfg.TwoPhaseSchemes[n.Scheme]; !able {
					break
				}
			}
		}
		o.ables[shard] = able
	}
	return able
}

// begin opens the first phase with the module.
func (o *Coordinator) begin(q *query, firsts []*part) {
	if len(firsts) == 0 {
		return
	}
	f := q.first
	o.firsts[f.id] = f
	o.next++
	o.events = append(o.events, scatter.QueryArrived{ID: f.id, Number: o.next, Class: q.Class + firstSuffix,
		Expires: q.Deadline, Parts: len(firsts)})
	for _, of := range firsts {
		p := &part{id: f.id + "." + strconv.Itoa(of.index), index: of.index, shard: of.shard, q: q, of: of}
		of.ahead = p
		f.parts = append(f.parts, p)
		o.parts[p.id] = p
		o.events = append(o.events, scatter.PartArrived{ID: p.id, Number: o.next, Shard: p.shard, Weight: 1 / float64(len(firsts))})
	}
	o.held += 1 + len(f.parts)
}

// letOut ends the hold of all parts that still are: the first phase has had its time, or the module has given
// it up. Its answers may still come and prove something.
func (o *Coordinator) letOut(f *first) {
	if f == nil {
		return
	}
	if o.queries[f.q.id] != nil {
		for _, p := range f.q.parts {
			o.release(p)
		}
	}
}

func (o *Coordinator) release(p *part) {
	if p.held {
		p.held = false
		o.events = append(o.events, scatter.PartReleased{ID: p.id})
	}
}

// settle ends the first phase of a part. An attempt of it that is still out is called off.
func (o *Coordinator) settle(p *part) {
	if p.ahead != nil {
		o.events = append(o.events, scatter.PartReleased{ID: p.ahead.id, Resolved: true})
		p.ahead = nil
	}
}

// endFirst ends the first phase of a query that is over.
func (o *Coordinator) endFirst(q *query) {
	f := q.first
	if f == nil || f.over {
		return
	}
	f.over = true
	o.deadlines.remove(f.due)
	delete(o.firsts, f.id)
	o.events = append(o.events, scatter.QueryCancelled{ID: f.id})
	o.held -= 1 + len(f.parts)
	o.over(f.parts)
}

// learn takes what an attempt of a query with an index tells: its latency, what a first phase proves, and a
// value to retain.
func (o *Coordinator) learn(at *Attempt, served bool, value []byte, took time.Duration) {
	p, pl := at.part, o.cfg.Planner
	if p.q.Index == "" || pl == nil {
		return
	}
	k, text := p.q.topic(), string(p.q.Body)
	if served {
		pl.ObserveLatency(k, p.shard, at.FirstPhase, took)
	}
	if !at.FirstPhase {
		if served && at.WithVersion {
			pl.ObserveFull(k, p.shard, text, at.Evidence, value, o.now)
		}
		if served {
			o.settle(p)
		}
		return
	}
	of := p.of
	if of.ahead != p || o.queries[p.q.id] == nil { // settled without it
		return
	}
	found := at.Evidence
	found.Readable = found.Readable && served
	verdict, known := pl.ObserveFirstPhase(k, p.shard, text, found, of.held, o.now)
	if verdict.Proves() && of.value == nil {
		if verdict == twophase.Empty {
			known = p.q.EmptyValue
		}
		of.value, of.pruned, of.held = known, true, false
		o.events = append(o.events, scatter.PartReleased{ID: of.id, Resolved: true})
	}
	of.signed = pl.WantsVersion(k, p.shard)
	o.release(of)
	o.settle(of)
}
