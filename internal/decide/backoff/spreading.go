package backoff

import "time"

const (
	// callSlot is the time for which one call is taken to occupy discovery. It cannot be learned from answers: a late
	// one may have waited in the queue, and an early one may come from an idle service.
	callSlot = 100 * time.Millisecond
	// defaultServiceTimeout stands in for the service time-out until discovery has failed a call sooner.
	defaultServiceTimeout = time.Second
	// queueShare is the share of the service time-out for which calls may queue at discovery.
	queueShare = 0.75
	// ImmediateFailure is the time within which a service fails calls that it does not queue: it is down, or rejects
	// them unread. A call that fails later has waited for want of capacity. Package platform also takes it to tell
	// lease.Unreachable from lease.Unanswered, for a call that ended without any answer.
	ImmediateFailure = 250 * time.Millisecond
	// slotsGrowth multiplies the spreading interval with each call that fails for want of capacity, since discovery has
	// to work off the calls that fail besides those that succeed.
	slotsGrowth = 2
	// maxSlots bounds the spreading interval, in call slots per coordinator.
	maxSlots = 8
	// maxIntervalInTime is the longest spreading interval, at one call slot per coordinator, of a fleet that discovery
	// can answer in time: before a change counts as notified, calls that fail and are repeated included.
	maxIntervalInTime = NotifiedAfter / 2 // 3 s, of 30 coordinators
	// maxIntervalToHurry is the longest spreading interval, at one call slot per coordinator, of a fleet whose
	// coordinators call again before their endpoint lists expire. In a larger one such calls would fail each other.
	maxIntervalToHurry = NotifiedAfter // 6 s, of 60 coordinators
)

// serviceLoad is what failed calls have shown of discovery's load.
type serviceLoad struct {
	// slots is the spreading interval after a failed call, in call slots per coordinator; 0 after a success.
	slots int
	// shortestFailure is the shortest wait after which discovery failed a call that it had queued; 0 if none is known.
	// An answered call does not take it back, for it does not show how long discovery would have let it wait. It stands
	// until the calls go to another service.
	shortestFailure time.Duration
}

// failed records a call that failed after took, where the coordinator itself gives a call up after callTimeout. A call
// that failed at once shows no want of capacity. A call that the coordinator gave up shows no service time-out.
func (l *serviceLoad) failed(took, callTimeout time.Duration) {
	l.slots = max(1, l.slots)
	if took < ImmediateFailure {
		return
	}
	l.slots = min(slotsGrowth*l.slots, maxSlots)
	if took < callTimeout && (l.shortestFailure == 0 || took < l.shortestFailure) {
		l.shortestFailure = took
	}
}

// succeeded records an answered call: the next failure begins with the shortest interval again.
func (l *serviceLoad) succeeded() { l.slots = 0 }

// serviceTimeout is how long discovery lets a call wait at most.
func (l *serviceLoad) serviceTimeout() time.Duration {
	if l.shortestFailure > 0 {
		return l.shortestFailure
	}
	return defaultServiceTimeout
}

// spreadingInterval is the time that discovery needs for so many call slots of each coordinator of the fleet.
func (s *Schedule) spreadingInterval(slots int) time.Duration {
	return time.Duration(slots*s.FleetSize) * callSlot
}

// AnsweredBeforeExpiry reports whether discovery can answer one call of each coordinator of the fleet before an endpoint
// list expires that was confirmed last when discovery was lost.
func (s *Schedule) AnsweredBeforeExpiry() bool { return s.spreadingInterval(1) <= maxIntervalToHurry }

// needsWholeLease reports whether discovery can answer the fleet before its lists expire, but not in time.
func (s *Schedule) needsWholeLease() bool {
	return s.AnsweredBeforeExpiry() && s.spreadingInterval(1) > maxIntervalInTime
}

// queueTime is the part of a spreading interval that may wait in discovery's queue instead, without any call failing.
func (s *Schedule) queueTime() time.Duration {
	return scale(s.load.serviceTimeout(), queueShare)
}

// bound shortens an interval to what the fleet may wait. If discovery can answer the whole fleet in time, the bound is
// inTime: coordinators that were answered call no more, so the others get through. Calls of a larger fleet that came
// within inTime would fail each other and nobody would be answered. Such a fleet takes the interval that it needs, up
// to longest if ListMaxAge is set.
func (s *Schedule) bound(interval, inTime, longest time.Duration) time.Duration {
	switch {
	case s.spreadingInterval(1) <= maxIntervalInTime:
		return min(interval, inTime)
	case s.ListMaxAge > 0:
		return min(interval, max(inTime, longest))
	}
	return interval
}

// draw returns a random instant of an interval; 0 for one that is not positive.
func (s *Schedule) draw(interval time.Duration) time.Duration {
	return scale(max(0, interval), s.Rand.Float64())
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
