package scatter

import (
	"time"

	"harepass/internal/decide/subsetting"
)

// slowStartSafety is the share that is used of what a replica in slow start can serve: other coordinators may be less
// careful.
const slowStartSafety = 0.8

// slowStart is what this coordinator may send to a replica whose process has just started. A replica fails if all
// coordinators together send it more than OverloadFactor times its present capacity for the time of Window.
type slowStart struct {
	from      time.Duration // when the process started, from the endpoint list or inferred; 0 for long ago
	tokens    float64       // parts that may be sent now; below 0 if more have been sent
	updatedAt time.Duration // when tokens was last updated
	sequence  subsetting.Sequence
}

// startSlowStart records that a replica's process has started. Each coordinator begins with a random fraction of its
// first token: if dozens of coordinators had a whole one, they would use up at once what the replica may be sent.
func (m *Machine) startSlowStart(r *replica, since time.Duration) {
	r.slowStart.from, r.slowStart.tokens, r.slowStart.updatedAt = since, m.random.Float64(), m.now
}

// capacityFraction returns the share of its full capacity that a replica has at least at an instant: it grows linearly
// from InitialCapacity during slow start and is 1 after it.
func (m *Machine) capacityFraction(r *replica, at time.Duration) float64 {
	c, age := &m.settings.SlowStart, at-r.slowStart.from
	if r.slowStart.from == 0 || c.Duration <= 0 || c.OverloadFactor <= 0 || age >= c.Duration {
		return 1
	}
	return c.InitialCapacity + (1-c.InitialCapacity)*max(0, age.Seconds())/c.Duration.Seconds()
}

// admitInSlowStart decides whether slow start allows a replica to be sent a part; for a warmed up replica it always
// does. Otherwise it refills the replica's tokens, and records a drawn number in the query for later attempts. Only
// coordinators that have the replica in their subset send to it, and they send it no part twice. If this coordinator
// may send it one part or more within the settings' window, the tokens decide. If it may send less, a draw decides,
// once for each query and replica: the fraction of a token that each coordinator would save would stay unused.
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
	if m.traffic.observed() <= m.settings.SlowStart.Window { // too early to know this coordinator's traffic
		p.query.slowStartDraws[r] = 1 // the highest draw: later attempts are the least likely to pass
		return r.slowStart.tokens >= 1
	}
	if saved >= 1 {
		return r.slowStart.tokens >= 1
	}
	crowding := float64(m.settings.ReplicationFactor) // for retries: all that failed at its siblings may be sent here
	if len(p.attempts) == 0 {
		crowding = m.crowding(r)
	}
	draw := p.query.slowStartDraws.get(r, func() float64 { return m.drawSlowStart(r) })
	return draw*crowding*max(m.traffic.demandRate, minRate) < rate
}

// slowStartRate returns how many parts per second this coordinator may send to a replica that has a fraction of its
// capacity. minRate is this coordinator's share, among all coordinators, of what a replica serves with one core, one
// part at a time. If warmed up replicas serve more, their rate counts.
func (m *Machine) slowStartRate(capacity float64) (rate, minRate float64) {
	minRate = 1 / (m.serviceTime() * float64(m.settings.Coordinators))
	perReplica := max(minRate/m.placement.subset.Fraction, m.traffic.warmedUpRate)
	return capacity * slowStartSafety * m.settings.SlowStart.OverloadFactor * perReplica, minRate
}

// serviceTime returns the least time that a part of the most expensive class takes, in seconds. A class too rare to
// have enough samples is assumed to be like the others, except the first of the list, which always counts.
func (m *Machine) serviceTime() (seconds float64) {
	for _, c := range m.classes.list {
		if c.samples.enough() || seconds == 0 {
			seconds = max(seconds, c.minService)
		}
	}
	return seconds
}

// refill adds the tokens for the time since the last refill.
func (s *slowStart) refill(rate, limit float64, now time.Duration) {
	s.tokens = min(limit, s.tokens+rate*(now-s.updatedAt).Seconds())
	s.updatedAt = now
}

// crowding returns by what factor a replica's first attempts would exceed its equal share if every query whose draw
// favours it sent to it: 1 if all holders are warmed up, more if others are in slow start too or are missing. It sums
// over the shards that the replica may hold.
func (m *Machine) crowding(r *replica) (sum float64) {
	accepts := func(o *replica) float64 { // share of its equal traffic that a holder may be sent
		return min(1, slowStartSafety*m.settings.SlowStart.OverloadFactor*m.capacityFraction(o, m.now))
	}
	for offset := range m.settings.ReplicationFactor {
		total := accepts(r) // over the holders of one shard
		for _, o := range r.siblings {
			distance := mod(o.RingPosition-r.RingPosition+offset, m.settings.RingSize)
			if m.sendsTo(o) && distance < m.settings.ReplicationFactor {
				total += accepts(o)
			}
		}
		sum += 1 / total
	}
	return sum
}

// drawSlowStart draws a number for a replica in slow start: from the sequence for this coordinator's ordinal, or at
// random if the ordinal is not known or the fleet is small.
func (m *Machine) drawSlowStart(r *replica) float64 {
	if !m.member().HasPeers() {
		return m.random.Float64()
	}
	return r.slowStart.sequence.Next(r.slowStart.tokens)
}
