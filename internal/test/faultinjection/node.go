package faultinjection

import (
	"fmt"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// NodeState is how a node behaves, as a scenario's steps name it.
type NodeState string

// The states of a node. nodeBack is an event: a new process begins, cold, and is sound from then on.
const (
	nodeSound   NodeState = "sound"
	nodeHung    NodeState = "hung"
	nodeFailing NodeState = "failing"
	nodeDrained NodeState = "drained"
	nodeGone    NodeState = "gone"
	nodeBack    NodeState = "back"
)

// registryStatus is the status under which discovery lists a node from a state on; other states leave it as it was.
var registryStatus = map[NodeState]string{nodeDrained: "terminating", nodeGone: "terminated", nodeBack: statusInService}

const statusInService = "in_service"

// fleetNode is a node that all coordinators reach, each by a link of its own.
type fleetNode struct {
	name  string
	no    int
	entry fake.Entry

	mu      sync.Mutex
	machine fake.Machine
	state   NodeState
}

// nodeRules are the platform's rules on nodes, of the settings: how they start and fall over, and how soon one that leaves
// may no longer be sent to.
type nodeRules struct {
	Start  float64 `json:"start_capacity"`
	Warm   int64   `json:"warm_within_us"`
	Fall   float64 `json:"fall_multiple"`
	Window int64   `json:"fall_us"`
	Grace  int64   `json:"stop_sending_within_us"`
}

// grace is how long after the word that it drains a node may still be sent to; a second where the settings say nothing.
func (r nodeRules) grace() time.Duration {
	if r.Grace == 0 {
		return time.Second
	}
	return time.Duration(r.Grace) * time.Microsecond
}

const (
	nodeCores = 2
	nodeQueue = 40 // parts that wait at a node; more are turned away
)

// newFleetNode is the node of a number, in a cell: sound, warm and listed.
func newFleetNode(number, cell int, work time.Duration, rules nodeRules) *fleetNode {
	n := &fleetNode{name: fmt.Sprint("n", number), no: number, state: nodeSound}
	n.entry = fake.Entry{Name: n.name, Zone: fmt.Sprint("z", number%holdersPerSection), Type: "m", Group: cell, Status: statusInService, Weight: 1}
	n.machine = fake.Machine{Work: work, Cores: nodeCores, Queue: nodeQueue, Start: rules.Start, Warm: time.Duration(rules.Warm) * time.Microsecond,
		Fall: rules.Fall, Window: time.Duration(rules.Window) * time.Microsecond}
	return n
}

// reply is what a node does with a part that has just come.
func (f *Fleet) reply(n *fleetNode) fake.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch n.state {
	case nodeHung:
		return fake.Reply{Kind: fake.Silent}
	case nodeFailing:
		return fake.Reply{Kind: fake.Fail}
	case nodeGone:
		return fake.Reply{Kind: fake.Break}
	}
	now := f.at()
	end, taken := n.machine.Take(now)
	if !taken || n.state == nodeDrained {
		return fake.Reply{Kind: fake.Reject}
	}
	return fake.Reply{After: end - now}
}

// setState changes a node, and the registry where the new state is one that discovery knows of.
func (f *Fleet) setState(n *fleetNode, state NodeState) {
	n.mu.Lock()
	n.state = state
	status := registryStatus[state]
	if state == nodeBack {
		n.state = nodeSound
		n.machine.Restart(f.at())
		n.entry.SinceMS = time.Now().UnixMilli()
	}
	if status != "" {
		n.entry.Status = status
	}
	e := n.entry
	n.mu.Unlock()
	if status != "" {
		f.registry.Put(e)
		f.records.listsNode(n, status)
	}
}
