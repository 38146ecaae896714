package scatter

import (
	"time"

	"harepass/internal/decide/subsetting"
)

// slowStartSafety is the share used of what a replica in slow start bears: other coordinators may be less careful.
const slowStartSafety = 0.8

// slowStart is what this coordinator may send to a replica whose process has just started. All coordinators together
// may not send it more than a multiple of its present capacity, or it falls over.
type slowStart struct {
	from      time.Duration // when the process started, by the endpoint list or as inferred; 0 for long ago
	tokens    float64       // parts that may be sent now; below 0 where more have been
	updatedAt time.Duration // when tokens was right
	sequence  subsetting.Sequence
}

// startSlowStart notes that a replica's process has started. Each coordinator begins at a random part of its first
// token: complete ones at dozens of coordinators would spend the replica's budget at once.
func (m *Machine) startSlowStart(r *replica, since time.Duration) {
	r.slowStart.from, r.slowStart.tokens, r.slowStart.updatedAt = since, m.random.Float64(), m.now
}

// capacityFraction is the share of its capacity that a replica has for certain at a time: it grows evenly through slow
// start, and is 1 after it.
func (m *Machine) capacityFraction(r *replica, at time.Duration) float64 {
	c, age := &m.settings.SlowStart, at-r.slowStart.from
	if r.slowStart.from == 0 || c.Duration <= 0 || c.OverloadFactor <= 0 || age >= c.Duration {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*max(0, age.Seconds())/c.Duration.Seconds()
}

// admitInSlowStart decides whether a replica may be sent a part, as far as slow start goes; a replica that has warmed
// up always may. It refills the replica's tokens, and notes for the query's later attempts what was drawn. Only
// coordinators that have the replica in their subset send to it, and no part twice. Where a coordinator's share of what
// the replica bears is one part or more within the settings' window, it is a token bucket; where it is less, a draw
// decides once for each query and replica, so that the fractions that each coordinator would save do not lie idle.
func (m *Machine) admitInSlowStart(p *part, r *replica) bool {
	capacity := m.capacityFraction(r, m.now)
	if capacity >= 1 {
		return true
	}
	if p.triedAt(r) || !m.placement.subset.Contains(r.subsetKey) {
		return false
	}
	rate, minRate := m.slowStartRate(capacity)
	saved := rate * m.settings.SlowStart.Window.Seconds()
	r.slowStart.refill(rate, max(1, saved), m.now)
	if m.traffic.observed() <= m.settings.SlowStart.Window { // too young to know its own traffic
		p.query.slowStartDraws[r] = 1 // above every limit: later attempts of this query get no draw either
		return r.slowStart.tokens >= 1
	}
	if saved >= 1 {
		return r.slowStart.tokens >= 1
	}
	crowding := float64(m.settings.ReplicationFactor) // of retries: all that failed at its siblings may come here
	if len(p.attempts) == 0 {
		crowding = m.crowding(r)
	}
	draw := p.query.slowStartDraws.get(r, func() float64 { return m.drawSlowStart(r) })
	return draw*crowding*max(m.traffic.demandRate, minRate) < rate
}

// slowStartRate is how many parts a second this coordinator may send to a replica with a fraction of its capacity, and
// the rate that a replica of one core can serve for it in any case. What warmed up replicas serve tells of more.
func (m *Machine) slowStartRate(capacity float64) (rate, minRate float64) {
	minRate = 1 / (m.serviceTime() * float64(m.settings.Coordinators))
	perReplica := max(minRate/m.placement.subset.Fraction, m.traffic.warmedUpRate)
	return capacity * slowStartSafety * m.settings.SlowStart.OverloadFactor * perReplica, minRate
}

// serviceTime is what a part of the dearest class takes at least, in seconds. A class too rare to have samples is taken
// to be like the others.
func (m *Machine) serviceTime() (seconds float64) {
	for _, c := range m.classes.list {
		if c.samples.enough() || seconds == 0 {
			seconds = max(seconds, c.minService)
		}
	}
	return seconds
}

// refill adds the tokens for the time since the last one.
func (s *slowStart) refill(rate, limit float64, now time.Duration) {
	s.tokens = min(limit, s.tokens+rate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
}

// crowding is how many times its equal share of first attempts would come to a replica if every query that draws it
// were sent there: 1 where all holders are warmed up, more where others are in slow start too, or are missing.
func (m *Machine) crowding(r *replica) (sum float64) {
	takes := func(o *replica) float64 {
		return min(1, slowStartSafety*m.settings.SlowStart.OverloadFactor*m.capacityFraction(o, m.now))
	}
	for offset := range m.settings.ReplicationFactor {
		all := takes(r)
		for _, o := range r.siblings {
			distance := mod(o.RingPosition-r.RingPosition+offset, m.settings.RingSize)
			if m.sendsTo(o) && distance < m.settings.ReplicationFactor {
				all += takes(o)
			}
		}
		sum += 1 / all
	}
	return sum
}

// drawSlowStart draws a number for a replica in slow start: by this coordinator's place in the fleet, or at random
// where it does not know it.
func (m *Machine) drawSlowStart(r *replica) float64 {
	if !m.place().HasPeers() {
		return m.random.Float64()
	}
	return r.slowStart.sequence.Next(r.slowStart.tokens)
}
