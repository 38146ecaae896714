package handover

import (
	"fmt"
	"math/rand/v2"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
	"harepass/internal/test/virtualtime"
)

// The replicas, one at each ring position.
const (
	replicas          = 12
	replicationFactor = 3 // ring positions that hold a shard
	partServiceTime   = 16 * time.Millisecond
	replicaCores      = 2
	replicaQueue      = 40 // parts that may wait at a replica, about: fake.Machine rejects by the backlog's time
)

// The lookups.
const (
	lookupRate       = 120.0 // lookups per second, which keep warmed-up replicas about a third busy before retries
	lookupParts      = 4     // consecutive shards, with a part for each
	latencyObjective = 380 * time.Millisecond
	queryDeadline    = time.Second
)

// The instants of a simulation, as readings of its virtual clock.
const (
	startAt   = time.Second
	restartAt = 20 * time.Second // restart of half of the replicas, at the first arrival from then on
	upgradeAt = 22 * time.Second // start of the new version, at the first arrival from then on
	endAt     = 28 * time.Second
)

// rngStream is the second half of the seed of the arrivals' generator. It separates its draws from those of other
// generators with the same first half.
const rngStream = 0x68616e64

var slowStart = scatter.SlowStart{
	InitialCapacity: 0.21, Duration: 18 * time.Second, OverloadFactor: 2.5, Window: 1500 * time.Millisecond,
}

// simulation is the state of one simulation.
type simulation struct {
	now           time.Duration // reading of the virtual clock
	rng           *rand.Rand
	pending       virtualtime.Queue[scheduledEvent]
	replicas      map[string]*fake.Machine // by ID
	serving       *version                 // the version that gets arriving lookups
	arrivedAt     map[string]time.Duration // by lookup ID
	before, after lookupCounts             // lookups that arrived before upgradeAt, and from then on
}

// lookupCounts counts the lookups that arrived in one period.
type lookupCounts struct {
	arrived int
	inTime  int // answered within the latency objective
}

// inTimeFraction returns the share of the lookups that were answered within the latency objective.
func (c lookupCounts) inTimeFraction() float64 { return float64(c.inTime) / float64(c.arrived) }

// simulate simulates one seed. With handOver, the new version gets the learned state of the old one. The new version's
// own seed is seed+1. A lookup that is not answered before the last arrival counts as not in time.
func simulate(seed uint64, handOver bool) (*simulation, error) {
	s := newSimulation(seed)
	if err := s.startVersion(seed); err != nil {
		return nil, err
	}
	restarted, upgraded := false, false
	for number := int64(1); s.now < endAt; number++ {
		next := s.now + time.Duration(s.rng.ExpFloat64()/lookupRate*float64(time.Second))
		for at, e := range s.pending.Until(next) {
			s.now = max(s.now, at) // an event scheduled for the past must not turn the clock back
			s.step(e.to, e.event)
		}
		s.now = next
		if !restarted && s.now >= restartAt {
			restarted = true
			s.restartHalf()
		}
		if !upgraded && s.now >= upgradeAt {
			upgraded = true
			if err := s.upgrade(seed+1, handOver); err != nil {
				return nil, err
			}
		}
		s.receiveLookup(number)
	}
	return s, nil
}

// newSimulation sets up the replicas. They are warmed up: their StartedAt of 0 means long ago. No version serves yet.
func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now: startAt, rng: rand.New(rand.NewPCG(seed, rngStream)),
		replicas: map[string]*fake.Machine{}, arrivedAt: map[string]time.Duration{},
	}
	for i := range replicas {
		s.replicas[replicaID(i)] = &fake.Machine{
			ServiceTime: partServiceTime, Cores: replicaCores, QueueLength: replicaQueue,
			InitialCapacity: slowStart.InitialCapacity, SlowStart: slowStart.Duration,
			OverloadFactor: slowStart.OverloadFactor, OverloadWindow: slowStart.Window,
		}
	}
	return s
}

func replicaID(i int) string { return fmt.Sprint("n", i) }

// restartHalf restarts half of the replicas, and gives the new endpoint list to the serving version. The restarted
// replicas are neighbours on the ring, so all holders of some shards warm up.
func (s *simulation) restartHalf() {
	for i := range replicas / 2 {
		s.replicas[replicaID(i)].Restart(s.now)
	}
	s.step(s.serving, s.endpointList())
}

// endpointList returns the complete endpoint list, as discovery would report it now.
func (s *simulation) endpointList() scatter.EndpointUpdate {
	list := scatter.EndpointUpdate{Kind: scatter.FullUpdate}
	for i := range replicas {
		id := replicaID(i)
		list.Replicas = append(list.Replicas,
			scatter.Replica{ID: id, RingPosition: i, StartedAt: s.replicas[id].StartedAt})
	}
	return list
}

// receiveLookup gives a lookup of consecutive shards to the serving version.
func (s *simulation) receiveLookup(number int64) {
	id := fmt.Sprint("q", number)
	s.arrivedAt[id] = s.now
	s.countsAt(s.now).arrived++
	events := []scatter.Event{scatter.QueryArrived{
		ID: id, Number: number, Class: lookupClass, Expires: s.now + queryDeadline, Parts: lookupParts,
	}}
	first := s.rng.IntN(replicas)
	for i := range lookupParts {
		events = append(events, scatter.PartArrived{
			ID: fmt.Sprint(id, ".", i), Number: number, Shard: (first + i) % replicas, Weight: 1.0 / lookupParts,
		})
	}
	s.step(s.serving, events...)
}

// countAnswer counts the answer to a lookup if it is within the latency objective. The answer counts for the period in
// which the lookup arrived.
func (s *simulation) countAnswer(lookup string) {
	if arrivedAt := s.arrivedAt[lookup]; s.now-arrivedAt <= latencyObjective {
		s.countsAt(arrivedAt).inTime++
	}
}

// countsAt returns the counts for the period of an arrival.
func (s *simulation) countsAt(arrival time.Duration) *lookupCounts {
	if arrival >= upgradeAt {
		return &s.after
	}
	return &s.before
}

// greatestPressure returns the most parts that any replica got within a window of its latest slow start, as a multiple
// of what it tolerates; above 1 the replica would fail.
func (s *simulation) greatestPressure() (greatest float64) {
	for _, r := range s.replicas {
		greatest = max(greatest, r.OverloadRatio())
	}
	return greatest
}
