// Package core runs the decision module for fronts that take queries and callers that reach nodes. One
// goroutine, the owner, holds the module and all that is open; everybody else reaches it through a
// bounded queue. The package knows no wire.
package core

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"harepass"
	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/overload"
	"harepass/internal/decide/resend"
	"harepass/internal/decide/twophase"
)

// Limits are the figures of a coordinator that bind the root round the module rather than the module.
type Limits struct {
	Open   int           // queries and parts held at once, sent or not; 0 for no limit
	Shards int           // 0 if that is not told
	Drain  time.Duration // from Drain on, until the last query has to have its answer; 0 for no limit
}

// Clock reads the time as a duration since the Unix epoch; it never goes back.
type Clock func() time.Duration

// SystemClock reads the wall clock once and goes on from there by the monotonic clock.
func SystemClock() Clock {
	base := time.Now()
	return func() time.Duration { return time.Duration(base.UnixNano()) + time.Since(base) }
}

// Query is what a front hands over. Done is called once, by the owner, and must not block.
type Query struct {
	ID       string // as the nodes are to see it
	Class    string
	Tenant   string
	Until    time.Duration // when the client gives up, on the owner's clock
	Retry    bool
	Whole    bool     // no answer in part is wanted
	Text     []byte   // what each part carries to its node
	Keys     []string // values of the client's resend.Header, one for each line; of use in keyed classes only
	Origin   any      // the front's own form of the query, for callers that know it
	Admitted bool     // by the gate, as its head told: not counted there again
	Index    string   // not empty where it may be asked in two phases: what its sections' values are kept under
	None     []byte   // then: the value of a section without any hit
	Parts    []Part
	Done     func(Answer)

	gone <-chan struct{} // closed when its client has left; nil where that is told by Gone alone
}

// Part is a query's share in one shard.
type Part struct {
	Shard  int
	Weight float64
}

// Verdict is the kind of a final answer.
type Verdict int

// The final answers.
const (
	Served Verdict = iota
	Refused
	Failed
	Invalid // no query that could be served: never begun
)

// Answer is the one final answer to a query. Values has an entry for each part, nil where none came in. Pruned
// tells, where the query had two phases, which of them the first one settled.
type Answer struct {
	Verdict Verdict
	Whole   bool
	Values  [][]byte
	Pruned  []bool
	RetryIn time.Duration
	Reason  string // what is invalid
}

// Node is a replica with the way to reach it.
type Node struct {
	harepass.Replica
	Address string
	Scheme  string // names the Caller that speaks to it
}

// Attempt is one try of a part at a node. Callers read the exported fields and hand it back.
type Attempt struct {
	Query   string
	Class   string
	Shard   int
	Text    []byte
	Key     string // the query's idempotency key; empty in a class that is not keyed
	Origin  any
	Timeout time.Duration
	Node    string
	First   bool              // asks what the section could add, not for its value
	Signed  bool              // the value is wanted with its version
	Found   twophase.Evidence // set by the caller before Ended, where First or Signed asked for it

	part   *part
	no     int
	sent   time.Duration
	caller Caller
	reason harepass.Outcome // of the abandoning
	due    *deadline
	ended  bool
	never  bool // proven not to have run
	permit permit
}

// Caller speaks to nodes. None of its methods may block or call the owner back from within.
type Caller interface {
	// Call sends the attempts as one call, those that may Begin right before their first byte is written; each ends in
	// one Owner.Ended.
	Call(node Node, attempts []*Attempt)
	// Abandon tells the node that an attempt is given up and then ends it as Cancelled, unless it
	// has ended otherwise. Called again, it closes the attempt's connection before it returns.
	Abandon(*Attempt)
	// Disconnect closes the idle connections to a node.
	Disconnect(node string)
}

// Reporter takes the outcomes of attempts; it is the Owner, but for tests of callers.
type Reporter interface {
	Ended(at *Attempt, outcome harepass.Outcome, value []byte)
}

