package scatter

import (
	"slices"
	"time"
)

// retryDelayShare is the delay before a part's next attempt, as a share of the latency objective, when an attempt ends
// without success and is not the part's only one: two attempts without success mean that the part's shard is overloaded
// or lost. Probes, hedged requests and cancelled attempts count too.
const retryDelayShare = 0.2

// mayAttempt reports whether another attempt of a part may begin now. The first one always may. A later one has to keep
// to its class's limit on attempts, to the retry budget, and, if the part may have run, to the class's idempotency.
func (m *Machine) mayAttempt(p *part) bool {
	if len(p.attempts) == 0 {
		return true
	}
	c := p.query.class
	return len(p.attempts) < c.maxAttempts && m.retries.allows(m.now) &&
		(!p.mayHaveRun || m.now <= c.RetryPolicy().RetryableUntil(p.firstSent))
}

// sendPart sends an attempt of a part and, if a probe is due, that probe as well. The probe replaces the attempt
// without hedged requests, and if mayAttempt then refuses a second attempt.
func (m *Machine) sendPart(p *part) {
	r, probed := m.pickReplica(p, false), m.dueProbe(p)
	if probed != nil {
		m.probes.take()
		m.send(p, probed)
	}
	if r != nil && (probed == nil || m.settings.Hedging && m.mayAttempt(p)) {
		m.send(p, r)
	}
}

// send begins an attempt of a part at a replica. The time-out ends at the objective, or at the end of the query once
// the objective has passed. Replicas drop parts that they have not begun by then.
func (m *Machine) send(p *part, r *replica) {
	if m.capacityFraction(r, m.now) < 1 {
		r.slowStart.tokens--
	}
	if r.health.ejected {
		r.health.nextProbe = m.now + r.health.probeBackoff // without fleetBackoff; the outcome may change it
	}
	at := &attempt{part: p, number: len(p.attempts), replica: r, sentAt: m.now, toEjected: r.health.ejected}
	if len(r.attempts) == 0 && r.lastUsed > 0 {
		at.connectionIdle = m.now - r.lastUsed
	}
	if !m.idleConnections.trusts(at.connectionIdle) {
		at.connectionIdle = 0                     // its connection will be new
		m.do(CloseIdleConnections{Replica: r.ID}) // so that the part opens a new connection
	}
	r.lastUsed = m.now
	m.attach(at)
	if at.number > 0 {
		m.retries.countRetry(m.now)
	}
	until := p.query.answerDue
	if m.now >= until {
		until = p.query.endBy
	}
	m.do(Send{Part: p.ID, Replica: r.ID, Timeout: max(until-m.now, time.Microsecond)})
}

// onAttemptEnded processes the outcome of an attempt. Only the first outcome of each attempt counts.
func (m *Machine) onAttemptEnded(e AttemptEnded) {
	p := m.queries.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) || p.attempts[e.Attempt].ended {
		return
	}
	at := p.attempts[e.Attempt]
	at.replica.lastUsed = m.now
	at.detach(e.Outcome.neverRan())
	m.recordOutcome(at.replica, p.query.class, at, e)
	if p.query.closed || !slices.Contains(p.query.parts, p) { // ended, or the part is of its first round
		m.cancelAttempts(p)
		return
	}
	if e.Outcome != Succeeded && len(p.attempts) > 1 {
		p.notBefore = m.now + scale(p.query.class.LatencyObjective, retryDelayShare)
	}
	if e.Outcome == Succeeded && !p.served {
		m.markServed(p)
	}
}

// cancelAttempts cancels a part's outstanding attempts if the settings allow it, except those to replicas that were
// ejected at the time of sending: their outcome shows whether the replica has recovered, for probes and for attempts
// that found no usable replica. A part without outstanding attempts is forgotten.
func (m *Machine) cancelAttempts(p *part) {
	for _, at := range p.attempts {
		if m.settings.Cancellation && !at.ended && !at.cancelled && !at.toEjected {
			m.cancel(at)
		}
	}
	if !slices.ContainsFunc(p.attempts, func(at *attempt) bool { return !at.ended }) {
		delete(m.queries.parts, p.ID)
	}
}

func (m *Machine) cancel(at *attempt) {
	at.cancelled = true
	m.do(CancelAttempt{Part: at.part.ID, Attempt: at.number})
}

// attach registers a new attempt with its replica, its part and its call.
func (m *Machine) attach(at *attempt) {
	r, p := at.replica, at.part
	at.call = m.openCall(r)
	if at.call == nil {
		at.call = &call{step: m.step}
		r.lastCall = at.call
		r.openCalls++
	}
	at.call.outstanding++
	at.call.size++
	r.attempts = append(r.attempts, at)
	m.replicas.markBusy(r)
	m.responses.watch(at)
	if !p.mayHaveRun {
		p.mayHaveRun, p.firstSent = true, at.sentAt
	}
	p.attempts = append(p.attempts, at)
	p.outstandingCount++
}

// detach records the end of an attempt, which remains in its part's list. neverRan means that the attempt is proven not
// to have run. An attempt that is still outstanding counts as one that may have run.
func (at *attempt) detach(neverRan bool) {
	at.ended, at.neverRan = true, neverRan
	r, p := at.replica, at.part
	p.outstandingCount--
	p.query.markDirty()
	r.attempts = slices.DeleteFunc(r.attempts, func(o *attempt) bool { return o == at })
	if at.call.outstanding--; at.call.outstanding == 0 {
		r.openCalls--
	}
	first := slices.IndexFunc(p.attempts, func(o *attempt) bool { return !o.neverRan })
	if p.mayHaveRun = first >= 0; p.mayHaveRun {
		p.firstSent = p.attempts[first].sentAt
	}
}

// openCall returns the call of this step to a replica that one more part can still join; nil if there is none.
func (m *Machine) openCall(r *replica) *call {
	c := r.lastCall
	if c == nil || c.step != m.step || c.outstanding == 0 || c.size >= m.settings.PartsPerCall {
		return nil
	}
	return c
}
