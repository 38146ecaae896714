package capacity

import (
	"fmt"
	"time"

	"harepass/internal/core"
	"harepass/internal/decide/scatter"
	"harepass/internal/platform"
)

// The fleet size that the capacity page designs for.
const (
	Coordinators = 1500
	DataNodes    = 7000
	Regions      = 7
	Zones        = 19
	QueriesAll   = 270_000 // a second, sum over all coordinators
	QueryParts   = 120
	AnswerAim    = 69 * time.Millisecond
	AnswerShare  = 0.99 // of the queries, answered within AnswerAim

	ChangesOfSettings = 2300 // a day
	Failures          = 48   // machines a day
	Restarts          = 1700 // machines a day, replaced ones included
	InForce           = 3 * time.Second

	ControlCores    = 0.017 // of a core, for a coordinator's control path
	ControlMemory   = 128.0 // MB
	ControlBytes    = 27e3  // a second
	ControlMachines = 10
	Descriptors     = 1024 // limit of one process on a scored day
)

const (
	holders        = 3                     // of a section: the nodes at this many consecutive ring positions
	served         = 20 * time.Millisecond // time that a node takes to serve a part, on the virtual clock
	virtualStart   = 100 * time.Second     // start of the virtual clock
	changeInterval = time.Millisecond      // between single changes, on the virtual clock
)

// settings returns the settings of one coordinator of the fleet, for the given number of nodes. Each node has its own
// ring position.
func settings(nodes int) scatter.Settings {
	return scatter.Settings{Coordinators: Coordinators, Ordinal: 1, RingSize: nodes, ReplicationFactor: min(holders, nodes), PartsPerCall: 1, TickInterval: time.Millisecond,
		MaxAttempts: 4, Cancellation: true, Subscribe: true, ListMaxAge: 10 * time.Second, RetryAfter: time.Second,
		SlowStart: scatter.SlowStart{InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond},
		Classes:   []scatter.Class{{Name: "search", LatencyObjective: AnswerAim, Deadline: time.Second, PriorityWeight: 1, LateWeight: 0.3, CompleteFraction: 1, MinFraction: 0.7}}}
}

// nodeName returns a node's name, which has the same length for all list sizes.
func nodeName(no int) string { return fmt.Sprintf("s-%08x", no) }

// replicas returns a list of nodes in the form that the decision module receives.
func replicas(nodes int) (list []scatter.Replica) {
	for i := range nodes {
		list = append(list, scatter.Replica{ID: nodeName(i), RingPosition: i, Zone: zone(i)})
	}
	return list
}

func zone(no int) string { return string(rune('a' + no%Zones)) }

// coreNodes returns a list of nodes in the form that the coordinator receives, all at one address.
func coreNodes(nodes int, address string) (list []core.Endpoint) {
	for _, r := range replicas(nodes) {
		list = append(list, core.Endpoint{Replica: r, Address: address, Scheme: platform.Scheme})
	}
	return list
}

// wireEntry is an entry in discovery's JSON form, as long as discovery's own entries.
type wireEntry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// wireList is an answer of discovery in its JSON form.
type wireList struct {
	Index     int64       `json:"index"`
	Snapshot  bool        `json:"snapshot"`
	Endpoints []wireEntry `json:"endpoints"`
}

func entry(no int, since time.Duration) wireEntry {
	return wireEntry{Name: nodeName(no), Address: fmt.Sprintf("10.%d.%d.%d:8080", 1+no>>16, no>>8&255, no&255), Zone: zone(no), Type: "m2",
		Group: no, Status: "in_service", Weight: 1, SinceMS: since.Milliseconds()}
}

func entries(nodes int) []wireEntry {
	list := []wireEntry{}
	for i := range nodes {
		list = append(list, entry(i, 0))
	}
	return list
}