// Config is what an Owner is made of.
type Config struct {
	Seed      uint64
	Settings  harepass.Settings
	Limits    Limits
	Clock     Clock
	Callers   map[string]Caller // by Node.Scheme
	Subscribe func()            // asks a source for its list; must not block
	Asked     string            // that source; others tell of themselves

	// Two phases, for queries with an Index. Without a Planner all are asked in one.
	Planner *twophase.Planner
	Firsts  []string        // classes whose queries may have a first phase
	Schemes map[string]bool // whose callers know of it

	Recalled func(harepass.Memory) // told now and then of what the module has learned; must not block. nil for nobody

	Log      *slog.Logger // of queries, see trace.go; nil for the default
	Gate     Gate         // nil admits all
	Retained int          // bytes that the Planner may retain while memory does not run short
}

const (
	queueSize   = 1024                  // messages waiting for the owner; fronts refuse beyond it
	abandonWait = 20 * time.Millisecond // for a caller to get the word out, should the way be blocked
	overdue     = 10 * time.Millisecond // past a client's time: the module's own answer is late
	weightSlack = 1e-3                  // rounding in a query's weights, as clients write them
	longestID   = 128

	// A watch that brings nothing is silent, and discovery may be overbooked: with a list remembered, no longer than
	// this is waited for a newer one before clients are taken.
	presumeAfter = 200 * time.Millisecond
)

// ErrSecondStep is returned for classes with a second step, which no front of this program has.
var ErrSecondStep = errors.New("core: classes with a second step are not served")

// Owner holds the module. Use New, then Run.
type Owner struct {
	cfg   Config
	agg   *harepass.Aggregator
	queue chan posted
	phase atomic.Int32
	done  chan struct{}
	ready chan struct{} // closed once the phase has left Starting

	now       time.Duration
	next      int64
	queries   map[string]*query // by the module's id
	byQuery   map[*Query]*query
	ids       map[string]struct{} // that clients gave to queries whose time is not over
	parts     map[string]*part
	firsts    map[string]*first // by the module's id
	ables     map[int]bool      // by section; made anew when the list changes
	nodes     map[string]listedNode
	events    []harepass.Event
	deadlines deadlines
	wake      *deadline
	held      int           // queries and parts open
	bytes     int64         // held for them, as far as it is counted
	waited    Turn          // of the present turn
	began     atomic.Int64  // when the present turn began; 0 between turns
	drainEnd  time.Duration // once it drains: by then all has to be answered
	list      bool          // discovery has answered, be it with a refusal, or the remembered list has to do
	asked     bool          // for a list, and none is presumed yet
	ending    bool          // to stop when nothing is open
	words     words

	facts   atomic.Pointer[facts]
	outages atomic.Pointer[maintenance.Book] // the latest one, from any goroutine
	news    chan struct{}                    // holds a token when there is a later one
	heeded  *maintenance.Book                // that the module has heard of
	book    maintenance.Book                 // the same
	bare    []int                            // sections that were logged last as lost by it
	known   atomic.Pointer[map[string]struct{}]
	shared  atomic.Bool // with another process
}

type listedNode struct {
	Node
	source string
}

