// Package lease decides for how long a coordinator may send to replicas by an endpoint list that discovery has not
// confirmed.
//
// A change of the list counts as notified to a coordinator some time after discovery had it and could be reached,
// whether or not the coordinator has learned of it (package backoff has that time). An endpoint that drains may get new
// attempts for a grace period after that. So a list may be used for that time and the grace from the last instant at
// which it is known to have lacked nothing. There are two kinds of such an instant: discovery confirmed the list, or a
// call found discovery unreachable, since no change counts as notified while discovery cannot be reached. A call that
// discovery accepted and left unanswered proves neither. Which failure of a call shows what is the caller's to tell:
// package platform does so in pollFailure.evidence.
//
// # Contract
//
// A Lease is for one endpoint list and for one goroutine at a time. It has no clock: instants are readings of the
// caller's monotonic clock. Once Expires has passed, the caller must begin no attempt by the list.
package lease

import (
	"time"

	"harepass/internal/decide/backoff"
)

// Lease is the time for which one endpoint list may be used. Use New.
type Lease struct {
	// countsFrom is the instant that notifiedAfter counts from: the last one at which the list is known to have lacked
	// nothing, moved forward by ServiceChanged.
	countsFrom    time.Duration
	notifiedAfter time.Duration // time from a change until it counts as notified
	grace         time.Duration // time after that in which attempts may still begin
	expires       time.Duration // instant from which on the list must not be used
}

// New returns the lease of a process that starts at now with a stored endpoint list. The process counts as notified
// after listMaxAge, or after backoff.NotifiedAfter where that is longer; listMaxAge may be 0. The first call that is
// Confirmed, Unreachable or Unanswered ends that longer time, and ServiceChanged may shorten it. drainGrace is the time
// for which the platform still allows attempts at an endpoint after its drain counts as notified.
func New(now, listMaxAge, drainGrace time.Duration) Lease {
	l := Lease{countsFrom: now, notifiedAfter: backoff.NotifiedAfter, grace: usableGrace(drainGrace)}
	l.expires = now + max(listMaxAge, backoff.NotifiedAfter) + l.grace
	return l
}

// stallReserve is the part of a drain's grace that no attempt may use. An attempt is allowed by an earlier reading of
// the clock than the instant at which it reaches the endpoint: a process that is not scheduled between the two sends
// late. The reserve covers such a stall.
const stallReserve = 250 * time.Millisecond

// usableGrace is the part of a drain's grace in which attempts may begin: all but stallReserve, or half of a grace that
// is shorter than twice that.
func usableGrace(drainGrace time.Duration) time.Duration {
	return max(drainGrace/2, drainGrace-stallReserve)
}

// SetGrace takes over another drain grace. It counts from the next event on: an expiry that has been returned stays.
func (l *Lease) SetGrace(drainGrace time.Duration) { l.grace = usableGrace(drainGrace) }

// Expires returns the instant from which on the list must not be used.
func (l *Lease) Expires() time.Duration { return l.expires }

// Confirmed records that discovery's answer showed the list to be the latest one at an instant.
func (l *Lease) Confirmed(at time.Duration) {
	l.notifiedAfter = backoff.NotifiedAfter
	l.renew(at)
}

// Unreachable records that a call which began at an instant found that discovery could not be reached. It renews the
// lease from that instant, and ends the longer time that a new process has.
func (l *Lease) Unreachable(began time.Duration) { l.renew(began) }

// Unanswered records that a call failed although it may have reached discovery. It renews
// nothing, and ends the longer time that a new process has.
func (l *Lease) Unanswered() {
	l.expires = min(l.expires, l.countsFrom+l.notifiedAfter+l.grace)
}

// ServiceChanged records that a reload named another discovery service at an instant. Until that service has answered,
// its changes count as notified after backoff.NotifiedAfterReload. The change never prolongs the lease.
func (l *Lease) ServiceChanged(at time.Duration) {
	// From here on the shorter NotifiedAfterReload counts. Moving countsFrom forward by what it is shorter by keeps
	// changes at the old service due when they were; it is never moved beyond the reload itself.
	l.countsFrom = min(at, l.countsFrom+l.notifiedAfter-backoff.NotifiedAfterReload)
	l.notifiedAfter = backoff.NotifiedAfterReload
	l.expires = min(l.expires, at+l.notifiedAfter+l.grace)
}

// renew has the lease count from an instant at which the list lacked nothing. Calls may overlap and end out of order,
// so an instant before that of another renewal, or before countsFrom as ServiceChanged moved it, takes nothing back.
func (l *Lease) renew(at time.Duration) {
	l.countsFrom = max(l.countsFrom, at)
	l.expires = l.countsFrom + l.notifiedAfter + l.grace
}
