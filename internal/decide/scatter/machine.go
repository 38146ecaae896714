package scatter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pollTicks is how many ticks lie between two looks at open queries.
	pollTicks = 4
	// minPollInterval is the least time between two such looks, also where ticks are shorter or not known.
	minPollInterval = time.Millisecond
	// stalledShare is the share of the tightest latency objective by which a timer may fire late before the
	// coordinator itself counts as stalled.
	stalledShare = 0.1
	// randomStream is the second half of the seed.
	randomStream = 0x756d62
)

// Machine decides for one coordinator. Use New. It is for one goroutine at a time.
type Machine struct {
	settings Settings
	random   *rand.Rand

	now     time.Duration // of the present step
	step    int           // number of the present step
	actions []Action      // that the present step has asked for so far
	timer   timer
	stalled bool // this step came late: the coordinator itself stood still

	classes   classTable
	quotas    map[string]*quota // by tenant
	endpoints endpointList
	replicas  replicaTable
	placement placement
	shards    shardTable
	shares    shareState
	queries   queryTable

	traffic         trafficRates
	loadFactor      float64 // how long parts have taken of late, as a multiple of their classes' means; 1 is usual
	lastSuccess     time.Duration
	idleConnections idleTrust
	responses       responseWatch
	retries         retryBudget
	hedges          allowance
	probes          allowance
	healthFixed     bool // no replica's health or latency ratio changes any more in this step
	examined        examined
	scratch         scratch
}

// examined counts what was looked at, for tests: a changed entry of the endpoint list may cost no more than what it
// concerns.
type examined struct{ replicas, shards int }

// scratch is memory that is used again by each computation of a shard's shares, by holder.
type scratch struct {
	equal, capacity, keys []float64
	ready                 []bool
	tied                  []int
	order                 []*class
}

// allowance is a bucket of tokens that traffic fills: a fraction of a token for each part that arrives, up to a limit.
type allowance struct {
	tokens float64
	limit  float64 // tokens that may be saved
	rate   float64 // tokens that one part brings
}

func (b *allowance) partArrived() { b.tokens = min(b.limit, b.tokens+b.rate) }
func (b *allowance) empty() bool  { return b.tokens < 1 }
func (b *allowance) take()        { b.tokens-- }

// New returns a Machine with nothing in hand, or a *SettingError.
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

// Configure checks settings and goes by them from the next step on. On an error, a *SettingError, nothing has
// changed.
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

// Step takes what happened at now and returns what to do, in order.
func (m *Machine) Step(now time.Duration, events []Event) []Action {
	m.now, m.actions, m.healthFixed = now, nil, false
	m.step++
	m.stalled = m.timer.delay(now) > scale(m.classes.tightest, stalledShare)
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

// apply takes one event.
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

// advanceQueries admits what has arrived in this step and does for every open query what is due.
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

// do asks for an action.
func (m *Machine) do(a Action) { m.actions = append(m.actions, a) }

// timer is the last SetTimer that was asked for.
type timer struct {
	at time.Duration // when it fires; 0 where none is set
}

// delay is by how much a timer is late, negative before it is due; 0 where none is set.
func (t *timer) delay(now time.Duration) time.Duration {
	if t.at == 0 {
		return 0
	}
	return now - t.at
}

func (t *timer) clear() { t.at = 0 }

// setTimer asks to be called when the next thing is due, and every few ticks while queries are open.
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

// scale multiplies a span of time.
func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// mod is x modulo n, never negative.
func mod(x, n int) int { return ((x % n) + n) % n }
