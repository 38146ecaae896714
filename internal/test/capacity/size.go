package capacity

import "fmt"

// Size describes a fleet, its load and its rates of changes and failures.
type Size struct {
	Coordinators float64
	Nodes        float64
	Regions      float64
	Zones        float64
	Queries      float64 // a second, sum over all coordinators
	Parts        float64 // of a query
	Settings     float64 // configuration changes a day
	Failures     float64 // machines a day
	Restarts     float64 // machines a day, replaced ones included
	Machines     float64 // reserved for control
}

// Asked is the fleet size that the capacity page designs for.
var Asked = Size{Coordinators: Coordinators, Nodes: DataNodes, Regions: Regions, Zones: Zones, Queries: QueriesAll, Parts: QueryParts,
	Settings: ChangesOfSettings, Failures: Failures, Restarts: Restarts, Machines: ControlMachines}

// Twice returns a fleet with twice as many coordinators and nodes in the same number of zones and with the same number
// of control machines. The load of each coordinator stays the same.
func (s Size) Twice() Size {
	s.Coordinators *= 2
	s.Nodes *= 2
	s.Queries *= 2
	s.Failures *= 2
	s.Restarts *= 2
	return s
}

// Assumptions of the rows; the page states what would prove each.
const (
	entriesOfRestart = 3   // terminating, terminated, and in service again
	entriesOfFailure = 2   // terminated, and its replacement in service
	rackNodes        = 40  // data nodes behind one rack or switch
	settingsBytes    = 3e3 // of one configuration
	partBytes        = 110 // of a part on the wire, both ways: one line with its text, and an answer with a short value
	startWithin      = 10  // seconds in which a coordinator has to start while all others start too
	dataCores        = 1   // for a coordinator's data path: the limit where no platform states one
	dataMemory       = 192 // MB for the same, where no platform states a limit
)

// day is the length of a day in seconds.
const day = 24 * 60 * 60

// queriesEach returns the queries a second of one coordinator.
func (s Size) queriesEach() float64 { return s.Queries / s.Coordinators }

// partsEach returns the parts a second of one data node.
func (s Size) partsEach() float64 { return s.Queries * s.Parts / s.Nodes }

// entriesOfDay returns how many entries of the list change on an ordinary day.
func (s Size) entriesOfDay() float64 {
	return entriesOfRestart*s.Restarts + entriesOfFailure*s.Failures
}

// restartBytes returns the rate at which restarted coordinators read lists. It assumes that coordinators restart as
// often as other machines.
func (s Size) restartBytes(list figure) figure {
	share := s.Coordinators / (s.Coordinators + s.Nodes)
	return list.times(1e6*s.Restarts*share/day, fmt.Sprintf("1e6 x %s restarts x %s / (%s + %s) machines / 86,400 s", number(s.Restarts), number(s.Coordinators),
		number(s.Coordinators), number(s.Nodes)))
}

// zoneNodes returns the number of nodes in a zone, and regionNodes the number in a region.
func (s Size) zoneNodes() float64   { return float64(int(s.Nodes / s.Zones)) }
func (s Size) regionNodes() float64 { return s.Nodes / s.Regions }

// kept returns the number of nodes that a coordinator keeps connections to: two of the three holders of each section.
func (s Size) kept() float64 { return float64((2*int(s.Nodes) + holders - 1) / holders) }

// hedgeShare is the share of parts that may get a hedged request; it equals hedgeShare in internal/decide/scatter.
const hedgeShare = 0.15
