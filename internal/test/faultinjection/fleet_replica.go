package faultinjection

import (
	"fmt"
	"sync"
	"time"

	"harepass/internal/test/fake"
)

// ReplicaState is the behaviour of a replica, by its name in a scenario's steps.
type ReplicaState string

// The states of a replica. replicaRestarted is an event: a new process starts in slow start, and the replica is then
// in state replicaHealthy.
const (
	replicaHealthy      ReplicaState = "sound"
	replicaUnresponsive ReplicaState = "hung"    // accepts parts and never answers them
	replicaFailing      ReplicaState = "failing" // answers each part with an error
	replicaDraining     ReplicaState = "drained" // rejects parts, and discovery lists it as leaving
	replicaRemoved      ReplicaState = "gone"    // closes the connection on each part, and discovery lists it as ended
	replicaRestarted    ReplicaState = "back"
)

var replicaStates = []ReplicaState{
	replicaDraining, replicaRemoved, replicaRestarted, replicaUnresponsive, replicaFailing, replicaHealthy,
}

// registryStatus is the status that discovery lists for a replica once it enters a state. A state without an entry
// leaves the status unchanged.
var registryStatus = map[ReplicaState]string{
	replicaDraining:  fake.StatusTerminating,
	replicaRemoved:   fake.StatusTerminated,
	replicaRestarted: fake.StatusInService,
}

const (
	// replicaCores is how many parts a replica processes concurrently.
	replicaCores = 2
	// replicaQueue is how many parts may wait at a replica; it rejects any beyond that.
	replicaQueue = 40
	// defaultDrainGrace is the grace of a drain if the settings define none.
	defaultDrainGrace = time.Second
)

// fleetReplica is a replica that all coordinators of a fleet share, each over its own link.
type fleetReplica struct {
	name   string // n0, n1, ...
	number int

	mu      sync.Mutex
	entry   fake.Endpoint // as discovery lists it
	machine fake.Machine
	state   ReplicaState
}

// replicaRules are the platform's rules on replicas, as the settings define them.
type replicaRules struct {
	InitialCapacity float64 `json:"start_capacity"`         // share of its full capacity that a new process starts with
	SlowStart       int64   `json:"warm_within_us"`         // microseconds until a new process has its full capacity
	OverloadFactor  float64 `json:"fall_multiple"`          // multiple of its capacity that overloads a process
	OverloadWindow  int64   `json:"fall_us"`                // microseconds of such load after which the process fails
	DrainGrace      int64   `json:"stop_sending_within_us"` // microseconds; see drainGrace
}

// drainGrace is how long a coordinator may still send parts to a replica after it was notified of the replica's drain.
func (r replicaRules) drainGrace() time.Duration {
	if r.DrainGrace == 0 {
		return defaultDrainGrace
	}
	return microseconds(r.DrainGrace)
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// newFleetReplica returns a healthy, warmed up replica with a number and a ring position, and its entry in discovery.
func newFleetReplica(number, ringPosition int, serviceTime time.Duration, rules replicaRules) *fleetReplica {
	name := fmt.Sprint("n", number)
	return &fleetReplica{
		name:   name,
		number: number,
		state:  replicaHealthy,
		entry: fake.Endpoint{
			Name:   name,
			Zone:   fmt.Sprint("z", number%holdersPerShard),
			Type:   "m",
			Group:  ringPosition,
			Status: fake.StatusInService,
			Weight: 1,
		},
		machine: fake.Machine{
			ServiceTime:     serviceTime,
			Cores:           replicaCores,
			QueueLength:     replicaQueue,
			InitialCapacity: rules.InitialCapacity,
			SlowStart:       microseconds(rules.SlowStart),
			OverloadFactor:  rules.OverloadFactor,
			OverloadWindow:  microseconds(rules.OverloadWindow),
		},
	}
}

// decideReply returns how a replica replies to a part that has just arrived.
func (f *Fleet) decideReply(r *fleetReplica) fake.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case replicaUnresponsive:
		return fake.Reply{Kind: fake.NoReply}
	case replicaFailing:
		return fake.Reply{Kind: fake.Fail}
	case replicaRemoved:
		return fake.Reply{Kind: fake.Disconnect}
	}
	now := f.machineTime()
	end, accepted := r.machine.Accept(now)
	if !accepted || r.state == replicaDraining {
		return fake.Reply{Kind: fake.Reject}
	}
	return fake.Reply{After: end - now}
}

// changeReplicas puts the replicas whose names match the patterns into a state.
func (f *Fleet) changeReplicas(patterns string, state ReplicaState) {
	for _, i := range match(patterns, "n", len(f.replicas)) {
		f.Note(sourceHarness, "n%d becomes %s", i, state)
		f.setState(f.replicas[i], state)
	}
}

// setState puts a replica into a state, and updates its entry in discovery if registryStatus has the state.
func (f *Fleet) setState(r *fleetReplica, state ReplicaState) {
	r.mu.Lock()
	r.state = state
	status := registryStatus[state]
	if state == replicaRestarted {
		r.state = replicaHealthy
		r.machine.Restart(f.machineTime())
		r.entry.SinceMS = time.Now().UnixMilli()
	}
	if status != "" {
		r.entry.Status = status
	}
	entry := r.entry
	r.mu.Unlock()
	if status != "" {
		f.registry.Put(entry)
		f.checker.statusListed(r, status)
	}
}

// healReplica ends a replica's fault. A replica that discovery lists as leaving or ended restarts as a new process.
func (f *Fleet) healReplica(r *fleetReplica) {
	r.mu.Lock()
	state, status := r.state, r.entry.Status
	r.mu.Unlock()
	if status != fake.StatusInService {
		f.setState(r, replicaRestarted)
	} else if state != replicaHealthy {
		f.setState(r, replicaHealthy)
	}
}

// pressure is the machine's greatest load in its current slow start, as a multiple of what it tolerates. The machine
// fails above 1.
func (r *fleetReplica) pressure() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.OverloadRatio()
}
