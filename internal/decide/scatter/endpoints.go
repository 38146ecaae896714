package scatter

import (
	"slices"
	"time"
)

const (
	// forgetAfter is how long a removed replica is remembered after its removal or its last use, whichever was later.
	forgetAfter = time.Minute
	// minSubscribeBackoff is the backoff after the first failed subscription, before jitter. Each further failure
	// doubles it.
	minSubscribeBackoff = 500 * time.Millisecond
	// minSubscribeRepeat is the least time after which an unanswered subscription is requested again.
	minSubscribeRepeat = time.Second
	// subscribeBackoffDivisor bounds the backoff to the time for which the endpoint list is valid, divided by it.
	subscribeBackoffDivisor = 4
)

// endpointList is the subscription to the endpoint list.
type endpointList struct {
	updates       int // how many were received
	subscribed    bool
	nextSubscribe time.Duration // when to subscribe next, if not subscribed
	backoff       time.Duration // after the last failure; 0 after a success
}

// onEndpointUpdate processes a list of replicas, changes to it, or a failure to get it.
func (m *Machine) onEndpointUpdate(e EndpointUpdate) {
	l := &m.endpoints
	if e.Kind == FailedUpdate {
		longest := max(m.settings.ListMaxAge/subscribeBackoffDivisor, minSubscribeBackoff)
		l.subscribed = false
		l.backoff = min(max(2*l.backoff, minSubscribeBackoff), longest)
		l.nextSubscribe = m.now + scale(l.backoff, 0.5+m.random.Float64())
		return
	}
	if e.Kind != CachedUpdate {
		l.subscribed, l.backoff = true, 0
	}
	m.shares.dirty = true
	l.updates++
	for _, entry := range e.Replicas {
		m.updateReplica(entry)
	}
	if e.Kind != IncrementalUpdate {
		m.removeUnlisted()
	}
}

// updateReplica applies one entry. A later start under the same id is a new process: it is in slow start and no longer
// ejected. The backoffs of its predecessor remain until they expire.
func (m *Machine) updateReplica(e Replica) {
	r := m.replicas.byID[e.ID]
	switch {
	case r == nil:
		r = m.replicas.add(e, len(m.classes.list))
		r.adoptSiblingRatio()
		m.startSlowStart(r, e.StartedAt)
	case e.StartedAt > r.StartedAt:
		m.startSlowStart(r, e.StartedAt)
		m.replicas.setEjected(r, false)
		r.health.failsFast, r.health.mayHaveRestarted, r.health.consecutiveFaults = false, false, 0
		r.adoptSiblingRatio()
	}
	m.setEntry(r, e)
	r.listedBy = m.endpoints.updates
}

// setEntry sets what the list says about a replica.
func (m *Machine) setEntry(r *replica, e Replica) {
	m.examined.replicas++
	m.replicas.update(r, e)
	m.replicas.markRemoved(r, m.now)
}

// removeUnlisted marks replicas as removed if a complete list did not contain them.
func (m *Machine) removeUnlisted() {
	for _, r := range m.replicas.all {
		if r.listedBy != m.endpoints.updates {
			e := r.Replica
			e.State = Removed
			m.setEntry(r, e)
		}
	}
}

// pruneRemoved forgets replicas that were removed long ago; otherwise their number would grow as long as the Machine
// runs.
func (m *Machine) pruneRemoved() {
	m.replicas.removed = slices.DeleteFunc(m.replicas.removed, func(r *replica) bool {
		idle := len(r.attempts) == 0 && m.now-max(r.removedAt, r.lastUsed) > forgetAfter
		expired := r.State == Removed && idle
		if expired {
			m.replicas.forget(r)
		}
		r.removalPending = r.State == Removed && !expired
		return !r.removalPending
	})
}

// subscribe requests the endpoint list if the settings say that it has to be requested, and again if no answer comes at
// all.
func (m *Machine) subscribe() {
	l := &m.endpoints
	if !m.settings.Subscribe || l.subscribed || m.now < l.nextSubscribe {
		return
	}
	l.nextSubscribe = m.now + max(m.settings.ListMaxAge, minSubscribeRepeat)
	m.do(Subscribe{})
}
