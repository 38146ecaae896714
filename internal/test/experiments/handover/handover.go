// Package handover is an experiment: a new version of a coordinator takes over while half of its nodes are cold, with what the
// old one had learned and without. All of it is in virtual time, the module before emulated nodes with queues.
package handover

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/experiment"
	"harepass/internal/test/fake"
	"harepass/internal/test/virtualtime"
)

// Experiment plays the upgrade with several seeds.
var Experiment = experiment.Experiment{
	Name:  "hand-over",
	Short: "a new version takes over while half of the nodes are cold, with what the old one had learned and without; virtual time",
	Run:   run,
}

const (
	nodeCount   = 12
	reach       = 3     // cells that hold a section; each cell has one node
	rate        = 120.0 // lookups a second: the warm nodes are half busy with their part
	lookupParts = 4     // sections in a row
	partWork    = 16 * time.Millisecond
	nodeCores   = 2
	nodeQueue   = 40 // parts that wait at a node; more are turned away
	aim         = 380 * time.Millisecond
	deadline    = time.Second
	startAt     = time.Second      // of the virtual clock
	restartAt   = 20 * time.Second // of half of the nodes
	upgradeAt   = 22 * time.Second
	endAt       = 28 * time.Second
	seeds       = 5
	minGain     = 0.05 // of the lookups after an upgrade, to be in time beside a version that learns anew
)

var cold = scatter.SlowStart{InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond}

var settings = scatter.Settings{Coordinators: 1, RingSize: nodeCount, ReplicationFactor: reach, PartsPerCall: 1, TickInterval: time.Millisecond, MaxAttempts: 4, Cancellation: true, RetryAfter: time.Second,
	Classes:   []scatter.Class{{Name: "lookup", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1}},
	SlowStart: cold}

// coordinator is one version of it.
type coordinator struct {
	module   *scatter.Machine
	attempts map[string]int // by part
}

// event is something that a version is to hear.
type event struct {
	to   *coordinator
	what scatter.Event
}

// period is before the upgrade or after it.
type period int

const (
	beforeUpgrade period = iota
	afterUpgrade
)

func periodOf(at time.Duration) period {
	if at >= upgradeAt {
		return afterUpgrade
	}
	return beforeUpgrade
}

// play is one run. The lookups are counted by the period of their arrival.
type play struct {
	now     time.Duration
	rng     *rand.Rand
	pending virtualtime.Queue[event]
	nodes   map[string]*fake.Machine
	serving *coordinator
	came    map[string]time.Duration // arrivals, by lookup
	inTime  [2]int
	asked   [2]int
}

// newPlay sets the nodes up; nothing serves yet.
func newPlay(seed uint64) *play {
	p := &play{now: startAt, rng: rand.New(rand.NewPCG(seed, 0x68616e64)), nodes: map[string]*fake.Machine{}, came: map[string]time.Duration{}}
	for i := range nodeCount {
		p.nodes[nodeID(i)] = &fake.Machine{ServiceTime: partWork, Cores: nodeCores, QueueLength: nodeQueue,
			InitialCapacity: cold.InitialCapacity, SlowStart: cold.Duration, OverloadFactor: cold.OverloadFactor, OverloadWindow: cold.Window}
	}
	return p
}

func nodeID(i int) string { return fmt.Sprint("n", i) }

// runPlay plays a seed; handOn tells whether the new version is given what the old one has learned.
func runPlay(seed uint64, handOn bool) (*play, error) {
	p := newPlay(seed)
	if err := p.startVersion(seed); err != nil {
		return nil, err
	}
	restarted, upgraded := false, false
	for number := int64(1); p.now < endAt; number++ {
		next := p.now + time.Duration(p.rng.ExpFloat64()/rate*float64(time.Second))
		for at, e := range p.pending.Until(next) {
			p.now = max(p.now, at)
			p.step(e.to, e.what)
		}
		p.now = next
		if !restarted && p.now >= restartAt {
			restarted = true
			p.restartHalf()
		}
		if !upgraded && p.now >= upgradeAt {
			upgraded = true
			if err := p.upgrade(seed+1, handOn); err != nil {
				return nil, err
			}
		}
		p.ask(number)
	}
	return p, nil
}

// startVersion has a new version serve from now on. An old one ends what it has.
func (p *play) startVersion(seed uint64) error {
	module, err := scatter.New(seed, settings)
	if err != nil {
		return err
	}
	p.serving = &coordinator{module, map[string]int{}}
	p.step(p.serving, p.list())
	return nil
}

// restartHalf restarts half of the nodes: those in a row, so that some sections have cold holders only.
func (p *play) restartHalf() {
	for i := range nodeCount / 2 {
		p.nodes[nodeID(i)].Restart(p.now)
	}
	p.step(p.serving, p.list())
}

