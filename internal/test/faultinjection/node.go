package faultinjection

import (
	"fmt"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// NodeState is how a node behaves, as a scenario's steps name it.
type ReplicaState string

// The states of a node. nodeBack is an event: a new process begins, cold, and is sound from then on.
const (
	replicaHealthy      ReplicaState = "sound"
	replicaUnresponsive ReplicaState = "hung"
	replicaFailing      ReplicaState = "failing"
	replicaDraining     ReplicaState = "drained"
	replicaRemoved      ReplicaState = "gone"
	replicaRestarted    ReplicaState = "back"
)

// registryStatus is the status under which discovery lists a node from a state on; other states leave it as it was.
var registryStatus = map[ReplicaState]string{replicaDraining: "terminating", replicaRemoved: "terminated", replicaRestarted: statusInService}

const statusInService = "in_service"

// fleetNode is a node that all coordinators reach, each by a link of its own.
type fleetReplica struct {
	name   string
	number int
	entry  fake.Entry

	mu      sync.Mutex
	machine fake.Machine
	state   ReplicaState
}

// nodeRules are the platform's rules on nodes, of the settings: how they start and fall over, and how soon one that leaves
// may no longer be sent to.
type replicaRules struct {
	InitialCapacity float64 `json:"start_capacity"`
	SlowStart       int64   `json:"warm_within_us"`
	OverloadFactor  float64 `json:"fall_multiple"`
	OverloadWindow  int64   `json:"fall_us"`
	DrainGrace      int64   `json:"stop_sending_within_us"`
}

// grace is how long after the word that it drains a node may still be sent to; a second where the settings say nothing.
func (r replicaRules) drainGrace() time.Duration {
	if r.DrainGrace == 0 {
		return time.Second
	}
	return time.Duration(r.DrainGrace) * time.Microsecond
}

const (
	replicaCores = 2
	replicaQueue = 40 // parts that wait at a node; more are turned away
)

// newFleetNode is the node of a number, in a cell: sound, warm and listed.
func newFleetReplica(number, cell int, work time.Duration, rules replicaRules) *fleetReplica {
	n := &fleetReplica{name: fmt.Sprint("n", number), number: number, state: replicaHealthy}
	n.entry = fake.Entry{Name: n.name, Zone: fmt.Sprint("z", number%holdersPerShard), Type: "m", Group: cell, Status: statusInService, Weight: 1}
	n.machine = fake.Machine{Work: work, Cores: replicaCores, Queue: replicaQueue, Start: rules.InitialCapacity, Warm: time.Duration(rules.SlowStart) * time.Microsecond,
		Fall: rules.OverloadFactor, Window: time.Duration(rules.OverloadWindow) * time.Microsecond}
	return n
}

// reply is what a node does with a part that has just come.
func (f *Fleet) decideReply(n *fleetReplica) fake.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch n.state {
	case replicaUnresponsive:
		return fake.Reply{Kind: fake.Silent}
	case replicaFailing:
		return fake.Reply{Kind: fake.Fail}
	case replicaRemoved:
		return fake.Reply{Kind: fake.Break}
	}
	now := f.machineTime()
	end, taken := n.machine.Take(now)
	if !taken || n.state == replicaDraining {
		return fake.Reply{Kind: fake.Reject}
	}
	return fake.Reply{After: end - now}
}

// setState changes a node, and the registry where the new state is one that discovery knows of.
func (f *Fleet) setState(n *fleetReplica, state ReplicaState) {
	n.mu.Lock()
	n.state = state
	status := registryStatus[state]
	if state == replicaRestarted {
		n.state = replicaHealthy
		n.machine.Restart(f.machineTime())
		n.entry.SinceMS = time.Now().UnixMilli()
	}
	if status != "" {
		n.entry.Status = status
	}
	e := n.entry
	n.mu.Unlock()
	if status != "" {
		f.registry.Put(e)
		f.checker.statusListed(n, status)
	}
}
