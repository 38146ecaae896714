package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// minFailureDelay is the shortest delay after a failed call.
	minFailureDelay = NotifiedAfter / 24 // 0.25 s
	// firstCallShare is the share of ListMaxAge within which a process makes its first call, in a fleet that discovery
	// cannot answer in time and if ListMaxAge is set. The rest leaves time to repeat a failed call before ListMaxAge is
	// over.
	firstCallShare = 0.5
	// watchLostSlots is the spreading interval after a lost watch, in call slots per coordinator. The whole fleet has
	// probably lost its watches together, so the interval allows for calls that take longer than one call slot. In a
	// fleet of more than 4 coordinators it is longer than MaxSpread, which then replaces it.
	watchLostSlots = 3
)

// Schedule decides when one coordinator of a fleet calls discovery. Rand must be set. The other fields may change
// between two method calls.
type Schedule struct {
	// FleetSize is the number of coordinators that call the same discovery service.
	FleetSize int
	// ListMaxAge is the time after which changes count as notified to a coordinator that has started and whose first
	// call to discovery has not ended, if it is longer than NotifiedAfter (lease.New). Later, the times in
	// notification.go hold. ListMaxAge also bounds the spreading interval of a fleet that discovery cannot answer in
	// time (maxIntervalInTime). 0 sets no such bound.
	ListMaxAge time.Duration
	// UsesAgent reports whether calls go to an agent of this coordinator instead of the shared service.
	UsesAgent bool
	// Rand is the source of the random delays. Each coordinator of a fleet needs a different source.
	Rand *rand.Rand

	load               serviceLoad
	awaitingNewService bool // a reload has named another service, which has not answered yet
}

// FirstDelay returns how long to wait before the first call of a process that has a stored endpoint list. A process
// without a stored list calls at once and does not use FirstDelay, because it cannot send a query before it has a list.
func (s *Schedule) FirstDelay() time.Duration {
	if s.UsesAgent {
		return 0
	}
	interval := s.spreadingInterval(1) - s.queueTime()
	return s.draw(s.bound(interval, NotifiedAfter-CallTimeout, scale(s.ListMaxAge, firstCallShare)))
}

// FirstDelayAtNewService returns how long to wait before the first call to a service that a reload has named, if the
// endpoint list expires after expiresIn. A reload reaches the whole fleet at one instant. The coordinators of a fleet
// that needs the whole time until its lists expire (needsWholeLease) spread their calls over the interval that the
// fleet needs, which ends CallTimeout before the expiry at the latest; all others call at once.
func (s *Schedule) FirstDelayAtNewService(expiresIn time.Duration) time.Duration {
	if s.UsesAgent || !s.needsWholeLease() {
		return 0
	}
	return s.draw(min(s.spreadingInterval(1)-s.queueTime(), expiresIn-CallTimeout))
}

// WatchLostDelay returns how long to wait before the call that follows a lost watch. It is at most MaxSpread, so that
// discovery answers this call before a change counts as notified (notification.go). Unlike Failed, WatchLostDelay
// records nothing: a lost watch does not show discovery's load, so it counts neither as a failure nor as a success.
func (s *Schedule) WatchLostDelay() time.Duration {
	if s.UsesAgent {
		return agentDelay
	}
	return s.draw(min(s.spreadingInterval(watchLostSlots), MaxSpread))
}

// RenewDelay returns how long to wait before renewing a watch that discovery answered after took without reporting a
// change. The delay keeps the coordinator from calling without a pause a service that does not hold watches.
func (s *Schedule) RenewDelay(took time.Duration) time.Duration {
	if hold, _ := s.WatchTimeouts(); took < hold/2 {
		return renewDelay
	}
	return 0
}

// Failed records that a call other than a watch failed after took, and returns how long to wait before the next call.
// It is for a coordinator whose endpoint list does not expire. With an agent it records nothing, and the delay is
// always agentDelay.
func (s *Schedule) Failed(took time.Duration) (delay time.Duration) {
	return s.FailedBeforeExpiry(took, 0)
}

// FailedBeforeExpiry records what Failed records, and returns the delay for a coordinator whose endpoint list expires
// after expiresIn. If the fleet is small enough (maxIntervalInLease), the next call is early enough for an answer
// before the list expires. A list that has expired (expiresIn is 0 or less), or that expires before discovery can
// answer, does not shorten the delay. Failed therefore passes 0.
func (s *Schedule) FailedBeforeExpiry(took, expiresIn time.Duration) (delay time.Duration) {
	if s.UsesAgent {
		return agentDelay
	}
	s.load.failed(took, s.AnswerTimeout())
	return minFailureDelay + s.draw(s.failureInterval(expiresIn))
}

// failureInterval is the interval, after minFailureDelay, from which the instant of the next call is drawn. In a fleet
// that discovery cannot answer in time, its bound is MaxSpread for each call slot per coordinator, up to ListMaxAge.
// Failures multiply these slots (slotsGrowth), so that discovery can work off the calls that it has failed.
//
// A fleet that needs the whole time until its lists expire (needsWholeLease) is spread over its whole interval once a
// call has failed because discovery lacked capacity: earlier calls would wait in discovery's queue until they fail, and
// no coordinator would get an answer. This applies until a call succeeds or the service changes, even after a call that
// fails at once. It does not apply if all calls since then failed at once: such calls take no time of discovery, so
// discovery may answer the next one.
func (s *Schedule) failureInterval(expiresIn time.Duration) time.Duration {
	slots := s.load.slots
	longest := min(s.ListMaxAge, time.Duration(slots)*MaxSpread)
	if s.needsWholeLease() && slots > 1 {
		longest = s.ListMaxAge
	}
	interval := s.spreadingInterval(slots) - s.queueTime()
	interval = s.bound(interval, s.maxSpread()-minFailureDelay, longest-minFailureDelay)
	beforeExpiry := expiresIn - minFailureDelay - s.load.serviceTimeout()
	if beforeExpiry > 0 && s.answeredBeforeExpiry() {
		interval = min(interval, beforeExpiry)
	}
	return interval
}

// Succeeded records that discovery answered a call or a watch.
func (s *Schedule) Succeeded() {
	s.load.succeeded()
	s.awaitingNewService = false
}

// ServiceChanged records that calls go to another service from now on. It discards the load recorded for the old one.
func (s *Schedule) ServiceChanged() { s.load, s.awaitingNewService = serviceLoad{}, true }
