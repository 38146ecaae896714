package core

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"harepass/internal/decide/overload"
	"harepass/internal/decide/retry"
	"harepass/internal/decide/scatter"
)

// This file is the queries that are open: what fronts hand over, and its way to one final answer.

// Query is what a front hands over. Done is called once, by the owner, and must not block.
type Query struct {
	ID              string // as the nodes are to see it
	Class           string
	Tenant          string
	Deadline        time.Duration // when the client gives up, on the owner's clock
	IsRetry         bool
	RequireComplete bool     // no answer in part is wanted
	Body            []byte   // what each part carries to its node
	IdempotencyKeys []string // values of the client's resend.Header, one for each line; of use in keyed classes only
	Origin          any      // the front's own form of the query, for callers that know it
	Admitted        bool     // by the gate, as its head told: not counted there again
	Index           string   // not empty where it may be asked in two phases: what its sections' values are kept under
	EmptyValue      []byte   // then: the value of a section without any hit
	Parts           []Part
	Done            func(Answer)

	ClientLeft func() bool // asks the system, without waiting, whether its client has left; nil where that cannot be told

	gone      <-chan struct{} // closed when its client has left; nil where that is told by Gone alone
	leftAsked atomic.Int64    // when ClientLeft was asked last
	left      atomic.Bool     // it said yes
}

// Part is a query's share in one shard.
type Part struct {
	Shard  int
	Weight float64
}

// Status is the kind of a final answer.
type Status int

// The final answers.
const (
	Served Status = iota
	Rejected
	Failed
	Invalid // no query that could be served: never begun
)

// Answer is the one final answer to a query. Values has an entry for each part, nil where none came in. Pruned
// tells, where the query had two phases, which of them the first one settled.
type Answer struct {
	Status     Status
	Complete   bool
	Values     [][]byte
	Pruned     []bool
	RetryAfter time.Duration
	Reason     string // what is invalid
}

type query struct {
	*Query
	id     string
	number int64
	resend retry.Policy // of its class when it was taken
	key    string       // its idempotency key; empty in a class that is not keyed
	taken  time.Duration
	bytes  int64
	parts  []*part
	due    *deadline
	first  *first // nil in one phase
}

type part struct {
	id       string
	index    int
	shard    int
	q        *query
	value    []byte
	attempts []*Attempt

	of     *part // that this is the first phase of
	ahead  *part // that is its first phase; nil in one phase, and once it is over
	held   bool  // not to be sent yet
	signed bool  // its value is wanted with its version
	pruned bool  // its value came of the first phase
}

type (
	submitted struct{ q *Query }
	left      struct{ q *Query }
)

// leftAskedEvery is how seldom the system is asked whether a client has left: it has to be known 100 ms after the event, and
// a query of many parts begins them all at once.
const leftAskedEvery = 20 * time.Millisecond

// abandoned tells whether a query's client has left, by word of whoever reads its connection or by the system's own. It does
// not block, and may be called from any goroutine.
func (q *Query) abandoned(now time.Duration) bool {
	if closed(q.gone) || q.left.Load() {
		return true
	}
	if q.ClientLeft == nil {
		return false
	}
	if asked := time.Duration(q.leftAsked.Load()); asked > 0 && now-asked < leftAskedEvery {
		return false
	}
	q.leftAsked.Store(int64(now))
	if q.ClientLeft() {
		q.left.Store(true)
		return true
	}
	return false
}

// Submit hands a query over. False means that the owner has no room or has stopped: nothing was taken.
func (o *Coordinator) Submit(q *Query) bool {
	if o.Phase() == Stopped {
		return false
	}
	select {
	case o.queue <- posted{submitted{q}, o.cfg.Clock()}:
		return true
	default:
		refusedQueueFull.Inc()
		return false
	}
}

// ClientGone tells that a query's client has left.
func (o *Coordinator) ClientGone(q *Query) { o.post(left{q}) }

// apply opens a query, or refuses it where the owner holds as much as it may. Nodes know a part by its query's
// id, so one that is taken stays so until its client's time is over and no node can still be at it.
func (m submitted) apply(o *Coordinator) {
	if m.q.abandoned(o.cfg.Clock()) { // while it was in the queue
		m.q.Done(Answer{Status: Failed})
		return
	}
	if o.unservable() {
		refusedListExpired.Inc()
		m.q.Done(Answer{Status: Rejected, RetryAfter: o.set().RetryAfter})
		return
	}
	size := 1 + len(m.q.Parts)
	if _, taken := o.ids[m.q.ID]; taken {
		m.q.Done(Answer{Status: Invalid, Reason: "the id is taken"})
		return
	}
	if most := o.most(); most > 0 && o.held+size > most {
		refusedOpenLimit.Inc()
		m.q.Done(Answer{Status: Rejected, RetryAfter: o.set().RetryAfter})
		return
	}
	policy := o.set().resendPolicy(m.q.Class) // the front's check may have gone by older settings
	key, err := policy.Key(m.q.IdempotencyKeys)
	if err != nil {
		m.q.Done(Answer{Status: Invalid, Reason: err.Error()})
		return
	}
	if o.drainEnd > 0 {
		m.q.Deadline = min(m.q.Deadline, o.drainEnd)
	}
	queriesTaken.Inc()
	o.held += size
	o.next++
	q := &query{Query: m.q, id: strconv.FormatInt(o.next, 10), number: o.next, resend: policy, key: key, taken: o.now}
	o.queries[q.id], o.byQuery[m.q] = q, q
	o.hold(q, int64(queryBytes+len(q.Body)+partBytes*len(q.Parts)))
	q.due = o.deadlines.add(q.Deadline+overdue, func() { o.overdue(q) })
	o.ids[q.ID] = struct{}{}
	o.deadlines.add(q.Deadline+overdue+abandonWait, func() { delete(o.ids, q.ID) })
	o.events = append(o.events, scatter.QueryArrived{ID: q.id, Number: o.next, Class: q.Class,
		Tenant: q.Tenant, Expires: q.Deadline, Parts: len(q.Parts), IsRetry: q.IsRetry, RequireComplete: q.RequireComplete})
	for i, p := range q.Parts {
		pt := &part{id: q.id + "." + strconv.Itoa(i), index: i, shard: p.Shard, q: q}
		q.parts = append(q.parts, pt)
		o.parts[pt.id] = pt
	}
	firsts := o.plan(q)
	for i, p := range q.parts {
		o.events = append(o.events, scatter.PartArrived{ID: p.id, Number: q.number, Shard: p.shard, Weight: q.Parts[i].Weight, Deferred: p.held})
	}
	o.begin(q, firsts)
}