// upgrade starts a new version; where handOn is set it gets the old one's memory, as the program does it, by way of JSON.
func (p *play) upgrade(seed uint64, handOn bool) error {
	data, err := json.Marshal(p.serving.module.Checkpoint())
	if err != nil {
		return err
	}
	if err := p.startVersion(seed); err != nil || !handOn {
		return err
	}
	var learned scatter.Checkpoint
	if err := json.Unmarshal(data, &learned); err != nil {
		return err
	}
	p.serving.module.Restore(learned)
	return nil
}

// ask has the present version be asked a lookup.
func (p *play) ask(number int64) {
	id := fmt.Sprint("q", number)
	p.came[id] = p.now
	p.asked[periodOf(p.now)]++
	events := []scatter.Event{scatter.QueryArrived{ID: id, Number: number, Class: "lookup", Expires: p.now + deadline, Parts: lookupParts}}
	first := p.rng.IntN(nodeCount)
	for i := range lookupParts {
		events = append(events, scatter.PartArrived{ID: fmt.Sprint(id, ".", i), Number: number, Shard: (first + i) % nodeCount, Weight: 1.0 / lookupParts})
	}
	p.step(p.serving, events...)
}

// list is what both versions are told of the nodes.
func (p *play) list() (ev scatter.EndpointUpdate) {
	ev.Kind = scatter.FullUpdate
	for i := range nodeCount {
		id := nodeID(i)
		ev.Replicas = append(ev.Replicas, scatter.Replica{ID: id, RingPosition: i, StartedAt: p.nodes[id].StartedAt})
	}
	return ev
}

// step gives a version events and does what it asks for.
func (p *play) step(c *coordinator, events ...scatter.Event) {
	for _, action := range c.module.Step(p.now, events) {
		switch a := action.(type) {
		case scatter.SetTimer:
			p.pending.Add(p.now+a.After, event{c, scatter.TimerFired{}})
		case scatter.CancelAttempt: // its work is done all the same
			p.pending.Add(p.now, event{c, scatter.AttemptEnded{Part: a.Part, Attempt: a.Attempt, Outcome: scatter.Cancelled, Latency: aim}})
		case scatter.Send:
			p.send(c, a)
		case scatter.Answer:
			if came := p.came[a.Query]; p.now-came <= aim {
				p.inTime[periodOf(came)]++
			}
		}
	}
}

// send begins an attempt.
func (p *play) send(c *coordinator, a scatter.Send) {
	attempt := c.attempts[a.Part]
	c.attempts[a.Part]++
	end, taken := p.nodes[a.Replica].Accept(p.now)
	ended := scatter.AttemptEnded{Part: a.Part, Attempt: attempt, Replica: a.Replica, Latency: end - p.now}
	if !taken {
		ended.Outcome = scatter.Rejected
	} else if ended.Latency > a.Timeout {
		ended.Outcome, ended.Latency = scatter.TimedOut, a.Timeout
	}
	p.pending.Add(p.now+ended.Latency, event{c, ended})
}

// shareInTime is the share of a period's lookups that were answered in time.
func (p *play) shareInTime(in period) float64 { return float64(p.inTime[in]) / float64(p.asked[in]) }

// worstPressure is the most that a cold node was sent, of what makes it fall.
func (p *play) worstPressure() (worst float64) {
	for _, n := range p.nodes {
		worst = max(worst, n.Pressure())
	}
	return worst
}

func run(r *experiment.Report) error {
	r.Table("learned", "seed", "asked after", "in time before", "in time after", "worst on a cold node")
	var after [2]float64
	for k, handOn := range []bool{false, true} {
		for seed := range uint64(seeds) {
			p, err := runPlay(seed*2+1, handOn)
			if err != nil {
				return err
			}
			worst := p.worstPressure()
			after[k] += p.shareInTime(afterUpgrade) / seeds
			r.Row(map[bool]string{true: "handed on", false: "anew"}[handOn], seed, p.asked[afterUpgrade],
				fmt.Sprintf("%.3f", p.shareInTime(beforeUpgrade)), fmt.Sprintf("%.3f", p.shareInTime(afterUpgrade)), fmt.Sprintf("%.2f", worst))
			r.Expect(worst < 1, "seed %d, handed on %t: a cold node fell, %.2f of what it takes", seed, handOn, worst)
		}
	}
	r.Figure("anew", "%.3f", after[0])
	r.Figure("handed_on", "%.3f", after[1])
	r.Expect(after[1] >= after[0]+minGain, "in time after the upgrade: %.3f handed on, %.3f anew; %.2f more wanted", after[1], after[0], minGain)
	return nil
}
