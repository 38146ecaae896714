// Package overload decides which arriving queries a coordinator refuses so that its own loop, CPU and memory
// do not fall behind: the least worth for their cost first, traffic beyond a tenant's share before any within
// it, and queries that may not run twice last. It has no I/O, no clock and no randomness of its own;
// docs/design/overload.md has the controllers weighed.
//
// It knows nothing of map nodes: whether they keep up is the decision module's to judge. A Controller is for one
// goroutine at a time. Instants are readings of any clock that never goes back.
package overload

import (
	"math"
	"time"
)

// Config is what an installation has and wants. Times and bytes of 0 or less are no limit.
type Config struct {
	WaitTarget    time.Duration // the mean wait for the loop that is aimed at
	Cores         float64
	MemoryBytes   int64         // bytes that may be in use
	MaxRetryAfter time.Duration // longest advice to the refused
	Classes       []Class
	Tenants       []Tenant       // none where traffic has no shares
	Rand          func() float64 // in [0, 1), for spreading the refused
}

// Class is a class of queries.
type Class struct {
	Name           string
	PriorityWeight float64
	NonIdempotent  bool    // may not run twice: refused last
	TypicalParts   float64 // usual number, where an arrival does not tell; at least 1
}

// Tenant has a share of the traffic: queries a second at this coordinator.
type Tenant struct {
	Name  string
	Quota float64
}

// Tunables: ratios and counts; times follow from the target.
const (
	windowTargets = 4.0  // a window, in targets: long enough for a mean, short enough for a rush
	depthTargets  = 6.0  // the bucket's depth, as time at the admitted rate
	drainTargets  = 20.0 // time in which what waits beyond the aim is to be worked off, in targets
	leastCut      = 0.4  // of the rate got done, whatever waits
	lateWindows   = 2    // windows in a row over the target that are more than chance
	farTargets    = 3.0  // a wait of so many targets is far behind
	nearAble      = 0.7  // share of what the loop could do of late from which the rate grows slowly
	quickGrowth   = 1.1  // of the rate in a window that is calm although queries were refused
	growth        = 1.03 // the same, near to what the loop could do
	calm          = 0.7  // share of the target that is aimed at, so that the target itself is seldom passed
	reserve       = 0.7  // of the bucket, that an arrival of no score leaves to others: the rest takes chance bursts
	mostRate      = 2.0  // of what the loop could do: more would say nothing
	leastRate     = 0.05 // of the most that was ever got done
	releaseAfter  = 20   // easy windows in a row after which nothing is limited any more
	doneGain      = 0.2  // weight of a window in the rate got done
	ableKeep      = 0.98 // part of what the loop could do that is kept in a window in which it is behind with less
	cpuFull       = 0.97 // share of the cores from which the rate does not grow
	cpuSpare      = 0.8  // and under which it grows quickly
	partsGain     = 0.05 // weight of an arrival in its class's usual number of parts
	retryLoss     = 0.02 // of its score: a retry has less time left
	overScore     = 0.15 // most that traffic beyond its tenant's share scores
	keptScore     = 0.2  // of what is kept, beyond its tenant's share
	lowScore      = 0.25 // least score of traffic within it
	burstSeconds  = 1.0  // a tenant may run ahead of its share by so much
	burstLeast    = 3.0  // and by so many queries, for a few meet by chance
	spreadRoom    = 0.08 // of what the loop can do that the refused may take when they come back
	leastRetry    = 10.0 // shortest advice, in targets
	stallFactor   = 3.0  // windows after which a late look says that the process itself stood still
)

// Arrival is a query as far as its head tells. Parts is 0 where that is not known yet.
type Arrival struct {
	Class, Tenant string
	IsRetry       bool
	Parts         int
}

// Decision on an arrival. RetryIn is for refused ones.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
}

// Controller admits and refuses. Use New.
type Controller struct {
	cfg     Config
	classes map[string]*class
	tenants map[string]*tenant

	limited  bool
	rate     float64 // cost a second that may be admitted, while limited
	tokens   float64
	tokensAt time.Duration
	done     float64    // cost a second that is got done, a moving mean
	able     float64    // what the loop can do, also when less is asked of it
	most     float64    // the most of it ever
	lateRun  int        // windows in a row with a wait over the target
	easyRun  int        // windows in a row without a refusal, and without a wait over the target
	owed     [2]float64 // cost of those told to come back that have not had the time to, within their shares and beyond
	owedAt   time.Duration

	window   window
	level    Level
	levelAt  time.Duration
	refusing float64 // share of the arrivals that are refused, a moving mean
	memory   MemoryLevel
	cost     cost
}

type class struct {
	Class
	score float64 // worth for its cost, scaled to [lowScore, 1]
	parts float64 // of the arrivals that told, a moving mean
}

type tenant struct {
	share, room, tokens float64
	at                  time.Duration
}

