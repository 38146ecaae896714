package overload

import (
	"math"
	"time"
)

const (
	// windowTargets is the length of a window, in wait targets: long enough for a mean, short enough to react to a
	// rush.
	windowTargets = 4.0
	// stallWindows is the time between two observations, in window lengths, above which the process itself must have
	// been suspended.
	stallWindows = 3.0
)

// Config describes the resources, traffic and targets of a process. A Controller does not validate it.
type Config struct {
	WaitTarget    time.Duration  // target for the mean wait for the loop; above 0
	Cores         float64        // cores that the process may use; above 0, else an active limit never grows
	MemoryBytes   int64          // memory that the process may use; 0 or less for no limit
	MaxRetryAfter time.Duration  // longest time after which a rejected client is told to retry; 0 or less for no limit
	Classes       []Class        // classes of queries; a query of another class is admitted
	Tenants       []Tenant       // tenants with a quota; empty if traffic has no quotas
	Rand          func() float64 // random numbers in [0, 1), to spread the retries of rejected queries
}

// Class is a class of queries.
type Class struct {
	Name           string
	PriorityWeight float64 // value of a timely answer
	NonIdempotent  bool    // its parts must not run twice
	TypicalParts   float64 // initial estimate of the number of parts, refined by arrivals; at least 1
}

// Tenant is a customer with a share of the traffic.
type Tenant struct {
	Name  string
	Quota float64 // queries per second at this coordinator
}

// Arrival is an arriving query, described by what its head shows.
type Arrival struct {
	Class    string
	Tenant   string
	IsRepeat bool // the client repeats a query that it sent before
	Parts    int  // number of parts; 0 if it is not known yet
}

// Decision is the result of admission for an arrival.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // time after which the client of a rejected query may retry; 0 for an admitted query
}

// Signals are the measurements of the process since the last call of Observe.
type Signals struct {
	MeanWait           time.Duration // mean wait for the loop, or for a core if that is longer
	CoresUsed          float64       // CPU seconds per second
	LiveBytes          int64         // live heap at the last garbage collection
	QueryBytes         int64         // bytes accounted to open queries
	DescriptorFraction float64       // file descriptors in use, as a fraction of the limit
	OpenFraction       float64       // open queries and parts, as a fraction of the limit
}

// Controller admits and rejects queries. Create it with New. It is not safe for concurrent use.
type Controller struct {
	cfg        Config
	classes    map[string]*class
	tenants    map[string]*tenantQuota
	cost       costModel
	throughput throughput
	limit      rateLimit
	retries    retrySchedule
	level      levelTracker
	memory     MemoryLevel
	window     window
}

// window counts what happened between two observations.
type window struct {
	startedAt         time.Duration // instant of the earlier observation; 0 before the first one
	queries           float64       // admitted queries
	parts             float64       // parts of the admitted queries
	doneCost          float64       // cost of the answered queries, in core seconds
	rejections        float64       // rejected queries
	rejectedCost      float64       // cost of the rejected queries, in core seconds
	highestRejected   float64       // highest score of a rejected query
	rejectedProtected bool          // a protected query was rejected
}

// New returns a Controller whose rate limit is inactive.
func New(cfg Config) *Controller {
	c := &Controller{cfg: cfg, cost: newCostModel(), limit: rateLimit{waitTarget: cfg.WaitTarget, cores: cfg.Cores}}
	c.SetClasses(cfg.Classes, cfg.Tenants)
	return c
}

// SetClasses replaces the classes and tenants. It keeps what was learned about those that remain.
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

// Interval returns the time between two calls of Observe.
func (c *Controller) Interval() time.Duration {
	return time.Duration(windowTargets * float64(c.cfg.WaitTarget))
}

// Admit decides whether to admit an arrival. It admits a query of an unknown class, because validation is not the
// Controller's task.
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

// reject records a rejected query.
func (w *window) reject(cost, score float64, protected bool) {
	w.rejections++
	w.rejectedCost += cost
	w.highestRejected = max(w.highestRejected, score)
	w.rejectedProtected = w.rejectedProtected || protected
}

// QueryDone records the final answer of an admitted query with the given number of parts. It must be called once for
// each admitted query.
func (c *Controller) QueryDone(parts int) { c.window.doneCost += c.cost.ofQuery(float64(parts)) }

// Observe records the signals, adjusts the limits and reports whether the level changed. It must be called once per
// Interval, and may be called sooner if the wait is already far over the target.
func (c *Controller) Observe(s Signals, now time.Duration) (levelChanged bool) {
	w := c.window
	elapsed := now - w.startedAt
	if elapsed <= 0 {
		return false
	}
	c.window = window{startedAt: now}
	if w.startedAt == 0 { // there are no measurements from before the first observation
		return false
	}
	// A process that is suspended (SIGSTOP, a starved core) does no work. If that counted as throughput, the capacity
	// would drop, and queries would be rejected after the process resumes. A suspension shows as an observation that
	// comes far later than due.
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

// Costs returns the estimated costs of a query and of each of its parts, in core seconds.
func (c *Controller) Costs() (query, part float64) { return c.cost.query, c.cost.part }

// AdmittedRate returns the admitted cost, in core seconds per second. It is infinite while the limit is inactive.
func (c *Controller) AdmittedRate() float64 {
	if !c.limit.active {
		return math.Inf(1)
	}
	return c.limit.rate
}
