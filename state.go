package harepass

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"harepass/internal/decide/subsetting"
)

// This file declares what an Aggregator remembers, and plain arithmetic on it. No decision is here.

// Aggregator decides for one root. Use New.
type Aggregator struct {
	set      Settings
	rng      *rand.Rand
	now      time.Duration
	turn     int
	out      []Action
	classes  []*class
	byClass  map[string]*class
	tenants  map[string]*tenant
	replicas []*replica // in order of first listing
	byID     map[string]*replica
	ring     ring
	apart    bool       // siblings are not what the ring says
	lastNo   int        // of a replica
	lists    int        // so many were received
	running  int        // replicas listed as such
	ready    int        // and of those, the ones that show no symptom
	engaged  []*replica // with attempts out, in order of first listing
	gone     []*replica // that may be forgotten in time
	shards   map[int]*shard
	touched  []*shard // in order of first use
	stale    int      // so many of them have shares from before the latest refill
	open     []*query // in order of arrival
	queries  map[string]*query
	byNumber map[int64]*query
	parts    map[string]*part

	subset     subsetting.Subset // of the replicas, that this root keeps
	fleet      float64           // how much more seldom than in a small fleet a root meets a replica
	tightest   time.Duration     // the tightest aim of any class
	lastOK     time.Duration     // when anything was served last
	heldUp     bool              // this step came late: the root itself stood still
	still      bool              // no replica's standing or ratio changes any more in this step
	idleLimit  time.Duration     // connections unused for so long were lost
	partial    bool              // some class may be answered in part
	settled    settled           // what the keys go by
	basis      basis             // of the latest refill
	refillNo   int               // how many there were, for whatever reason
	watchAt    time.Duration     // until then no attempt that is out makes a silent replica
	watchNo    int               // the refill that this is of
	decays     int               // and how many in their time, at which rates decay
	work       work
	dirty      bool // the list or a replica's health changed since the last refill
	nextRefill time.Duration
	wakeAt     time.Duration
	subscribed bool
	listTry    time.Duration // when to ask for the list next, unless subscribed
	listPause  time.Duration
	hedges     float64 // further attempts on suspicion that may be sent now
	served     float64 // parts that warm replicas served since the last refill
	asked      float64 // parts of admitted queries since then, for each ready replica
	warmRate   float64 // of those served, a second for each warm replica, decayed
	askedRate  float64 // of those asked
	refills    float64
	strain     float64 // how much longer than their bases parts take of late, those given up included
	trials     float64 // trial parts that may be sent now
	extras     []time.Duration
	taken      []time.Duration

	equal, room, keys []float64 // space for a shard's refill, by holder
	readies           []bool
	tied              []int
	order             []*class
}

type class struct {
	Class
	idx     int
	most    int               // attempts of a part
	seen    [seenSize]float64 // latest latencies, seconds; a ring
	seenN   int
	overdue time.Duration
	base    float64 // mean latency over all replicas, seconds
	work    float64 // seconds a part needs at least, as seen
}

type tenant struct {
	rate, room, tokens float64 // queries a second, and how far ahead of it it may and can run now
	at                 time.Duration
}

// memo keeps a figure for the rest of a step.
type memo struct {
	turn  int
	value float64
}

type replica struct {
	Replica
	no       int     // in order of first listing
	list     int     // that named it last
	engaged  bool    // has attempts out
	key      float64 // in this root's subset
	ratio    float64 // its latency in those usual for each class
	common   memo    // what is usual of its siblings
	siblings []*replica
	out      []*attempt
	calls    int
	current  *call // the latest call begun

	suspect   bool
	suspectAt time.Duration
	good      int // trial parts served well in a row
	pause     time.Duration
	trialAt   time.Duration
	errors    int
	fulls     int             // times in a row that it was full
	faults    []int           // in a row, by class
	barred    []time.Duration // by class: until then it gets none of it
	okAt      []time.Duration // by class: when it served one last
	lostAt    []time.Duration // by class: when one was given up last that it had kept for long
	lastOK    time.Duration
	fullUntil time.Duration
	shunUntil time.Duration // until then nothing is sent to it first
	failing   bool          // it fails at once, rather than being slow or silent
	failedAt  time.Duration
	resetAt   time.Duration // when a connection to it was last found broken
	errorAt   time.Duration // when it last answered with an error
	usedAt    time.Duration // when a part was last sent to it or ended there
	lostIdle  time.Duration // how long its connection had been unused before it became a suspect
	restarted bool          // connections failed: what returns may be a new, cold process

	mayForget  bool          // it is among those that may be forgotten in time
	goneAt     time.Duration // since when it is listed as gone; 0 if it is not
	coldFrom   time.Duration // its last start, listed or inferred; 0 for long ago
	coldTokens float64
	coldAt     time.Duration
	position   subsetting.Position // among the roots that keep it
	positioned bool
	sequence   subsetting.Sequence
}

func newReplica(r Replica, classes int) *replica {
	return &replica{Replica: r, faults: make([]int, classes), barred: make([]time.Duration, classes),
		okAt: make([]time.Duration, classes), lostAt: make([]time.Duration, classes)}
}

