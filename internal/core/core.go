// Package core runs the decision module for fronts that take queries and callers that reach nodes. One
// goroutine, the owner, holds the module and all that is open; everybody else reaches it through a
// bounded queue. The package knows no wire.
package core

import (
	"cmp"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"harepass/internal/decide/maintenance"
	"harepass/internal/decide/scatter"
	"harepass/internal/decide/twophase"
)

// Limits are the figures of a coordinator that bind the root round the module rather than the module.
type Limits struct {
	MaxOpen      int           // queries and parts held at once, sent or not; 0 for no limit
	Shards       int           // 0 if that is not told
	DrainTimeout time.Duration // from Drain on, until the last query has to have its answer; 0 for no limit
}

// Clock reads the time as a duration since the Unix epoch; it never goes back.
type Clock func() time.Duration

// SystemClock reads the wall clock once and goes on from there by the monotonic clock.
func SystemClock() Clock {
	base := time.Now()
	return func() time.Duration { return time.Duration(base.UnixNano()) + time.Since(base) }
}

// Config is what an Owner is made of.
type Config struct {
	Seed         uint64
	Settings     scatter.Settings
	Limits       Limits
	Clock        Clock
	Callers      map[string]Caller // by Node.Scheme
	Subscribe    func()            // asks a source for its list; must not block
	PolledSource string            // that source; others tell of themselves

	// Two phases, for queries with an Index. Without a Planner all are asked in one.
	Planner         *twophase.Planner
	TwoPhaseClasses []string        // classes whose queries may have a first phase
	TwoPhaseSchemes map[string]bool // whose callers know of it

	OnCheckpoint func(scatter.Checkpoint) // told now and then of what the module has learned; must not block. nil for nobody

	Log        *slog.Logger // of queries, see trace.go; nil for the default
	Admitter   Admitter     // nil admits all
	CacheBytes int          // bytes that the Planner may retain while memory does not run short
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

// Coordinator holds the module. Use New, then Run.
type Coordinator struct {
	cfg   Config
	agg   *scatter.Machine
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
	ables     map[int]bool      // by position of the section; dropped where a node of it changes
	nodes     map[string]listedNode
	nodesMu   sync.RWMutex // the owner takes it to write to nodes, others to read
	cells     cellIndex    // of nodes
	lists     []listed     // to be taken in the next turns
	events    []scatter.Event
	deadlines deadlines
	wake      *deadline
	held      int           // queries and parts open
	bytes     int64         // held for them, as far as it is counted
	waited    Tick          // of the present turn
	began     atomic.Int64  // when the present turn began; 0 between turns
	drainEnd  time.Duration // once it drains: by then all has to be answered
	list      bool          // discovery has answered, be it with a refusal, or the remembered list has to do
	asked     bool          // for a list, and none is presumed yet
	ending    bool          // to stop when nothing is open

	leaseEnd   *deadline // when the list that was asked for expires; nil where nothing was said of that
	expired    bool      // it has
	onlyLeased bool      // then: there are no nodes but those of that list

	words words

	facts  atomic.Pointer[facts]
	books  atomic.Pointer[maintenance.Register] // the latest one, from any goroutine
	news   chan struct{}                        // holds a token when there is a later one
	heeded *maintenance.Register                // that the module has heard of
	book   maintenance.Register                 // the same
	bare   []int                                // sections that were logged last as lost by it
	shared atomic.Bool                          // with another process
}

// New returns an Owner in the phase Starting.
func New(cfg Config) (*Coordinator, error) {
	agg, err := scatter.New(cfg.Seed, withFirsts(cfg.Settings, cfg.TwoPhaseClasses))
	if err == nil {
		err = servable(cfg.Settings)
	}
	if err != nil {
		return nil, err
	}
	cfg.Log = cmp.Or(cfg.Log, slog.Default())
	o := &Coordinator{cfg: cfg, agg: agg, queue: make(chan posted, queueSize), news: make(chan struct{}, 1), done: make(chan struct{}),
		ready: make(chan struct{}), queries: map[string]*query{}, byQuery: map[*Query]*query{},
		ids: map[string]struct{}{}, parts: map[string]*part{}, firsts: map[string]*first{}, ables: map[int]bool{}, nodes: map[string]listedNode{}, deadlines: newDeadlines()}
	o.cells = newCellIndex(cfg.Settings.RingSize, cfg.Settings.ReplicationFactor, nil)
	o.facts.Store(&facts{cfg.Settings, cfg.Limits})
	if cfg.OnCheckpoint != nil {
		o.deadlines.add(cfg.Clock()+recallEvery, o.recall)
	}
	return o, nil
}
