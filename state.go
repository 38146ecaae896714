package harepass

import (
	"cmp"
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
	shards   map[int]*shard
	touched  []*shard // in order of first use
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
	dirty      bool              // the list or a replica's health changed since the last refill
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

	goneAt     time.Duration // since when it is listed as gone; 0 if it is not
	coldFrom   time.Duration // its last start, listed or inferred; 0 for long ago
	coldTokens float64
	coldAt     time.Duration
	seat       subsetting.Seat // among the roots that keep it
	seated     bool
	lot        subsetting.Lot
}

func newReplica(r Replica, classes int) *replica {
	return &replica{Replica: r, faults: make([]int, classes), barred: make([]time.Duration, classes),
		okAt: make([]time.Duration, classes), lostAt: make([]time.Duration, classes)}
}

type shard struct {
	no      int
	holders []*replica  // in the order of their keys
	kept    int         // so many of them are sent to while that will do
	common  memo        // what is usual of these
	counts  []float64   // parts by class since the last refill
	rates   []float64   // parts a refill by class, decayed
	shares  [][]float64 // by class, then holder
}

type query struct {
	QueryArrived
	cls      *class
	aim, end time.Duration
	parts    []*part
	step     int
	floor    float64 // least share of the weight for an answer
	weight   float64 // of the served parts of this step
	whole    bool    // the first step's answer was whole
	race     lots
	luck     lots // with cold ones
	admitted bool
	late     bool
	closed   bool
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

// lots are what a query has drawn for replicas, once for each.
type lots map[*replica]float64

func (l lots) draw(r *replica, from func() float64) float64 {
	v, drawn := l[r]
	if !drawn {
		v = from()
		l[r] = v
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

// lot draws a number for a cold replica: by this root's place, or at random where it has none.
func (a *Aggregator) lot(r *replica) float64 {
	if !a.place().Known() {
		return a.rng.Float64()
	}
	return r.lot.Next(r.coldTokens)
}

// trialTurn is when this root may try a suspect next, after a pause.
func (a *Aggregator) trialTurn(r *replica, pause time.Duration) time.Duration {
	pl := a.place()
	if !pl.Known() {
		return a.now + pause
	}
	pause = max(pause, subsetting.Spread(a.subset.Share*float64(pl.Of), trialRate))
	return r.seat.Turn(a.now, pause, subsetting.Salt(r.ID))
}

// settle finds this root's place: its subset of what is listed as running, and the key of each replica there.
func (a *Aggregator) settle() {
	cells, running := map[int][]*replica{}, 0
	for _, r := range a.replicas {
		if r.State == Ready {
			cells[r.Cell] = append(cells[r.Cell], r)
			running++
		}
	}
	a.subset = subsetting.NewSubset(subsetting.Place{Me: a.set.Me - 1, Of: a.set.Roots}, subsetting.Ring{Cells: a.set.Cells, Reach: a.set.Reach, Nodes: running}, leastKept)
	a.fleet = max(1, a.subset.Share*float64(a.set.Roots)/fewRoots)
	for cell, some := range cells {
		slices.SortFunc(some, func(x, y *replica) int { return cmp.Or(cmp.Compare(x.Since, y.Since), cmp.Compare(x.ID, y.ID)) })
		for rank, r := range some {
			r.key = a.subset.Key(cell, rank)
			if seat := a.subset.Seat(a.place(), r.key); !r.seated || seat != r.seat {
				r.seat, r.seated, r.lot = seat, true, seat.Lot(subsetting.Salt(r.ID))
			}
		}
	}
}

// hold lists a shard's holders in the order of their keys, and how many of them this root sends to.
func (a *Aggregator) hold(s *shard) {
	s.holders = s.holders[:0]
	for _, r := range a.replicas {
		if r.State == Ready && mod(r.Cell-s.no, a.set.Cells) < a.set.Reach {
			s.holders = append(s.holders, r)
		}
	}
	slices.SortStableFunc(s.holders, func(x, y *replica) int { return cmp.Compare(x.key, y.key) })
	keys, ready := make([]float64, len(s.holders)), make([]bool, len(s.holders))
	for i, r := range s.holders {
		keys[i], ready[i] = r.key, r.ready()
	}
	s.kept = a.subset.Among(keys, ready, leastKept)
}

// keeps tells whether a replica takes part in the refill and this root sends to it.
func (a *Aggregator) keeps(r *replica) bool { return r.ready() && a.subset.Keeps(r.key) }

// mean is the expected latency of a class at this shard under its shares.
func (s *shard) mean(c *class) (sum float64) {
	for i, r := range s.holders {
		sum += s.shares[c.idx][i] * r.ratio * c.base
	}
	return sum
}

func (a *Aggregator) shardOf(no int) *shard {
	s := a.shards[no]
	if s == nil {
		s = &shard{no: no, counts: make([]float64, len(a.classes)), rates: make([]float64, len(a.classes)),
			shares: make([][]float64, len(a.classes))}
		a.shards[no] = s
		a.touched = append(a.touched, s)
		a.refillShard(s)
	}
	return s
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
