package scatter

import (
	"math"
	"slices"
)

// distrustFor is how long after an error a replica gets no parts that may not run twice, in tightest latency
// objectives: an error loses such a part for good, and errors come in runs.
const distrustFor = 8.0

// eligible reports whether a replica may be picked.
type eligible func(*replica) bool

// pickReplica picks a replica for a part's next attempt; nil where there is none. It tries, in this order: ready
// replicas that have not been tried with the part; ready ones; then, since ejection may never empty the choice, any
// that are slow or unresponsive; last those that fail at once, after a backoff. With firstChoicesOnly, for what is sent
// beside an overdue attempt, it tries the first kind only.
func (m *Machine) pickReplica(p *part, firstChoicesOnly bool) *replica {
	s, c := m.shardOf(p.Shard), p.query.class
	unavoided := func(r *replica) bool { return r.usable() && m.now >= r.health.avoidUntil }
	fresh := func(r *replica) bool {
		return unavoided(r) && m.now >= r.classHealth[c.index].excludedUntil && !p.triedAt(r)
	}
	if c.Idempotency == NonIdempotent {
		if r := m.pickTrusted(p, s, fresh); r != nil {
			return r
		}
	}
	if r := m.drawReplica(p, s, fresh); r != nil || firstChoicesOnly {
		return r
	}
	for _, ok := range []eligible{
		unavoided,
		func(r *replica) bool { return !r.health.failsFast && !p.triedAt(r) },
		func(r *replica) bool { return m.now >= r.health.lastFailure+m.minProbeBackoff() },
	} {
		if r := m.drawReplica(p, s, ok); r != nil {
			return r
		}
	}
	return nil
}

// pickTrusted picks a replica for a part that may not run twice: of those that have left no part of its class
// unanswered for a while, first those without a recent error.
func (m *Machine) pickTrusted(p *part, s *shard, fresh eligible) *replica {
	c, distrust := p.query.class, scale(m.classes.tightest, distrustFor)
	answers := func(r *replica) bool {
		h := r.classHealth[c.index]
		return fresh(r) && !m.leavesUnanswered(r, c) && (h.lastUnanswered == 0 ||
			m.now >= h.lastUnanswered+scale(distrust, float64(1+h.consecutiveFaults)))
	}
	trusted := func(r *replica) bool {
		return answers(r) && (r.health.lastError == 0 || m.now >= r.health.lastError+distrust)
	}
	if r := m.drawReplica(p, s, trusted); r != nil {
		return r
	}
	return m.drawReplica(p, s, answers)
}

// leavesUnanswered reports whether an attempt of a class has been out at a replica for so long that the replica may be
// leaving parts of just that class unanswered.
func (m *Machine) leavesUnanswered(r *replica, c *class) bool {
	return slices.ContainsFunc(r.attempts, func(at *attempt) bool {
		return at.part.query.class == c && !at.excused &&
			m.now-at.sentAt > m.lateAfter(r, c, unansweredPart)
	})
}

// drawReplica draws one of a shard's eligible holders by the routing shares: the least of an exponential variate
// divided by the share. A query draws one variate for each replica, so its parts meet where they can and share
// calls. Holders with more calls out than the least loaded are left out. One beyond the subset stands in where
// nothing in it will do.
func (m *Machine) drawReplica(p *part, s *shard, ok eligible) *replica {
	candidates, minCalls := m.candidates(p, s, ok)
	shares := s.shares[p.query.class.index]
	best, least := (*replica)(nil), math.Inf(1)
	for _, i := range candidates {
		r := s.readyHolders[i]
		if m.callsAt(r) > minCalls {
			continue
		}
		v := p.query.draws.get(r, m.random.ExpFloat64) / max(shares[i], weightSlack)
		if v < least {
			least, best = v, r
		}
	}
	return best
}

// candidates lists, as indexes of a shard's holders, those that a part may be sent to, and the least number of calls
// that any of them has out.
func (m *Machine) candidates(p *part, s *shard, ok eligible) (list []int, minCalls int) {
	minCalls = math.MaxInt
	for i, r := range s.readyHolders {
		mayStandIn := i < s.subsetSize || len(list) == 0
		if mayStandIn && ok(r) && m.now >= r.health.rejectingUntil && m.admitInSlowStart(p, r) {
			list = append(list, i)
			minCalls = min(minCalls, m.callsAt(r))
		}
	}
	return list, minCalls
}

// callsAt counts the calls out at a replica, less the one of this step that a part could still join.
func (m *Machine) callsAt(r *replica) int {
	if m.openCall(r) != nil {
		return r.openCalls - 1
	}
	return r.openCalls
}
