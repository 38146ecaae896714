package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// soakReplicas is how many replicas a soak has.
	soakReplicas = 12
	// replicaDistance is how far apart replicas with a fault lie, so that each shard keeps a healthy holder.
	replicaDistance = 5
	// soakDuration is how long a soak lasts.
	soakDuration = 12 * time.Second
	// soakIdleConnections is how many connections bring nothing, in seeds that have such.
	soakIdleConnections = 25
	// soakStream is the second half of the random source's seed.
	soakStream = 0x736f616b
)

// soakDeadlines are the deadlines of all classes that a soak may have; 0 leaves the site's.
var soakDeadlines = []time.Duration{0, 500 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second}

// soakGenerator draws the steps of a soak. The order of its draws is part of what a seed means.
type soakGenerator struct {
	rng      *rand.Rand
	scenario *Scenario
}

// Soak draws a scenario from a seed: a few coordinators with strict clients, faults of all kinds at drawn instants,
// signals in series, and in some seeds many idle connections. Unless kinds is empty, it keeps just the steps of these
// kinds, as Step.Kind names them.
func Soak(seed uint64, kinds ...string) *Scenario {
	rng := rand.New(rand.NewPCG(seed, soakStream))
	g := &soakGenerator{rng, &Scenario{
		Name:          fmt.Sprint("soak-", seed),
		Coordinators:  3 + rng.IntN(3),
		Replicas:      soakReplicas,
		StrictClients: 6 + rng.IntN(6),
		ServiceTime:   time.Duration(2+rng.IntN(4)) * time.Millisecond,
		Deadline:      soakDeadlines[rng.IntN(len(soakDeadlines))],
		Duration:      soakDuration,
	}}
	if rng.IntN(3) == 0 {
		g.scenario.IdleConnections = soakIdleConnections
	}
	g.discoveryFault()
	g.replicaDrains()
	g.restarts()
	g.reloads()
	g.suspensions()
	g.resets()
	steps := g.scenario.Steps
	if len(kinds) > 0 {
		steps = slices.DeleteFunc(steps, func(st Step) bool { return !slices.Contains(kinds, st.Kind()) })
	}
	slices.SortStableFunc(steps, func(x, y Step) int { return int(x.At - y.At) })
	g.scenario.Steps = steps
	return g.scenario
}

// instant draws a time between two.
func (g *soakGenerator) instant(from, to time.Duration) time.Duration {
	return from + time.Duration(g.rng.Int64N(int64(to-from)))
}

// member draws a coordinator.
func (g *soakGenerator) member() string { return fmt.Sprint("c", g.rng.IntN(g.scenario.Coordinators)) }

// add adds a step at a time, unless the soak is over by then.
func (g *soakGenerator) add(at time.Duration, st Step) {
	if st.At = at; at < g.scenario.Duration {
		g.scenario.Steps = append(g.scenario.Steps, st)
	}
}
