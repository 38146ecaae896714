package handover

import (
	"encoding/json"
	"fmt"
	"time"

	"harepass/internal/decide/scatter"
)

// lookupClass is the only query class.
const lookupClass = "lookup"

var settings = scatter.Settings{
	Coordinators:      1,
	RingSize:          replicas,
	ReplicationFactor: replicationFactor,
	PartsPerCall:      1,
	TickInterval:      time.Millisecond,
	MaxAttempts:       4,
	Cancellation:      true,
	RetryAfter:        time.Second,
	Classes: []scatter.Class{{
		Name: lookupClass, LatencyObjective: latencyObjective, Deadline: queryDeadline, PriorityWeight: 1,
		LateWeight: 0.3, CompleteFraction: 1, MinFraction: 1,
	}},
	SlowStart: slowStart,
}

// version is one version of the coordinator, with its decision module.
type version struct {
	module   *scatter.Machine
	attempts map[string]int // attempts started, by part ID
}

// scheduledEvent is an event to be delivered to a version's module at a later instant.
type scheduledEvent struct {
	to    *version
	event scatter.Event
}

// startVersion starts a new version, which gets the endpoint list and all further lookups. The old version finishes its
// open lookups.
func (s *simulation) startVersion(seed uint64) error {
	module, err := scatter.New(seed, settings)
	if err != nil {
		return fmt.Errorf("start version: %w", err)
	}
	s.serving = &version{module, map[string]int{}}
	s.step(s.serving, s.endpointList())
	return nil
}

// upgrade starts a new version. With handOver, the new version restores the checkpoint of the old one. The checkpoint
// passes through JSON, as it does in the program.
func (s *simulation) upgrade(seed uint64, handOver bool) error {
	data, err := json.Marshal(s.serving.module.Checkpoint())
	if err != nil {
		return fmt.Errorf("write checkpoint: %w", err)
	}
	if err := s.startVersion(seed); err != nil || !handOver {
		return err
	}
	var learned scatter.Checkpoint
	if err := json.Unmarshal(data, &learned); err != nil {
		return fmt.Errorf("read checkpoint: %w", err)
	}
	s.serving.module.Restore(learned)
	return nil
}

// step passes events to a version's module and carries out the actions that the module returns.
func (s *simulation) step(v *version, events ...scatter.Event) {
	for _, action := range v.module.Step(s.now, events) {
		switch a := action.(type) {
		case scatter.SetTimer:
			s.pending.Add(s.now+a.After, scheduledEvent{v, scatter.TimerFired{}})
		case scatter.CancelAttempt: // The replica still does the work of a cancelled attempt.
			s.pending.Add(s.now, scheduledEvent{v, scatter.AttemptEnded{
				Part: a.Part, Attempt: a.Attempt, Outcome: scatter.Cancelled, Latency: latencyObjective,
			}})
		case scatter.Send:
			s.send(v, a)
		case scatter.Answer:
			s.countAnswer(a.Query)
		}
	}
}

// send starts an attempt and schedules the event that ends it.
func (s *simulation) send(v *version, a scatter.Send) {
	attempt := v.attempts[a.Part]
	v.attempts[a.Part]++
	end, accepted := s.replicas[a.Replica].Accept(s.now)
	ended := scatter.AttemptEnded{Part: a.Part, Attempt: attempt, Replica: a.Replica, Latency: end - s.now}
	if !accepted {
		ended.Outcome = scatter.Rejected
	} else if ended.Latency > a.Timeout {
		ended.Outcome, ended.Latency = scatter.TimedOut, a.Timeout
	}
	s.pending.Add(s.now+ended.Latency, scheduledEvent{v, ended})
}