func (m left) apply(o *Coordinator) {
	if q := o.byQuery[m.q]; q != nil {
		queriesClientLeft.Inc()
		o.traceGone(q)
		o.events = append(o.events, scatter.QueryCancelled{ID: q.id})
		o.close(q)
	}
}

// overdue gives up a query that the module has left without an answer: the client's time is over.
func (o *Coordinator) overdue(q *query) {
	if o.queries[q.id] != nil {
		queriesOverdue.Inc()
		o.events = append(o.events, scatter.QueryCancelled{ID: q.id})
		o.finish(q, Answer{Status: Failed})
	}
}

// finish gives a query its one final answer.
func (o *Coordinator) finish(q *query, a Answer) {
	countAnswer(a.Status)
	o.traceAnswer(q, a)
	o.close(q)
	q.Done(a)
}

// close forgets a query; outcomes of its attempts still reach the module.
func (o *Coordinator) close(q *query) {
	o.deadlines.remove(q.due)
	delete(o.queries, q.id)
	delete(o.byQuery, q.Query)
	o.held -= 1 + len(q.parts)
	o.bytes -= q.bytes
	if o.cfg.Admitter != nil {
		o.cfg.Admitter.QueryDone(len(q.parts))
	}
	o.endFirst(q)
	o.over(q.parts)
}

// over ends parts whose query is: what has not begun of them does not any more.
func (o *Coordinator) over(parts []*part) {
	for _, p := range parts {
		for _, at := range p.attempts {
			at.withhold()
		}
		o.forget(p)
	}
}

// forget drops a part that is over and has no attempt out.
func (o *Coordinator) forget(p *part) {
	if o.queries[p.q.id] != nil {
		return
	}
	for _, at := range p.attempts {
		if !at.ended {
			return
		}
	}
	delete(o.parts, p.id)
}

// check finds what makes a query one that could not be served, as far as the settings tell; it is for any
// goroutine. A client's time is cut to what its class allows.
func (o *Coordinator) check(q *Query) (reason string) {
	set := o.set()
	class, tenants := set.class(q.Class), set.Tenants
	switch now := o.cfg.Clock(); {
	case q.ID == "" || len(q.ID) > longestID || strings.ContainsFunc(q.ID, notInID):
		return "bad id"
	case class == nil:
		return "unknown class"
	case q.Tenant != "" && len(tenants) > 0 && !slices.ContainsFunc(tenants, func(t scatter.Tenant) bool { return t.Name == q.Tenant }):
		return "unknown tenant"
	case q.Deadline <= now:
		return "no time left"
	case len(q.Parts) == 0:
		return "no parts"
	default:
		q.Deadline = min(q.Deadline, now+class.Deadline)
	}
	if _, err := class.RetryPolicy().Key(q.IdempotencyKeys); err != nil {
		return err.Error()
	}
	sum, seen := 0.0, map[int]bool{}
	for _, p := range q.Parts {
		switch {
		case p.Shard < 0 || set.limits.Shards > 0 && p.Shard >= set.limits.Shards:
			return fmt.Sprintf("unknown shard %d", p.Shard)
		case seen[p.Shard]:
			return fmt.Sprintf("shard %d twice", p.Shard)
		case !(p.Weight > 0 && p.Weight <= 1+weightSlack):
			return fmt.Sprintf("weight %g", p.Weight)
		}
		seen[p.Shard] = true
		sum += p.Weight
	}
	if !(math.Abs(sum-1) <= weightSlack) {
		return fmt.Sprintf("weights sum to %g", sum)
	}
	return ""
}

// notInID tells what could not stand in an id on some wire; a dot parts it from the shard.
func notInID(c rune) bool {
	return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
}

// Ask submits a query and waits for its answer, or for its client to leave.
func (o *Coordinator) Ask(q *Query, gone <-chan struct{}) Answer {
	if reason := o.check(q); reason != "" {
		return Answer{Status: Invalid, Reason: reason}
	}
	if !q.Admitted {
		if ok, retryIn := o.Admit(overload.Arrival{Class: q.Class, Tenant: q.Tenant, IsRetry: q.IsRetry, Parts: len(q.Parts)}); !ok {
			return Answer{Status: Rejected, RetryAfter: retryIn}
		}
	}
	answers := make(chan Answer, 1)
	q.Done, q.gone = func(a Answer) { answers <- a }, gone
	if q.abandoned(o.cfg.Clock()) {
		return Answer{Status: Failed}
	}
	if !o.Submit(q) {
		return Answer{Status: Rejected, RetryAfter: o.set().RetryAfter}
	}
	select {
	case a := <-answers:
		return a
	case <-gone:
		o.ClientGone(q)
		return Answer{Status: Failed}
	}
}