type query struct {
	*Query
	id     string
	number int64
	resend resend.Policy // of its class when it was taken
	key    string        // its idempotency key; empty in a class that is not keyed
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

// New returns an Owner in the phase Starting.
func New(cfg Config) (*Owner, error) {
	agg, err := harepass.New(cfg.Seed, withFirsts(cfg.Settings, cfg.Firsts))
	if err == nil {
		err = servable(cfg.Settings)
	}
	if err != nil {
		return nil, err
	}
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	o := &Owner{cfg: cfg, agg: agg, queue: make(chan posted, queueSize), news: make(chan struct{}, 1), done: make(chan struct{}),
		ready: make(chan struct{}), queries: map[string]*query{}, byQuery: map[*Query]*query{},
		ids: map[string]struct{}{}, parts: map[string]*part{}, firsts: map[string]*first{}, ables: map[int]bool{}, nodes: map[string]listedNode{}, deadlines: newDeadlines()}
	o.facts.Store(&facts{cfg.Settings, cfg.Limits})
	if cfg.Recalled != nil {
		o.deadlines.add(cfg.Clock()+recallEvery, o.recall)
	}
	return o, nil
}

// message is something that another goroutine tells the owner.
type message interface{ apply(*Owner) }

// posted is a message with the time at which it was.
type posted struct {
	message
	at time.Duration
}

type (
	submitted struct{ q *Query }
	left      struct{ q *Query }
	ended     struct {
		at      *Attempt
		outcome harepass.Outcome
		value   []byte
		when    time.Duration
	}
	listed struct {
		source string
		scope  harepass.ListScope
		nodes  []Node
	}
	draining struct{}
)

// Submit hands a query over. False means that the owner has no room or has stopped: nothing was taken.
func (o *Owner) Submit(q *Query) bool {
	if o.Phase() == Stopped {
		return false
	}
	select {
	case o.queue <- posted{submitted{q}, o.cfg.Clock()}:
		return true
	default:
		return false
	}
}

// Gone tells that a query's client has left.
func (o *Owner) Gone(q *Query) { o.post(left{q}) }

// Ended brings an attempt's outcome; value is what the node served. Only the first one counts.
func (o *Owner) Ended(at *Attempt, outcome harepass.Outcome, value []byte) {
	o.post(ended{at, outcome, value, o.cfg.Clock()})
}

// Listed brings a source's list of nodes, its changes, or the news that it could not be had. A full list
// takes away only what the same source had named.
func (o *Owner) Listed(source string, scope harepass.ListScope, nodes []Node) {
	o.post(listed{source, scope, nodes})
}

// post waits for room: socket goroutines may, the owner never posts.
func (o *Owner) post(m message) {
	select {
	case o.queue <- posted{m, o.cfg.Clock()}:
	case <-o.done:
	}
}

// Run is the owner's goroutine. It returns when the phase is Stopped.
func (o *Owner) Run() {
	defer close(o.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for o.Phase() != Stopped {
		timer.Reset(o.untilNext())
		select {
		case m := <-o.queue:
			o.turn(m)
		case <-o.news:
			o.turn()
		case <-timer.C:
			o.turn()
		}
	}
}

// turn applies what has come in, sweeps the deadlines, and lets the module decide.
func (o *Owner) turn(first ...posted) {
	o.now = max(o.now, o.cfg.Clock())
	o.began.Store(int64(o.now))
	o.heed()
	for _, m := range first {
		o.take(m)
	}
	for n := len(o.queue); n > 0; n-- {
		o.take(<-o.queue)
	}
	o.sweep()
	o.step()
	o.advance()
	o.began.Store(0)
	o.tell()
}

func (o *Owner) take(m posted) {
	o.wait(o.now - m.at)
	m.apply(o)
}

// step runs the module until what it asks for has no outcome at once.
func (o *Owner) step() {
	for first := true; first || len(o.events) > 0; first = false {
		events := o.events
		o.events = nil
		o.perform(o.agg.Step(o.now, events))
	}
}

// apply opens a query, or refuses it where the owner holds as much as it may. Nodes know a part by its query's
// id, so one that is taken stays so until its client's time is over and no node can still be at it.
func (m submitted) apply(o *Owner) {
	if closed(m.q.gone) { // while it was in the queue
		m.q.Done(Answer{Verdict: Failed})
		return
	}
	size := 1 + len(m.q.Parts)
	if _, taken := o.ids[m.q.ID]; taken {
		m.q.Done(Answer{Verdict: Invalid, Reason: "the id is taken"})
		return
	}
	if most := o.most(); most > 0 && o.held+size > most {
		m.q.Done(Answer{Verdict: Refused, RetryIn: o.set().RetryAdvice})
		return
	}
	policy := o.set().resendPolicy(m.q.Class) // the front's check may have gone by older settings
	key, err := policy.Key(m.q.Keys)
	if err != nil {
		m.q.Done(Answer{Verdict: Invalid, Reason: err.Error()})
		return
	}
	if o.drainEnd > 0 {
		m.q.Until = min(m.q.Until, o.drainEnd)
	}
	o.held += size
	o.next++
	q := &query{Query: m.q, id: strconv.FormatInt(o.next, 10), number: o.next, resend: policy, key: key, taken: o.now}
	o.queries[q.id], o.byQuery[m.q] = q, q
	o.hold(q, int64(queryBytes+len(q.Text)+partBytes*len(q.Parts)))
	q.due = o.deadlines.add(q.Until+overdue, func() { o.overdue(q) })
	o.ids[q.ID] = struct{}{}
	o.deadlines.add(q.Until+overdue+abandonWait, func() { delete(o.ids, q.ID) })
	o.events = append(o.events, harepass.QueryArrived{ID: q.id, Number: o.next, Class: q.Class,
		Tenant: q.Tenant, ValidUntil: q.Until, Parts: len(q.Parts), IsRetry: q.Retry, Whole: q.Whole})
	for i, p := range q.Parts {
		pt := &part{id: q.id + "." + strconv.Itoa(i), index: i, shard: p.Shard, q: q}
		q.parts = append(q.parts, pt)
		o.parts[pt.id] = pt
	}
	firsts := o.plan(q)
	for i, p := range q.parts {
		o.events = append(o.events, harepass.PartArrived{ID: p.id, Number: q.number, Shard: p.shard, Weight: q.Parts[i].Weight, Held: p.held})
	}
	o.begin(q, firsts)
}

func (m left) apply(o *Owner) {
	if q := o.byQuery[m.q]; q != nil {
		o.events = append(o.events, harepass.QueryGone{ID: q.id})
		o.close(q)
	}
}

func (m ended) apply(o *Owner) { o.end(m.at, m.outcome, m.value, m.when) }

// apply merges the sources. The module takes a list, its changes or a refusal for an answer to its own
// Subscribe, so a source that it did not ask comes in as remembered: with that it would never subscribe.
func (m listed) apply(o *Owner) {
	ev := harepass.ListReceived{Scope: m.scope}
	if m.source != o.cfg.Asked {
		ev.Scope = harepass.ListRemembered
	}
	before := map[string]listedNode{} // those that the list may take away
	if m.scope == harepass.ListFull || m.scope == harepass.ListRemembered {
		for id, n := range o.nodes {
			if n.source == m.source {
				before[id] = n
				delete(o.nodes, id)
			}
		}
	}
	for _, n := range m.nodes {
		if before[n.ID] = o.nodes[n.ID]; n.State == harepass.Gone { // the module is told, the owner forgets it
			delete(o.nodes, n.ID)
		} else {
			o.nodes[n.ID] = listedNode{n, m.source}
		}
		o.traceListed(n)
		ev.Replicas = append(ev.Replicas, o.book.Told(n.Replica))
	}
	for id, n := range before { // what is out there still has its connection, which ends when it has been idle
		if _, here := o.nodes[id]; !here && o.cfg.Callers[n.Scheme] != nil {
			o.cfg.Callers[n.Scheme].Disconnect(id)
		}
	}
	if ev.Scope == harepass.ListFull || ev.Scope == harepass.ListRemembered {
		ev.Replicas = o.replicas()
	}
	o.events = append(o.events, ev)
	o.withholdLeaving()
	o.noteList()
	clear(o.ables)
	o.list = o.list || m.scope != harepass.ListRemembered && m.source == o.cfg.Asked
	o.presume()
}

// presume lets the list that is remembered do after a while, once the source was asked for a newer one; whichever of the
// two came first.
func (o *Owner) presume() {
	if o.asked && !o.list && len(o.nodes) > 0 {
		o.asked = false
		o.deadlines.add(o.now+presumeAfter, func() { o.list = true })
	}
}

// overdue gives up a query that the module has left without an answer: the client's time is over.
func (o *Owner) overdue(q *query) {
	if o.queries[q.id] != nil {
		o.events = append(o.events, harepass.QueryGone{ID: q.id})
		o.finish(q, Answer{Verdict: Failed})
	}
}

// finish gives a query its one final answer.
func (o *Owner) finish(q *query, a Answer) {
	o.traceAnswer(q, a)
	o.close(q)
	q.Done(a)
}

// close forgets a query; outcomes of its attempts still reach the module.
func (o *Owner) close(q *query) {
	o.deadlines.remove(q.due)
	delete(o.queries, q.id)
	delete(o.byQuery, q.Query)
	o.held -= 1 + len(q.parts)
	o.bytes -= q.bytes
	if o.cfg.Gate != nil {
		o.cfg.Gate.Done(len(q.parts))
	}
	o.endFirst(q)
	o.over(q.parts)
}

// over ends parts whose query is: what has not begun of them does not any more.
func (o *Owner) over(parts []*part) {
	for _, p := range parts {
		for _, at := range p.attempts {
			at.withhold()
		}
		o.forget(p)
	}
}

// forget drops a part that is over and has no attempt out.
func (o *Owner) forget(p *part) {
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

// end passes the first outcome of an attempt on; any later one is dropped.
func (o *Owner) end(at *Attempt, outcome harepass.Outcome, value []byte, when time.Duration) {
	if at.ended {
		return
	}
	at.ended = true
	at.never = outcome == harepass.Full || outcome == harepass.ConnectFailed || outcome == harepass.Moot
	o.deadlines.remove(at.due)
	if outcome == harepass.Cancelled && at.reason != harepass.Served { // else the caller took it back by itself
		outcome = at.reason
	}
	if outcome == harepass.Served && at.part.value == nil && !at.First {
		at.part.value = value
		if q := at.part.q; o.queries[q.id] != nil {
			o.hold(q, int64(len(value)))
		}
	}
	took := max(0, when-at.sent)
	o.traceEnd(at, outcome, took)
	o.events = append(o.events, harepass.AttemptEnded{Part: at.part.id, Attempt: at.no, Replica: at.Node,
		Outcome: outcome, Took: took})
	o.learn(at, outcome == harepass.Served, value, took)
	o.forget(at.part)
}

// abandon stops waiting for an attempt. Its outcome follows when the caller has got the word out, so
// that no other attempt of the part can reach a node before it.
func (o *Owner) abandon(at *Attempt, reason harepass.Outcome) {
	if at.ended || at.reason != harepass.Served {
		return
	}
	at.reason = reason
	at.withhold()
	o.deadlines.remove(at.due)
	at.due = o.deadlines.add(o.now+abandonWait, func() {
		at.caller.Abandon(at)
		o.end(at, harepass.Cancelled, nil, o.now)
	})
	at.caller.Abandon(at)
}

// perform does what the module asks for, in order; sends to one node leave together as calls.
func (o *Owner) perform(actions []harepass.Action) {
	calls := map[string][]*Attempt{}
	var order []string
	for _, act := range actions {
		switch a := act.(type) {
		case harepass.Send:
			if at := o.send(a); at != nil {
				if len(calls[a.Replica]) == 0 {
					order = append(order, a.Replica)
				}
				calls[a.Replica] = append(calls[a.Replica], at)
			}
		case harepass.CallOff:
			if p := o.parts[a.Part]; p != nil && a.Attempt < len(p.attempts) {
				o.abandon(p.attempts[a.Attempt], harepass.Cancelled)
			}
		case harepass.Answer:
			if q := o.queries[a.Query]; q != nil {
				ans := Answer{Whole: a.Whole, Values: make([][]byte, len(q.parts)), Pruned: make([]bool, len(q.parts))}
				for i, p := range q.parts {
					ans.Values[i], ans.Pruned[i] = p.value, p.pruned
				}
				o.finish(q, ans)
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Refuse:
			if q := o.queries[a.Query]; q != nil {
				o.finish(q, Answer{Verdict: Refused, RetryIn: a.RetryIn})
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Fail:
			if q := o.queries[a.Query]; q != nil {
				o.finish(q, Answer{Verdict: Failed})
			}
			o.letOut(o.firsts[a.Query])
		case harepass.Disconnect:
			if c := o.cfg.Callers[o.nodes[a.Replica].Scheme]; c != nil {
				c.Disconnect(a.Replica)
			}
		case harepass.Subscribe:
			o.cfg.Subscribe()
			o.asked = true
			o.presume()
		case harepass.WakeIn:
			o.deadlines.remove(o.wake)
			o.wake = o.deadlines.add(o.now+a.In, func() { o.events = append(o.events, harepass.Woken{}) })
		}
	}
	for _, id := range order {
		node, list := o.nodes[id], calls[id]
		for len(list) > 0 {
			n := min(len(list), max(1, o.set().CallBatch))
			o.cfg.Callers[node.Scheme].Call(node.Node, list[:n:n])
			list = list[n:]
		}
	}
}

// send books an attempt; nil where the part is over, whose outcome is then Moot.
func (o *Owner) send(a harepass.Send) *Attempt {
	p := o.parts[a.Part]
	if p == nil {
		return nil
	}
	at := &Attempt{Query: p.q.ID, Class: p.q.Class, Shard: p.shard, Text: p.q.Text, Key: p.q.key, Origin: p.q.Origin,
		Timeout: a.Timeout, Node: a.Replica, part: p, no: len(p.attempts), sent: o.now}
	p.attempts = append(p.attempts, at)
	o.permitted(at)
	scheme := o.nodes[a.Replica].Scheme
	at.caller = o.cfg.Callers[scheme]
	at.First, at.Signed = p.of != nil, p.signed && o.cfg.Schemes[scheme]
	if o.queries[p.q.id] == nil || at.caller == nil || at.First && (p.of.ahead != p || !o.cfg.Schemes[scheme]) {
		o.end(at, harepass.Moot, nil, o.now)
		return nil
	}
	if p.q.Index != "" && o.cfg.Planner != nil && !at.First {
		o.cfg.Planner.Asked(p.q.topic())
	}
	at.due = o.deadlines.add(o.now+a.Timeout, func() { o.abandon(at, harepass.TimedOut) })
	return at
}

// check finds what makes a query one that could not be served, as far as the settings tell; it is for any
// goroutine. A client's time is cut to what its class allows.
func (o *Owner) check(q *Query) (reason string) {
	set := o.set()
	class, tenants := set.class(q.Class), set.Tenants
	switch now := o.cfg.Clock(); {
	case q.ID == "" || len(q.ID) > longestID || strings.ContainsFunc(q.ID, notInID):
		return "bad id"
	case class == nil:
		return "unknown class"
	case q.Tenant != "" && len(tenants) > 0 && !slices.ContainsFunc(tenants, func(t harepass.Tenant) bool { return t.Name == q.Tenant }):
		return "unknown tenant"
	case q.Until <= now:
		return "no time left"
	case len(q.Parts) == 0:
		return "no parts"
	default:
		q.Until = min(q.Until, now+class.Deadline)
	}
	if _, err := class.Resend().Key(q.Keys); err != nil {
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
func (o *Owner) Ask(q *Query, gone <-chan struct{}) Answer {
	if reason := o.check(q); reason != "" {
		return Answer{Verdict: Invalid, Reason: reason}
	}
	if !q.Admitted {
		if ok, retryIn := o.Admit(overload.Arrival{Class: q.Class, Tenant: q.Tenant, Retry: q.Retry, Parts: len(q.Parts)}); !ok {
			return Answer{Verdict: Refused, RetryIn: retryIn}
		}
	}
	answers := make(chan Answer, 1)
	q.Done, q.gone = func(a Answer) { answers <- a }, gone
	if closed(gone) {
		return Answer{Verdict: Failed}
	}
	if !o.Submit(q) {
		return Answer{Verdict: Refused, RetryIn: o.set().RetryAdvice}
	}
	select {
	case a := <-answers:
		return a
	case <-gone:
		o.Gone(q)
		return Answer{Verdict: Failed}
	}
}