// window counts between two looks.
type window struct {
	begun            time.Duration
	admitted, denied float64 // cost
	done             float64
	queries, parts   float64
	refusals         float64
	lowest           float64 // score of the best that was refused
	highest          bool    // something kept was refused
}

// New returns a Controller that limits nothing yet.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, cost: newCost()}
	c.SetClasses(cfg.Classes, cfg.Tenants)
	return c
}

// SetClasses takes other classes and tenants over. Of those that it knows, what was learned is kept.
func (c *Controller) SetClasses(classes []Class, tenants []Tenant) {
	knownClasses, knownTenants := c.classes, c.tenants
	c.classes, c.tenants = map[string]*class{}, map[string]*tenant{}
	for _, k := range classes {
		c.classes[k.Name] = &class{Class: k, parts: max(1, k.TypicalParts)}
		if o := knownClasses[k.Name]; o != nil {
			c.classes[k.Name].parts = o.parts
		}
	}
	for _, t := range tenants {
		room := max(burstSeconds*t.Quota, burstLeast)
		n := &tenant{share: t.Quota, room: room, tokens: room}
		if o := knownTenants[t.Name]; o != nil {
			n.tokens, n.at = min(room, o.tokens), o.at
		}
		c.tenants[t.Name] = n
	}
	c.rank()
}

// rank scores the classes by their worth for what they cost this coordinator. Those kept come first.
func (c *Controller) rank() {
	best := 0.0
	for _, k := range c.classes {
		if !k.NonIdempotent {
			best = max(best, k.PriorityWeight/c.cost.of(k.parts))
		}
	}
	for _, k := range c.classes {
		k.score = 1
		if !k.NonIdempotent && best > 0 {
			k.score = lowScore + (0.9-lowScore)*k.PriorityWeight/c.cost.of(k.parts)/best
		}
	}
}

// within books an arrival against its tenant's share and tells whether it lies within it. What is kept draws on the
// share first, as far ahead as others may save up. This is a standing only: nothing is refused for it while
// there is room, and the module's own count is of what it is handed.
func (c *Controller) within(name string, kept, retry bool, now time.Duration) bool {
	t := c.tenants[name]
	if t == nil {
		return len(c.tenants) == 0
	}
	t.tokens = min(t.room, t.tokens+t.share*(now-t.at).Seconds())
	t.at = now
	if t.tokens < 1 && !(kept && t.tokens >= 1-t.room) {
		return false
	}
	if !retry { // it belongs to a query that was counted
		t.tokens--
	}
	return true
}

// Score is an arrival's standing: 1 is refused last.
func (c *Controller) score(k *class, in, retry bool) float64 {
	s := k.score
	switch {
	case !in && k.NonIdempotent: // the first of those beyond
		s = keptScore
	case !in:
		s *= overScore
	}
	if retry {
		s -= retryLoss
	}
	return max(0, s)
}

// Admit decides on an arrival. Unknown classes are admitted: what is wrong with them is for others to say.
func (c *Controller) Admit(a Arrival, now time.Duration) Decision {
	k := c.classes[a.Class]
	if k == nil {
		return Decision{Admitted: true}
	}
	parts := k.parts
	if a.Parts > 0 {
		parts = float64(a.Parts)
		k.parts += partsGain * (parts - k.parts)
	}
	in := c.within(a.Tenant, k.NonIdempotent, a.IsRetry, now)
	cost, score := c.cost.of(parts), c.score(k, in, a.IsRetry)
	kept := k.NonIdempotent && in
	if c.memory >= RejectNew && !(kept && c.memory == RejectNew) || c.limited && !c.take(cost, score, kept, now) {
		c.window.denied += cost
		c.window.refusals++
		c.window.lowest = max(c.window.lowest, score)
		c.window.highest = c.window.highest || kept
		return Decision{RetryAfter: c.advice(cost, in, now)}
	}
	c.window.admitted += cost
	c.window.queries++
	c.window.parts += parts
	return Decision{Admitted: true}
}

// take draws the cost from the bucket. An arrival leaves it filled in proportion to what it lacks in score, so the
// less worth are refused while there is still room for the others; what is kept may overdraw it.
func (c *Controller) take(cost, score float64, kept bool, now time.Duration) bool {
	depth := c.depth()
	c.tokens = min(depth, c.tokens+c.rate*max(0, now-c.tokensAt).Seconds())
	c.tokensAt = now
	least := reserve * (1 - score) * depth
	if kept {
		least = -depth
	}
	if c.tokens-cost < least {
		return false
	}
	c.tokens -= cost
	return true
}

// depth is what the bucket holds at most: so much can come at once.
func (c *Controller) depth() float64 { return c.rate * depthTargets * c.cfg.WaitTarget.Seconds() }

