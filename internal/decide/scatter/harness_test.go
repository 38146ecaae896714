package scatter

import (
	"fmt"
	"testing"
	"time"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// base returns the settings of a small fleet: one ring position, so that every replica holds every shard.
func base() Settings {
	return Settings{
		Coordinators: 1, RingSize: 1, ReplicationFactor: 1, PartsPerCall: 1, TickInterval: 5 * ms, MaxAttempts: 3,
		Hedging: true, Cancellation: true,
		Classes: []Class{{Name: "c", LatencyObjective: 2 * sec, Deadline: 6 * sec, PriorityWeight: 1, LateWeight: 0.1,
			CompleteFraction: 1, MinFraction: 1}},
	}
}

// harness drives one Machine step by step.
type harness struct {
	t   *testing.T
	m   *Machine
	now time.Duration
	n   int64
}

func start(t *testing.T, s Settings, replicas ...Replica) *harness {
	t.Helper()
	a, err := New(1, s)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, m: a, now: 100 * sec}
	h.step(0, EndpointUpdate{Kind: FullUpdate, Replicas: replicas})
	return h
}

// startNonIdempotent starts a harness with two replicas, no hedged requests, and a second class, once, whose parts may
// not run twice.
func startNonIdempotent(t *testing.T) *harness {
	s := base()
	s.Hedging = false
	once := s.Classes[0]
	once.Name, once.Idempotency = "once", NonIdempotent
	s.Classes = append(s.Classes, once)
	return start(t, s, names("r1", "r2")...)
}

func names(ids ...string) (list []Replica) {
	for _, id := range ids {
		list = append(list, Replica{ID: id})
	}
	return list
}

func (h *harness) step(later time.Duration, events ...Event) []Action {
	h.now += later
	return h.m.Step(h.now, events)
}

// query opens a query of a class with a part for each shard; parts are named q<n>.<i>.
func (h *harness) query(class string, shards ...int) []Action {
	h.n++
	id := fmt.Sprintf("q%d", h.n)
	events := []Event{QueryArrived{ID: id, Number: h.n, Class: class, Parts: len(shards), Expires: h.now + 6*sec}}
	for i, s := range shards {
		events = append(events, PartArrived{ID: fmt.Sprintf("%s.%d", id, i), Number: h.n, Shard: s,
			Weight: 1 / float64(len(shards))})
	}
	return h.step(0, events...)
}

func of[T Action](acts []Action) (list []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			list = append(list, x)
		}
	}
	return list
}

func ended(part string, no int, replica string, o Outcome, took time.Duration) AttemptEnded {
	return AttemptEnded{Part: part, Attempt: no, Replica: replica, Outcome: o, Latency: took}
}

// toInt returns 1 for true and 0 for false.
func toInt(b bool) time.Duration {
	if b {
		return 1
	}
	return 0
}
