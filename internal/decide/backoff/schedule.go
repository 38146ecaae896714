package backoff

import (
	"math/rand/v2"
	"time"
)

const (
	// minFailureDelay is the shortest delay after a failed call.
	minFailureDelay = NotifiedAfter / 24 // 0.25 s
	// firstCallShare is the share of ListMaxAge within which a process makes its first call, so that a failed one can
	// be repeated before ListMaxAge is over.
	firstCallShare = 0.5
	// watchLostSlots is the spreading interval after a lost watch, in call slots per coordinator. It allows for
	// calls that occupy discovery for longer than assumed, since the fleet is likely to have lost its watches together.
	watchLostSlots = 3
)

// Schedule decides when one coordinator of a fleet calls discovery. Rand has to be set; the other fields may be changed
// between two calls of its methods.
type Schedule struct {
	// FleetSize is the number of coordinators that call the same discovery service.
	FleetSize int
	// ListMaxAge is the time after which a coordinator that has not called counts as notified all the same. It bounds
	// the spreading interval of a fleet that discovery cannot answer in time (maxIntervalInTime); 0 sets no such bound.
	ListMaxAge time.Duration
	// UsesAgent states that the calls go to an agent of this coordinator rather than to the shared service.
	UsesAgent bool
	// Rand is the source of the drawn delays. Coordinators of a fleet need different ones.
	Rand *rand.Rand

	load               serviceLoad
	awaitingNewService bool // a reload has named another service, which has not answered yet
}

// FirstDelay returns how long to wait before the first call of a process that has a stored endpoint list. A process
// that has none calls at once, without asking: it can send no query before it has a list.
func (s *Schedule) FirstDelay() time.Duration {
	if s.UsesAgent {
		return 0
	}
	interval := s.spreadingInterval(1) - s.queueTime()
	return s.draw(s.bound(interval, NotifiedAfter-CallTimeout, scale(s.ListMaxAge, firstCallShare)))
}

// FirstDelayAtNewService returns how long to wait before the first call to a service that a reload has named, where the
// endpoint list expires after expiresIn. A reload comes to the whole fleet at one instant. A fleet that needs all of the
// time until lists expire spreads its calls over it; any other calls at once.
func (s *Schedule) FirstDelayAtNewService(expiresIn time.Duration) time.Duration {
	if s.UsesAgent || !s.needsWholeLease() {
		return 0
	}
	return s.draw(min(s.spreadingInterval(1)-s.queueTime(), expiresIn-CallTimeout))
}

// WatchLostDelay returns how long to wait before a call that follows a lost watch. Unlike Failed it records nothing: a
// lost watch says nothing of discovery's load, so it counts neither as a failure nor as a success.
func (s *Schedule) WatchLostDelay() time.Duration {
	if s.UsesAgent {
		return agentDelay
	}
	return s.draw(min(s.spreadingInterval(watchLostSlots), MaxSpread))
}

// RenewDelay returns how long to wait before a watch is renewed that was answered after took and reported no change.
// A service that answers watches without holding them must not be called without a pause.
func (s *Schedule) RenewDelay(took time.Duration) time.Duration {
	if hold, _ := s.WatchTimeouts(); took < hold/2 {
		return renewDelay
	}
	return 0
}

// Failed records that a call which was not a watch failed after took, and returns how long to wait before the next
// call. It is for a coordinator whose endpoint list does not expire.
func (s *Schedule) Failed(took time.Duration) (delay time.Duration) {
	return s.FailedBeforeExpiry(took, 0)
}

// FailedBeforeExpiry records what Failed records, and returns the delay for an endpoint list that expires after
// expiresIn. Where the fleet may hurry (maxIntervalToHurry), the next call is early enough to be answered before that.
// A list that has expired, or that expires before any answer, does not hasten the call.
func (s *Schedule) FailedBeforeExpiry(took, expiresIn time.Duration) (delay time.Duration) {
	if s.UsesAgent {
		return agentDelay
	}
	s.load.failed(took, s.AnswerTimeout())
	return minFailureDelay + s.draw(s.failureInterval(expiresIn))
}

// failureInterval is the interval, after minFailureDelay, from which the next call is drawn. Each further failure may
// spread a large fleet over another MaxSpread, so that discovery can work off the calls that it has failed. A fleet that
// needs all of the time until lists expire is spread over its whole interval once a call has failed for want of capacity:
// calls that come sooner wait in discovery's queue until they fail, and nobody is answered. Calls that fail at once have
// taken no time of discovery's, and the next one may be answered.
func (s *Schedule) failureInterval(expiresIn time.Duration) time.Duration {
	slots := s.load.slots
	longest := min(s.ListMaxAge, time.Duration(slots)*MaxSpread)
	if s.needsWholeLease() && slots > 1 {
		longest = s.ListMaxAge
	}
	interval := s.spreadingInterval(slots) - s.queueTime()
	interval = s.bound(interval, s.maxSpread()-minFailureDelay, longest-minFailureDelay)
	beforeExpiry := expiresIn - minFailureDelay - s.load.serviceTimeout()
	if beforeExpiry > 0 && s.AnsweredBeforeExpiry() {
		interval = min(interval, beforeExpiry)
	}
	return interval
}

// Succeeded records that a call or a watch was answered.
func (s *Schedule) Succeeded() {
	s.load.succeeded()
	s.awaitingNewService = false
}

// ServiceChanged records that calls go to another service from now on. What was learned of the old one is dropped.
func (s *Schedule) ServiceChanged() { s.load, s.awaitingNewService = serviceLoad{}, true }