// advice tells a refused one when to come back: as in a queue that is served with a share of what the loop can do, so
// that all who were refused come back as a thin stream, however many they were at once. Those within their shares go
// before those beyond.
func (c *Controller) advice(cost float64, in bool, now time.Duration) time.Duration {
	room := spreadRoom * c.able
	served := room * (now - c.owedAt).Seconds()
	for i, owed := range c.owed {
		c.owed[i] = max(0, owed-served)
		served = max(0, served-owed)
	}
	c.owedAt = now
	ahead, line := c.owed[0], 0
	if !in {
		ahead, line = ahead+c.owed[1], 1
	}
	wait := leastRetry * c.cfg.WaitTarget.Seconds() * (1 + c.cfg.Rand())
	if room > 0 {
		wait += ahead / room
	}
	c.owed[line] += cost
	if most := c.cfg.MaxRetryAfter.Seconds(); most > 0 && wait > most { // the last half of it, evenly
		wait = most * (1 - c.cfg.Rand()/2)
	}
	return time.Duration(wait * float64(time.Second))
}

// QueryDone books an admitted query that has had its final answer, with its parts.
func (c *Controller) QueryDone(parts int) { c.window.done += c.cost.of(float64(parts)) }

// Signals is what is seen of the process since the last look.
type Signals struct {
	MeanWait              time.Duration // mean wait for the loop, or for a core if that is longer
	CPU                   float64       // cores in use
	LiveBytes, QueryBytes int64         // bytes: of the live heap, and held for queries as counted
	Descriptors           float64       // share of those there may be
	Open                  float64       // share of the queries and parts that may be open
}

// Interval is how far apart looks should be.
func (c *Controller) Interval() time.Duration {
	return time.Duration(windowTargets * float64(c.cfg.WaitTarget))
}

// Observe takes the signals, moves the limits and tells whether the level changed. It comes once a window; sooner where
// the wait is already far over the target.
func (c *Controller) Observe(s Signals, now time.Duration) (changed bool) {
	w := c.window
	span := now - w.begun
	if span <= 0 {
		return false
	}
	c.window = window{begun: now}
	if w.begun == 0 { // the first look: nothing is known of the time before it
		return false
	}
	stood := span > time.Duration(stallFactor*float64(c.Interval()))
	if !stood { // what was got done while standing still tells of that, not of what could be
		c.done += doneGain * (w.done/span.Seconds() - c.done)
		if s.MeanWait > c.cfg.WaitTarget { // else it did less since less was asked
			c.able *= ableKeep
		}
		c.able = max(c.able, c.done)
		c.most = max(c.most, c.done)
		c.cost.learn(s.CPU*span.Seconds(), w.queries, w.parts, w.refusals)
		c.rank()
	}
	c.move(s, w, now)
	c.memory = c.memory.next(s, c.cfg.MemoryBytes)
	return c.relevel(s, w, now)
}

// move sets the rate. While the loop is behind it is cut in proportion, by what works off in time those that wait; far
// behind, it is also no more than what is got done, for then each query costs more than before. In a calm window it
// grows as long as something is refused, the faster the farther it is from what the loop could do of late.
func (c *Controller) move(s Signals, w window, now time.Duration) {
	target := c.cfg.WaitTarget.Seconds()
	behind := s.MeanWait.Seconds() - calm*target
	if c.lateRun++; s.MeanWait <= c.cfg.WaitTarget {
		c.lateRun = 0
	}
	switch {
	case !c.limited && (c.lateRun >= lateWindows || s.MeanWait.Seconds() > farTargets*target):
		c.limited, c.rate, c.tokensAt = true, c.able, now
		c.tokens = c.depth() / 2
		fallthrough
	case c.limited && behind > 0:
		if s.MeanWait.Seconds() > farTargets*target {
			c.rate = min(c.rate, c.done)
		}
		c.rate = max(min(c.rate, c.able)*max(leastCut, 1-behind/(drainTargets*target)), leastRate*c.most)
	case c.limited && w.denied > 0:
		if s.CPU >= cpuFull*c.cfg.Cores || max(s.Descriptors, s.Open) > crowded {
			break
		}
		if c.rate < nearAble*c.able || s.CPU < cpuSpare*c.cfg.Cores {
			c.rate *= quickGrowth
		} else {
			c.rate *= growth
		}
		c.rate = min(c.rate, mostRate*c.able)
	}
	if c.easyRun++; w.denied > 0 || s.MeanWait > c.cfg.WaitTarget {
		c.easyRun = 0
	}
	c.limited = c.limited && c.easyRun < releaseAfter
}

const crowded = 0.9 // share of descriptors, or of open queries, from which the rate does not grow

// Costs tells what a query and a part of it are held to cost, in seconds of one core.
func (c *Controller) Costs() (query, part float64) { return c.cost.query, c.cost.part }

// Limited tells the cost a second that is admitted, in seconds of one core; infinite while nothing is limited.
func (c *Controller) Limited() float64 {
	if !c.limited {
		return math.Inf(1)
	}
	return c.rate
}
