package scatter

import (
	"math"
	"slices"
)

// distrustFor is how long after an error other replicas are preferred for parts that may not run twice, as a multiple
// of the tightest latency objective: an error loses such a part for good, and errors come in series. It also scales the
// time after an unanswered part, during which a replica is only used if no other is left.
const distrustFor = 8.0

// eligible reports whether a kind of choice includes a replica; candidates adds conditions that apply to every kind.
type eligible func(*replica) bool

// pickReplica picks a replica for a part's next attempt; nil if there is none. It tries these replicas in turn:
//
//  1. usable ones that have not been tried with the part, are not avoided, and are not excluded for its class;
//  2. usable ones that are not avoided;
//  3. any that have not been tried and do not fail fast, since ejection alone may not leave a part without a choice;
//  4. any whose lastFailure is at least minProbeBackoff ago.
//
// All four kinds leave out replicas that are rejecting parts and those that slow start does not admit (candidates).
// With firstChoicesOnly, for what is sent beside an overdue attempt, it tries only the first kind.
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

// pickTrusted picks a replica for a part that may not run twice. It considers replicas of pickReplica's first kind that
// do not leave a part of the class unanswered now, and have not for a time that grows with their class faults in a row.
// Of these it prefers those without an error in the last distrustFor.
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

// leavesUnanswered reports whether an attempt of a class has been outstanding at a replica for so long that the replica
// may be leaving parts of just that class unanswered. Attempts during which the coordinator was stalled (excused) do
// not count.
func (m *Machine) leavesUnanswered(r *replica, c *class) bool {
	return slices.ContainsFunc(r.attempts, func(at *attempt) bool {
		return at.part.query.class == c && !at.excused &&
			m.now-at.sentAt > m.lateAfter(r, c, unansweredPart)
	})
}

// drawReplica draws one of a shard's eligible holders by the routing shares: the one with the smallest quotient of an
// exponential variate and its share. A query draws one variate for each replica, so its parts go to the same replicas
// where possible and share calls. Holders with more outstanding calls (callsAt) than the least loaded one are left out.
// A holder beyond the subset is used only if none in it is eligible.
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

// candidates returns the holders that a part may be sent to, as indexes of readyHolders, and the least number of
// outstanding calls at any of them.
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

// callsAt returns the number of outstanding calls at a replica, without the one of this step that a part could still
// join, as joining it adds no call.
func (m *Machine) callsAt(r *replica) int {
	if m.openCall(r) != nil {
		return r.openCalls - 1
	}
	return r.openCalls
}
