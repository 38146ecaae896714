package scatter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pollTicks is the number of ticks between two checks of open queries.
	pollTicks = 4
	// minPollInterval is the least time between two such checks; it applies where pollTicks ticks are shorter, as with
	// a TickInterval of 0, which lets steps follow at once.
	minPollInterval = time.Millisecond
	// stalledShare is the share of the tightest latency objective by which a step may come after the timer's time
	// before the coordinator itself counts as stalled.
	stalledShare = 0.1
	// randomStream is the second half of the generator's seed.
	randomStream = 0x756d62
)

// Machine makes the decisions of one coordinator. Create it with New. It is not safe for concurrent use.
type Machine struct {
	settings Settings
	random   *rand.Rand

	now     time.Duration // time of the present step
	step    int           // number of the present step
	actions []Action      // requested so far by the present step
	timer   timer
	stalled bool // this step came so late after the timer's time that the coordinator counts as stalled

	classes   classTable
	quotas    map[string]*quota // by tenant
	endpoints endpointList
	replicas  replicaTable
	placement placement
	shards    shardTable
	shares    shareState
	queries   queryTable

	traffic         trafficRates
	loadFactor      float64 // recent latency of parts, as a multiple of class mean times latency ratio; 1 is usual
	lastSuccess     time.Duration
	idleConnections idleTrust
	responses       responseWatch
	retries         retryBudget
	hedges          allowance
	probes          allowance
	healthFixed     bool // no replica is ejected or reinstated, and no latency ratio changes, in the rest of this step
	examined        examined
	scratch         scratch
}

// examined counts the replicas and shards that were visited, for tests: the cost of a changed entry of the endpoint
// list may depend only on the replicas and shards that the change affects.
type examined struct{ replicas, shards int }

// scratch holds buffers that each computation of a shard's shares reuses. equal, capacity, keys and usable are by index
// in readyHolders, and tied holds such indexes. order holds the classes in the order in which they are filled.
type scratch struct {
	equal, capacity, keys []float64
	usable                []bool
	tied                  []int
	order                 []*class
}

// allowance is a token bucket that traffic fills: each part that arrives adds a fraction of a token, up to a limit.
type allowance struct {
	tokens float64
	limit  float64 // the most tokens that may accumulate
	rate   float64 // tokens that one part adds
}

func (b *allowance) partArrived() { b.tokens = min(b.limit, b.tokens+b.rate) }
func (b *allowance) empty() bool  { return b.tokens < 1 }
func (b *allowance) take()        { b.tokens-- }

// New returns a Machine without queries and replicas. The error is a *SettingError if a setting is impossible.
func New(seed uint64, s Settings) (*Machine, error) {
	m := &Machine{
		random:          rand.New(rand.NewPCG(seed, randomStream)),
		classes:         classTable{byName: map[string]*class{}},
		replicas:        replicaTable{byID: map[string]*replica{}},
		shards:          shardTable{byNumber: map[int]*shard{}},
		queries:         newQueryTable(),
		loadFactor:      1,
		idleConnections: idleTrust{limit: maxIdleTrust},
		hedges:          allowance{tokens: maxSavedHedges, limit: maxSavedHedges, rate: hedgeShare},
		probes:          allowance{limit: maxSavedProbes, rate: probeShare},
	}
	return m, m.Configure(s)
}

// Configure validates settings and applies them from the next step on. If it returns an error, a *SettingError, nothing
// has changed.
func (m *Machine) Configure(s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	m.settings = s
	m.shares.dirty = true
	m.retries.limit = s.RetryBudget
	m.reconfigureRing()
	m.updatePlacement()
	m.reconfigureClasses()
	m.reconfigureQuotas()
	return nil
}

// Step processes the events that have happened by now, and returns the actions to carry out, in order. It reads the
// timer's delay before a TimerFired event clears the timer, and detects outliers after the events and before the
// rebalance, which takes their ejection into account.
func (m *Machine) Step(now time.Duration, events []Event) []Action {
	m.now, m.actions, m.healthFixed = now, nil, false
	m.step++
	m.stalled = m.timer.lateBy(now) > scale(m.classes.tightest, stalledShare)
	for _, e := range events {
		m.apply(e)
	}
	m.detectOutliers()
	if m.shares.dirty || m.shares.due(now) {
		m.rebalance()
	}
	m.healthFixed = true
	m.advanceQueries()
	m.subscribe()
	m.setTimer()
	return m.actions
}

// apply processes one event.
func (m *Machine) apply(e Event) {
	switch e := e.(type) {
	case EndpointUpdate:
		m.onEndpointUpdate(e)
	case QueryArrived:
		m.onQueryArrived(e)
	case PartArrived:
		m.onPartArrived(e)
	case PartReleased:
		m.onPartReleased(e)
	case AttemptEnded:
		m.onAttemptEnded(e)
	case QueryCancelled:
		if q := m.queries.byID[e.ID]; q != nil {
			m.closeQuery(q)
		}
	case QueryExpired:
		if q := m.queries.byID[e.ID]; q != nil {
			q.endBy = m.now
			q.markDirty()
		}
	case TimerFired:
		m.timer.clear()
	}
}

// advanceQueries decides on the admission of queries that arrived in this step, even if they were cancelled in it,
// and advances every open query that is not idle.
func (m *Machine) advanceQueries() {
	for _, q := range m.queries.open {
		if !q.admissionDecided {
			m.admit(q)
		}
		if q.closed || m.isIdle(q) {
			continue
		}
		m.advance(q)
		m.updateIdle(q)
	}
	m.queries.open = slices.DeleteFunc(m.queries.open, func(q *query) bool { return q.closed })
}

// do requests an action from the caller.
func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

// timer is the state of the last SetTimer.
type timer struct {
	at time.Duration // when it fires; 0 if none is set
}

// lateBy returns how late the timer is: negative before it is due, and 0 if none is set.
func (t *timer) lateBy(now time.Duration) time.Duration {
	if t.at == 0 {
		return 0
	}
	return now - t.at
}

func (t *timer) clear() { t.at = 0 }

// setTimer requests a timer for the next rebalance, subscription, or answer or end of a query, and every few ticks
// while queries are open: overdue attempts, notBefore, nextProbe and rejectingUntil have no timer of their own.
func (m *Machine) setTimer() {
	due := m.shares.nextRebalance
	sooner := func(times ...time.Duration) {
		for _, t := range times {
			if t > m.now {
				due = min(due, t)
			}
		}
	}
	tick := m.settings.TickInterval
	for _, q := range m.queries.open {
		sooner(q.endBy, m.answerBy(q), q.answerDue-tick, m.now+max(pollTicks*tick, minPollInterval))
	}
	if m.settings.Subscribe && !m.endpoints.subscribed {
		sooner(m.endpoints.nextSubscribe)
	}
	due = max(due, m.now+max(tick, time.Microsecond))
	if m.timer.at <= m.now || due < m.timer.at {
		m.timer.at = due
		m.do(SetTimer{After: due - m.now})
	}
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// mod returns x modulo n, never negative.
func mod(x, n int) int { return ((x % n) + n) % n }
