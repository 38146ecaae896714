// Package fleetsim plays a fleet of coordinators in virtual time: the real module of each of them, before emulated nodes
// with queues, cold starts and connections. A play is the same for the same seed and faster than real time, so it shows fleets
// that no machine can hold as processes.
package fleetsim

import (
	"time"

	"harepass/internal/decide/scatter"
)

// Config is how a fleet is set up and what it meets.
type Config struct {
	Members, Nodes  int
	Reach           int // cells that hold a section
	NodesPerCell    int
	SectionsPerCell int // sections that begin at a cell
	Rate            float64
	LookupSections  int     // sections in a row that a lookup needs
	SummarySections int     // sections in a row that a summary asks for
	Skew            float64 // of the members' traffic: the standard deviation of its logarithm
	Numbered        bool    // whether members know their number in the fleet
	Seed            uint64
	Cold            scatter.SlowStart // how nodes start; DefaultCold if it has no Multiple
}

const (
	partWork       = 30 * time.Millisecond // of a part, on a core of a warm node
	nodeCores      = 2
	nodeQueue      = 30 // parts that wait at a node; more are turned away
	aim            = 380 * time.Millisecond
	deadline       = time.Second
	keepAlive      = 24 * time.Second       // an idle connection is closed after this
	connectTimeout = 250 * time.Millisecond // that an attempt at a node that says nothing takes
	connectTime    = time.Millisecond       // that a connection takes to come up
	summaryShare   = 0.22                   // of the queries
	summaryFloor   = 0.7                    // of a summary's weight does for an answer in part
	zones          = 3
	startTime      = 100 * time.Second // of the virtual clock
)

// DefaultCold is how nodes start where a Config says nothing else.
var DefaultCold = scatter.SlowStart{InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond}

// partsPerNode is the rate, in parts a second, that comes to a node of a BusyConfig: two thirds of what it can do.
const partsPerNode = 47.0

// BusyConfig is a fleet of a size whose nodes are two thirds busy; members do not know their numbers.
func BusyConfig(members, nodes, nodesPerCell int) Config {
	c := Config{Members: members, Nodes: nodes, NodesPerCell: nodesPerCell, Reach: 3, SectionsPerCell: 2,
		LookupSections: 17, SummarySections: min(100, nodes/nodesPerCell), Skew: 0.7, Seed: 7}
	c.Rate = partsPerNode * float64(nodes) / ((1-summaryShare)*float64(c.LookupSections) + summaryShare*float64(c.SummarySections))
	return c
}

func (c Config) cells() int { return c.Nodes / c.NodesPerCell }

// settings are those of the member of a number, which believes the fleet to have so many.
func (c Config) settings(number, members int) scatter.Settings {
	s := scatter.Settings{Coordinators: members, RingSize: c.cells(), ReplicationFactor: c.Reach, PartsPerCall: 1, TickInterval: time.Millisecond, MaxAttempts: 4, Cancellation: true, RetryAfter: time.Second,
		Classes: []scatter.Class{
			{Name: "lookup", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 1, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1},
			{Name: "summary", LatencyObjective: aim, Deadline: deadline, PriorityWeight: 3, LateWeight: 0.3, CompleteFraction: 1, MinFraction: summaryFloor}},
		SlowStart: c.Cold}
	if c.Numbered {
		s.Ordinal = number + 1
	}
	return s
}
