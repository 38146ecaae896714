package capacity

import "fmt"

// Size is a fleet, what it is asked for, and what happens to it.
type Size struct {
	Coordinators float64
	Nodes        float64
	Regions      float64
	Zones        float64
	Queries      float64 // a second, over all coordinators
	Parts        float64 // of a query
	Settings     float64 // changes of the configuration a day
	Failures     float64 // machines a day
	Restarts     float64 // machines a day, replaced ones included
	Machines     float64 // set aside for control
}

// Asked is the size that the page designs for.
var Asked = Size{Coordinators: Coordinators, Nodes: DataNodes, Regions: Regions, Zones: Zones, Queries: QueriesAll, Parts: QueryParts,
	Settings: ChangesOfSettings, Failures: Failures, Restarts: Restarts, Machines: ControlMachines}

// Twice is a fleet with twice as many coordinators and nodes in as many zones and on as many control machines; each
// coordinator is asked as much as before.
func (s Size) Twice() Size {
	s.Coordinators *= 2
	s.Nodes *= 2
	s.Queries *= 2
	s.Failures *= 2
	s.Restarts *= 2
	return s
}

// What the rows assume; the page says what would prove each.
const (
	entriesOfRestart = 3   // terminating, terminated, and in service again
	entriesOfFailure = 2   // terminated, and its replacement in service
	rackNodes        = 40  // data nodes behind one rack or switch
	settingsBytes    = 3e3 // of one configuration
	partBytes        = 110 // of a part on the wire, both ways: a line with its text, and an answer with a short value
	startWithin      = 10  // seconds for the whole start of a coordinator while all start
	dataCores        = 1   // of a coordinator's data path: the limit that holds where no platform tells one
	dataMemory       = 192 // MB, likewise
)

// day is in seconds.
const day = 24 * 60 * 60

// queriesEach is how many queries a second one coordinator has.
func (s Size) queriesEach() float64 { return s.Queries / s.Coordinators }

// partsEach is how many parts a second one data node has.
func (s Size) partsEach() float64 { return s.Queries * s.Parts / s.Nodes }

// entriesOfDay is how many entries of the list change on an ordinary day.
func (s Size) entriesOfDay() float64 {
	return entriesOfRestart*s.Restarts + entriesOfFailure*s.Failures
}

// restartBytes is what coordinators read that are restarted, as often as any machine.
func (s Size) restartBytes(list figure) figure {
	share := s.Coordinators / (s.Coordinators + s.Nodes)
	return list.times(1e6*s.Restarts*share/day, fmt.Sprintf("1e6 x %s restarts x %s / (%s + %s) machines / 86,400 s", number(s.Restarts), number(s.Coordinators),
		number(s.Coordinators), number(s.Nodes)))
}

// zoneNodes is how many nodes a zone has, regionNodes how many a region.
func (s Size) zoneNodes() float64   { return float64(int(s.Nodes / s.Zones)) }
func (s Size) regionNodes() float64 { return s.Nodes / s.Regions }

// kept is how many nodes a coordinator keeps connections with: two of three holders of each section.
func (s Size) kept() float64 { return float64((2*int(s.Nodes) + holders - 1) / holders) }

// hedgeShare is the module's (aggregator.go): further attempts on suspicion, as a share of parts taken.
const hedgeShare = 0.15
