package backoff

import "time"

const (
	// callSlot is the time for which one call is assumed to occupy discovery. Answer times cannot show it: a call with
	// a late answer may have waited in the queue, and an early answer may come from an idle service.
	callSlot = 100 * time.Millisecond
	// defaultServiceTimeout is the assumed service time-out while none has been learned from a failed call.
	defaultServiceTimeout = time.Second
	// queueShare is the share of the service time-out that a call may spend in discovery's queue.
	queueShare = 0.75
	// ImmediateFailure is the time within which a call fails if the service does not queue it, because the service is
	// down or rejects calls unread. A call that fails later has waited because discovery lacked capacity. For a call
	// that ended without any answer, package platform also uses ImmediateFailure to distinguish lease.Unreachable from
	// lease.Unanswered.
	ImmediateFailure = 250 * time.Millisecond
	// slotsGrowth multiplies the spreading interval with each call that fails because discovery lacks capacity:
	// discovery has to work off the failed calls in addition to those that succeed.
	slotsGrowth = 2
	// maxSlots bounds the spreading interval, in call slots per coordinator.
	maxSlots = 8
	// maxIntervalInTime is the longest spreading interval, at one call slot per coordinator, of a fleet that discovery
	// can answer before a change counts as notified, including calls that fail and are repeated.
	maxIntervalInTime = NotifiedAfter / 2 // 3 s, of 30 coordinators
	// maxIntervalInLease is the longest spreading interval, at one call slot per coordinator, of a fleet whose
	// coordinators call again before their endpoint lists expire. In a larger fleet such calls would overload discovery
	// and make each other fail.
	maxIntervalInLease = NotifiedAfter // 6 s, of 60 coordinators
)

// serviceLoad is the load of discovery as far as failed calls have shown it.
type serviceLoad struct {
	// slots is the spreading interval after a failed call, in call slots per coordinator; 0 after a success.
	slots int
	// shortestFailure is the shortest wait after which discovery failed a call that it had queued; 0 if none is known.
	// An answered call does not reset it, because the answer does not show how long discovery would have let the call
	// wait. It stays until the calls go to another service.
	shortestFailure time.Duration
}

// failed records a call that failed after took. callTimeout is the time after which the coordinator itself gives up a
// call. A call that failed at once does not show a lack of capacity. A call that the coordinator gave up does not show
// the service time-out.
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

// succeeded records an answered call. After the next failure the spreading interval starts again at its shortest.
func (l *serviceLoad) succeeded() { l.slots = 0 }

// serviceTimeout is the longest time for which discovery lets a call wait.
func (l *serviceLoad) serviceTimeout() time.Duration {
	if l.shortestFailure > 0 {
		return l.shortestFailure
	}
	return defaultServiceTimeout
}

// spreadingInterval is the time that discovery needs for the given number of call slots per coordinator of the fleet.
func (s *Schedule) spreadingInterval(slots int) time.Duration {
	return time.Duration(slots*s.FleetSize) * callSlot
}

// FleetWait returns the time that discovery needs to answer one call of each coordinator of the fleet.
func (s *Schedule) FleetWait() time.Duration { return s.spreadingInterval(1) }

// answeredBeforeExpiry reports whether discovery can answer one call of each coordinator of the fleet before the
// endpoint lists expire, if the lists were last confirmed when the fleet lost discovery.
func (s *Schedule) answeredBeforeExpiry() bool { return s.spreadingInterval(1) <= maxIntervalInLease }

// needsWholeLease reports whether discovery can answer the fleet before its endpoint lists expire, but not in time
// (maxIntervalInTime).
func (s *Schedule) needsWholeLease() bool {
	return s.answeredBeforeExpiry() && s.spreadingInterval(1) > maxIntervalInTime
}

// queueTime is the part of a spreading interval that calls may instead spend in discovery's queue without failing.
func (s *Schedule) queueTime() time.Duration {
	return scale(s.load.serviceTimeout(), queueShare)
}

// bound limits an interval to the time that the fleet may wait. If discovery can answer the whole fleet in time, the
// limit is inTime: coordinators that have an answer stop calling, so discovery can answer the others. In a larger
// fleet, calls within inTime would overload discovery and no coordinator would get an answer. A larger fleet therefore
// uses the interval that it needs, limited only if ListMaxAge is set: to longest, or to inTime where that is longer.
func (s *Schedule) bound(interval, inTime, longest time.Duration) time.Duration {
	switch {
	case s.spreadingInterval(1) <= maxIntervalInTime:
		return min(interval, inTime)
	case s.ListMaxAge > 0:
		return min(interval, max(inTime, longest))
	}
	return interval
}

// draw returns a random instant of an interval, or 0 if the interval is not positive.
func (s *Schedule) draw(interval time.Duration) time.Duration {
	return scale(max(0, interval), s.Rand.Float64())
}

// scale multiplies a duration by a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
