package overload

import (
	"math"
	"time"
)

const (
	// windowTargets is the length of a window in wait targets: long enough for a mean, short enough for a rush.
	windowTargets = 4.0
	// stallWindows is how many windows late an observation comes where the process itself was suspended.
	stallWindows = 3.0
)

// Config is what an installation has and wants. A Controller does not check it.
type Config struct {
	WaitTarget    time.Duration  // mean wait for the loop that is to be kept; above 0
	Cores         float64        // cores that the process may use; above 0, else an active limit never grows
	MemoryBytes   int64          // memory that the process may use; 0 or less for no limit
	MaxRetryAfter time.Duration  // longest time after which a rejected query is to come back; 0 or less for no limit
	Classes       []Class        // classes of queries; a query of another class is admitted
	Tenants       []Tenant       // tenants with a quota; none where traffic has no quotas
	Rand          func() float64 // random numbers in [0, 1), to spread the rejected queries' return
}

// Class is a class of queries.
type Class struct {
	Name           string
	PriorityWeight float64 // what a timely answer counts
	NonIdempotent  bool    // its parts must not run twice
	TypicalParts   float64 // usual number of parts, until arrivals have shown it; at least 1
}

// Tenant is a customer with a share of the traffic.
type Tenant struct {
	Name  string
	Quota float64 // queries a second at this coordinator
}

// Arrival is a query as far as its head shows.
type Arrival struct {
	Class    string
	Tenant   string
	IsRepeat bool // the client repeats a query that it has sent before
	Parts    int  // 0 where the number is not known yet
}

// Decision is what becomes of an arrival.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // when a rejected query may come back, from now; 0 for an admitted one
}

// Signals is what was seen of the process since the last call of Observe.
type Signals struct {
	MeanWait           time.Duration // mean wait for the loop, or for a core if that is longer
	CoresUsed          float64       // CPU seconds a second
	LiveBytes          int64         // live heap when the collector last looked
	QueryBytes         int64         // bytes booked for open queries
	DescriptorFraction float64       // file descriptors in use, as a fraction of the limit
	OpenFraction       float64       // open queries and parts, as a fraction of the limit
}

// Controller admits and rejects queries. Use New. It is for one goroutine at a time.
type Controller struct {
	cfg        Config
	classes    map[string]*class
	tenants    map[string]*tenantQuota
	cost       costModel
	throughput throughput
	limit      rateLimit
	returns    returnSchedule
	level      levelTracker
	memory     MemoryLevel
	window     window
}

// window counts what happened between two observations.
type window struct {
	begun             time.Duration // instant of the earlier observation; 0 before the first
	queries           float64       // queries admitted
	parts             float64       // parts of the admitted queries
	doneCost          float64       // cost of the queries answered, in core seconds
	rejections        float64       // queries rejected
	rejectedCost      float64       // cost of the queries rejected, in core seconds
	highestRejected   float64       // highest score of a rejected query
	rejectedProtected bool          // a protected query was rejected
}

// New returns a Controller that limits nothing yet.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, cost: newCostModel(), limit: rateLimit{waitTarget: cfg.WaitTarget, cores: cfg.Cores}}
	c.SetClasses(cfg.Classes, cfg.Tenants)
	return c
}

// SetClasses replaces the classes and tenants. What was learned of those that stay is kept.
func (c *Controller) SetClasses(classes []Class, tenants []Tenant) {
	oldClasses, oldTenants := c.classes, c.tenants
	c.classes, c.tenants = map[string]*class{}, map[string]*tenantQuota{}
	for _, k := range classes {
		c.classes[k.Name] = newClass(k, oldClasses[k.Name])
	}
	for _, t := range tenants {
		c.tenants[t.Name] = newTenantQuota(t.Quota, oldTenants[t.Name])
	}
	rankClasses(c.classes, c.cost)
}

// Interval is how long after one call of Observe the next one is due.
func (c *Controller) Interval() time.Duration {
	return time.Duration(windowTargets * float64(c.cfg.WaitTarget))
}

// Admit decides on an arrival. A query of an unknown class is admitted: to find fault with it is left to others.
func (c *Controller) Admit(a Arrival, now time.Duration) Decision {
	k := c.classes[a.Class]
	if k == nil {
		return Decision{Admitted: true}
	}
	parts := k.observeParts(a)
	withinQuota := c.chargeQuota(a, k.NonIdempotent, now)
	protected := k.NonIdempotent && withinQuota
	cost, score := c.cost.ofQuery(parts), k.score(withinQuota, a.IsRepeat)
	if c.memory.rejects(protected) || !c.limit.take(cost, score, protected, now) {
		c.window.reject(cost, score, protected)
		return Decision{RetryAfter: c.retryAfter(cost, withinQuota, now)}
	}
	c.window.queries++
	c.window.parts += parts
	return Decision{Admitted: true}
}

// reject counts a rejected query.
func (w *window) reject(cost, score float64, protected bool) {
	w.rejections++
	w.rejectedCost += cost
	w.highestRejected = max(w.highestRejected, score)
	w.rejectedProtected = w.rejectedProtected || protected
}

// QueryDone reports the final answer of an admitted query with so many parts. It is called once for each.
func (c *Controller) QueryDone(parts int) { c.window.doneCost += c.cost.ofQuery(float64(parts)) }

// Observe takes the signals, adjusts the limits and reports whether the level changed. It is due once an Interval, and
// may be called sooner where the wait is already far over the target.
func (c *Controller) Observe(s Signals, now time.Duration) (levelChanged bool) {
	w := c.window
	elapsed := now - w.begun
	if elapsed <= 0 {
		return false
	}
	c.window = window{begun: now}
	if w.begun == 0 { // nothing is known of the time before the first observation
		return false
	}
	// A process that was suspended (SIGSTOP, a starved core) did nothing meanwhile. Counted as throughput, that would
	// lower the capacity, and queries would be rejected once it goes on. The observation is then far later than it
	// was due.
	suspended := elapsed > time.Duration(stallWindows*float64(c.Interval()))
	if !suspended {
		c.throughput.observe(w.doneCost/elapsed.Seconds(), s.MeanWait > c.cfg.WaitTarget)
		c.cost.learn(s.CoresUsed*elapsed.Seconds(), w.queries, w.parts, w.rejections)
		rankClasses(c.classes, c.cost)
	}
	c.limit.adjust(s, w.rejectedCost, c.throughput, now)
	c.memory = c.memory.next(s, c.cfg.MemoryBytes)
	return c.level.update(w, c.memory, now)
}

// Costs returns what a query and each part of it are held to cost, in core seconds.
func (c *Controller) Costs() (query, part float64) { return c.cost.query, c.cost.part }

// AdmittedRate is the cost that is admitted, in core seconds a second; infinite while nothing is limited.
func (c *Controller) AdmittedRate() float64 {
	if !c.limit.active {
		return math.Inf(1)
	}
	return c.limit.rate
}
