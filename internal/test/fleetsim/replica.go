package fleetsim

import (
	"fmt"
	"time"

	"harepass/internal/decide/scatter"
	"harepass/internal/test/fake"
)

// Replica is an emulated replica. Its exported fields may be changed between calls of Fleet.Run.
type Replica struct {
	fake.Machine
	Zone         int
	Down         bool // connection attempts fail, and no attempt is answered
	Unresponsive bool // attempts are accepted but never answered
	Parts        int  // parts sent to it since Fleet.BeginMeasurement

	id               string
	number           int // index in Fleet.Replicas
	ringPosition     int
	connectionUsedAt map[int]time.Duration // last use of each connection, by coordinator number
	warmingArrivals  []warmingArrival      // oldest first
}

// warmingArrival is a part that arrived during the replica's slow start.
type warmingArrival struct {
	at       time.Duration
	notified bool // whether the sending coordinator knew of the replica's start
}

const (
	partServiceTime = 30 * time.Millisecond // time to serve a part on one core of a warmed-up replica
	replicaCores    = 2
	replicaQueue    = 30 // parts that may wait at a replica; further parts are rejected
	zones           = 3

	keepAlive      = 24 * time.Second       // time after which an idle connection is closed
	connectTime    = time.Millisecond       // time to open a new connection
	connectTimeout = 250 * time.Millisecond // time after which an attempt at a down replica fails
)

func newReplica(number int, c Config) *Replica {
	return &Replica{
		id:               fmt.Sprint("n", number),
		number:           number,
		ringPosition:     number / c.ReplicasPerPosition,
		Zone:             number % zones,
		connectionUsedAt: map[int]time.Duration{},
		Machine: fake.Machine{
			ServiceTime: partServiceTime, Cores: replicaCores, QueueLength: replicaQueue,
			InitialCapacity: c.SlowStart.InitialCapacity, SlowStart: c.SlowStart.Duration,
			OverloadFactor: c.SlowStart.OverloadFactor, OverloadWindow: c.SlowStart.Window,
		},
	}
}

// DropConnections closes the connections of all coordinators.
func (r *Replica) DropConnections() { clear(r.connectionUsedAt) }

// listed returns the replica's entry in the endpoint list.
func (r *Replica) listed() scatter.Replica {
	return scatter.Replica{
		ID: r.id, RingPosition: r.ringPosition, Zone: fmt.Sprint("z", r.Zone), StartedAt: r.StartedAt,
	}
}

// attempt returns the outcome and the latency of an attempt that a coordinator starts now.
func (r *Replica) attempt(c *coordinator, now, timeout time.Duration) (scatter.Outcome, time.Duration) {
	arrival := now
	if usedAt, open := r.connectionUsedAt[c.number]; !open || now-usedAt > keepAlive {
		arrival += connectTime
	}
	if r.Down {
		delete(r.connectionUsedAt, c.number)
		return scatter.ConnectFailed, min(connectTimeout, timeout)
	}
	r.connectionUsedAt[c.number] = now
	if r.Unresponsive {
		return scatter.TimedOut, timeout
	}
	if r.Capacity(arrival) < 1 {
		notified := c.knownStarts[r.id] == r.StartedAt
		r.warmingArrivals = append(r.warmingArrivals, warmingArrival{arrival, notified})
	}
	end, accepted := r.Accept(arrival)
	latency := end - now
	switch {
	case !accepted:
		return scatter.Rejected, latency
	case latency > timeout:
		return scatter.TimedOut, timeout
	}
	return scatter.Succeeded, latency
}

// openConnections returns the number of connections that are open at an instant.
func (r *Replica) openConnections(now time.Duration) (open int) {
	for _, usedAt := range r.connectionUsedAt {
		if now-usedAt <= keepAlive {
			open++
		}
	}
	return open
}