type shard struct {
	no      int
	refill  int         // that its shares are of
	decays  int         // that its rates have been through
	holders []*replica  // in the order of their keys
	kept    int         // so many of them are sent to while that will do
	common  memo        // what is usual of these
	counts  []float64   // parts by class since the last refill
	rates   []float64   // parts a refill by class, decayed
	shares  [][]float64 // by class, then holder
}

type query struct {
	QueryArrived
	cls       *class
	aim, end  time.Duration
	parts     []*part
	step      int
	floor     float64 // least share of the weight for an answer
	weight    float64 // of the served parts of this step
	whole     bool    // the first step's answer was whole
	raced     draws
	coldDraws draws // whether cold ones may be used
	admitted  bool
	late      bool
	closed    bool
	restNo    int           // the refill since which nothing has happened to it; below 0 for none
	rest      time.Duration // and until when driving it then changes nothing
}

type part struct {
	PartArrived
	q         *query
	attempts  []*attempt
	out       int // attempts that have not ended
	wanted    bool
	left      bool // not asked for: its shard is crowded, and an answer in part will do
	served    bool
	mayRun    bool // some attempt may have run, or may run yet
	firstRun  time.Duration
	notBefore time.Duration // no attempt until then
}

type attempt struct {
	part    *part
	no      int
	r       *replica
	call    *call
	sent    time.Duration
	idle    time.Duration // how long its connection had been unused
	ended   bool
	off     bool
	trial   bool // sent to a suspect, to learn whether it is back: it is not called off
	never   bool // proven never to have run
	excused bool // the root itself was held up while it was out
	counted bool // its lateness has been held against its replica
}

type call struct{ turn, parts, size int }

// draws are the numbers that a query has drawn for replicas, once for each.
type draws map[*replica]float64

func (d draws) draw(r *replica, from func() float64) float64 {
	v, drawn := d[r]
	if !drawn {
		v = from()
		d[r] = v
	}
	return v
}

// usualOf is the usual ratio of some replicas, computed once a step where it cannot change any more.
func (a *Aggregator) usualOf(m *memo, some []*replica) float64 {
	if !a.still {
		return usual(some)
	}
	if m.turn != a.turn {
		m.turn, m.value = a.turn, usual(some)
	}
	return m.value
}

func count(some []*replica, ok func(*replica) bool) (n float64) {
	for _, r := range some {
		if ok(r) {
			n++
		}
	}
	return n
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

func mod(x, n int) int { return ((x % n) + n) % n }

// sumSlack is by how much the weights of all parts may fall short of 1 for rounding (rule 5 of the wire).
const sumSlack = 1e-4

// normalize makes up for the rounding of the parts' weights: with all parts in a query is whole, though 48 weights of
// 0.020833 sum to 0.999984. Sums further off are no rounding and stay as they are.
func (q *query) normalize() {
	sum := 0.0
	for _, p := range q.parts {
		sum += p.Weight
	}
	if sum != 1 && math.Abs(sum-1) <= sumSlack {
		for _, p := range q.parts {
			p.Weight /= sum
		}
	}
}

// resting tells whether driving a query would change nothing.
func (a *Aggregator) resting(q *query) bool { return q.restNo == a.refillNo && a.now < q.rest }

// rest finds until when it would not, if nothing happens to the query and no refill comes: all parts that it waits for are
// out, and none is overdue.
func (a *Aggregator) rest(q *query) {
	q.restNo, q.rest = a.refillNo, min(q.end, a.cutoff(q), q.aim-a.set.Turn)
	for _, p := range q.parts {
		if !p.wanted || p.served || p.Held {
			continue
		}
		if p.out == 0 {
			q.stir()
			return
		}
		q.rest = min(q.rest, p.latest().sent+q.cls.overdue)
	}
}

// stir tells that something has happened to a query.
func (q *query) stir() { q.restNo = -1 }

func (p *part) outstanding() int { return p.out }

// latest is the part's last attempt, nil if there was none.
func (p *part) latest() *attempt {
	if n := len(p.attempts); n > 0 {
		return p.attempts[n-1]
	}
	return nil
}

// least is the lowest ratio of the holders that do not fail at once, 0 where there is none: of the silent it tells nothing
// new, of those that are merely crowded how much.
func (s *shard) least() (low float64) {
	for _, r := range s.subset() {
		if !r.failing && (low == 0 || r.ratio < low) {
			low = r.ratio
		}
	}
	return low
}

// subset is the holders that the root sends to.
func (s *shard) subset() []*replica { return s.holders[:s.kept] }

// place is this root's; none where it would change nothing.
func (a *Aggregator) place() subsetting.Place {
	if a.fleet <= 1 {
		return subsetting.Place{}
	}
	return subsetting.Place{Me: a.set.Me - 1, Of: a.set.Roots}
}

// drawCold draws a number for a cold replica: by this root's place, or at random where it has none.
func (a *Aggregator) drawCold(r *replica) float64 {
	if !a.place().Known() {
		return a.rng.Float64()
	}
	return r.sequence.Next(r.coldTokens)
}

// nextTrial is when this root may try a suspect next, after a pause.
func (a *Aggregator) nextTrial(r *replica, pause time.Duration) time.Duration {
	pl := a.place()
	if !pl.Known() {
		return a.now + pause
	}
	pause = max(pause, subsetting.SlotPeriod(a.subset.Share*float64(pl.Of), trialRate))
	return r.position.NextSlot(a.now, pause, subsetting.Salt(r.ID))
}

// keeps tells whether a replica takes part in the refill and this root sends to it.
func (a *Aggregator) keeps(r *replica) bool { return r.ready() && a.subset.Keeps(r.key) }

// mean is the expected latency at this shard under its shares of a class with that base.
func (s *shard) mean(c *class, base float64) (sum float64) {
	for i, r := range s.holders {
		sum += s.shares[c.idx][i] * r.ratio * base
	}
	return sum
}

// shardOf is a shard as it is now: its rates, and while queries are driven its shares. Between steps new settings may have
// made the basis one of other classes.
func (a *Aggregator) shardOf(no int) *shard {
	s := a.shards[no]
	if s == nil {
		s = &shard{no: no, refill: a.refillNo, decays: a.decays, counts: make([]float64, len(a.classes)),
			rates: make([]float64, len(a.classes)), shares: make([][]float64, len(a.classes))}
		a.shards[no] = s
		a.touched = append(a.touched, s)
		a.ring.addShard(s)
		a.refillShard(s)
	}
	s.decay(a.decays)
	if a.still && !a.dirty {
		a.freshen(s)
	}
	return s
}

// freshen gives a shard the shares of the latest refill. They are those that it would have had then: whatever they go by
// either stays as it was until the next refill, or is in the basis, or is kept by before.
func (a *Aggregator) freshen(s *shard) {
	if s.refill != a.refillNo {
		s.refill = a.refillNo
		a.stale--
		s.decay(a.decays)
		a.refillBy(s, a.basis)
	}
}

// before gives a replica's shards their shares before anything of it changes that these go by. Where a refill is to come
// in this step, it will do.
func (a *Aggregator) before(r *replica) {
	if a.stale > 0 && !a.dirty {
		a.ring.shardsOf(r.Cell, a.freshen)
	}
}

// present is the basis of a refill now.
func (a *Aggregator) present() basis {
	b := basis{at: a.now}
	for _, c := range a.classes {
		b.bases = append(b.bases, c.base)
	}
	return b
}

// renew makes the shares of all shards those of now. Each gets them when it is looked at, or when that would change.
func (a *Aggregator) renew() {
	a.refillNo++
	a.stale, a.basis = len(a.touched), a.present()
}

// decay takes a shard's rates through the refills up to one.
func (s *shard) decay(to int) {
	for changed := true; changed && s.decays < to; s.decays++ {
		changed = false
		for k, rate := range s.rates {
			s.rates[k] = rateKeep*rate + s.counts[k]
			changed = changed || s.rates[k] != rate
			s.counts[k] = 0
		}
	}
	s.decays = to
}

func (a *Aggregator) do(act Action) { a.out = append(a.out, act) }

// openCall is the call of this step to a replica that one more part can still join, if any.
func (a *Aggregator) openCall(r *replica) *call {
	if c := r.current; c != nil && c.turn == a.turn && c.parts > 0 && c.size < a.set.CallBatch {
		return c
	}
	return nil
}

// attach books a new attempt with its replica, its part and its call.
func (a *Aggregator) attach(at *attempt) {
	r, p := at.r, at.part
	if at.call = a.openCall(r); at.call == nil {
		at.call = &call{turn: a.turn}
		r.current = at.call
		r.calls++
	}
	at.call.parts++
	at.call.size++
	r.out = append(r.out, at)
	a.engage(at)
	if !p.mayRun {
		p.mayRun, p.firstRun = true, at.sent
	}
	p.attempts = append(p.attempts, at)
	p.out++
}

// detach books the end of an attempt; never tells that it is proven not to have run.
func (at *attempt) detach(never bool) {
	at.ended, at.never = true, never
	r, p := at.r, at.part
	p.out--
	p.q.stir()
	r.out = slices.DeleteFunc(r.out, func(o *attempt) bool { return o == at })
	if at.call.parts--; at.call.parts == 0 {
		r.calls--
	}
	first := slices.IndexFunc(p.attempts, func(o *attempt) bool { return !o.never })
	if p.mayRun = first >= 0; p.mayRun {
		p.firstRun = p.attempts[first].sent
	}
}

// tried tells whether the part was ever sent to a replica.
func (p *part) tried(r *replica) bool {
	return slices.ContainsFunc(p.attempts, func(at *attempt) bool { return at.r == r })
}

// ready tells whether a replica takes part in the refill: listed as running and showing no symptom.
func (r *replica) ready() bool { return r.State == Ready && !r.suspect }
