// Package lease decides how long a coordinator may send attempts to replicas by an endpoint list that discovery has
// not confirmed again.
//
// A change of the endpoint list counts as notified to a coordinator a fixed time after discovery had the change and
// could be reached, whether or not the coordinator has learned of it (package backoff defines that time). An endpoint
// that drains may receive new attempts for a grace period after that. A coordinator may therefore use a list for the
// sum of both times, counted from the last instant at which the list is treated as current. There are two kinds of such
// instants: discovery confirmed the list, or a call found discovery unreachable, because no change counts as notified
// while discovery cannot be reached. A call that discovery accepted but did not answer proves neither, with one
// exception: until a list is confirmed, a call that discovery rejected prolongs it in large fleets; see Lease.Rejected.
// The caller decides what a failed call proves: package platform does so in pollFailure.evidence.
//
// The processes of a coordinator that run at the same time or one after the other have the list, and therefore its lease,
// in common: State and Resume pass a lease on, so that a new process does not begin a new one.
//
// # Contract
//
// A Lease is for one endpoint list and for one goroutine at a time. It has no clock: instants are readings of the
// caller's monotonic clock. From the instant that Expires returns, the caller must not begin an attempt by the list.
package lease

import (
	"time"

	"harepass/internal/decide/backoff"
)

// Lease is the time for which a coordinator may use one endpoint list. New creates one.
type Lease struct {
	// countsFrom is the instant that notifiedAfter counts from: the last one at which the list is treated as current.
	// ServiceChanged moves it forward.
	countsFrom    time.Duration
	notifiedAfter time.Duration // time from a change until it counts as notified
	grace         time.Duration // time after notifiedAfter in which attempts may still begin
	expires       time.Duration // instant from which the list must not be used
	confirmed     bool          // discovery has confirmed the list since New, ServiceChanged and WatchRejected
	waitsFrom     time.Duration // while not confirmed: when the wait for the first confirmation began
	outdated      bool          // a change is known to be missing from the list (Outdated), and none has confirmed it since
}

// New returns the lease of a process that starts at now with a stored endpoint list. Changes count as notified to the
// process after the longer of listMaxAge, which may be 0, and backoff.NotifiedAfter. The first Confirmed, Unreachable,
// Rejected or Unanswered ends this start-up time, and ServiceChanged may shorten it. drainGrace is the time for which the
// platform still allows attempts at an endpoint after its drain counts as notified.
func New(now, listMaxAge, drainGrace time.Duration) Lease {
	l := Lease{countsFrom: now, notifiedAfter: backoff.NotifiedAfter, grace: usableGrace(drainGrace), waitsFrom: now}
	l.expires = now + max(listMaxAge, backoff.NotifiedAfter) + l.grace
	return l
}

// State is a lease that another process of the coordinator continues. Its instants are readings of a clock that both
// processes can read.
type State struct {
	CountsFrom    time.Duration `json:"counts_from"`
	NotifiedAfter time.Duration `json:"notified_after"`
	Expires       time.Duration `json:"expires"`
	Confirmed     bool          `json:"confirmed"`
	WaitsFrom     time.Duration `json:"waits_from"`
}

// Shifted returns the state with its instants moved by a duration, for a clock that differs by it.
func (s State) Shifted(by time.Duration) State {
	s.CountsFrom += by
	s.Expires += by
	s.WaitsFrom += by
	return s
}

// State returns the lease for another process.
func (l *Lease) State() State {
	return State{CountsFrom: l.countsFrom, NotifiedAfter: l.notifiedAfter, Expires: l.expires, Confirmed: l.confirmed,
		WaitsFrom: l.waitsFrom}
}

// Resume returns the lease of a process that starts with a list that another process of the coordinator has used. The
// list gets neither a longer time than it had there nor a new wait for its first confirmation, however many processes
// take it over from each other.
func Resume(s State, drainGrace time.Duration) Lease {
	return Lease{countsFrom: s.CountsFrom, notifiedAfter: s.NotifiedAfter, grace: usableGrace(drainGrace),
		expires: s.Expires, confirmed: s.Confirmed, waitsFrom: s.WaitsFrom}
}

// stallReserve is the part of the drain grace in which no attempt may begin. The coordinator reads the clock before it
// sends an attempt, so a process that is not scheduled between the two sends later than the lease allows. The reserve
// covers such a stall.
const stallReserve = 250 * time.Millisecond

// usableGrace is the part of the drain grace in which attempts may begin: all but stallReserve, or half of a drain
// grace that is shorter than twice stallReserve.
func usableGrace(drainGrace time.Duration) time.Duration {
	return max(drainGrace/2, drainGrace-stallReserve)
}

// SetGrace changes the drain grace. The new value applies from the next event; the current expiry does not change.
func (l *Lease) SetGrace(drainGrace time.Duration) { l.grace = usableGrace(drainGrace) }

// Expires returns the instant from which the list must not be used.
func (l *Lease) Expires() time.Duration { return l.expires }

// Confirmed records that the list was the latest one at the given instant, as discovery's answer showed.
func (l *Lease) Confirmed(at time.Duration) {
	l.confirmed, l.outdated = true, false
	l.notifiedAfter = backoff.NotifiedAfter
	l.renew(at)
}

// Unreachable records that a call which began at the given instant could not reach discovery. It renews the lease from
// that instant and ends the longer start-up time of a new process.
func (l *Lease) Unreachable(began time.Duration) { l.renew(began) }

// Unanswered records that a call failed although it may have reached discovery. It does not renew the lease, and it
// ends the longer start-up time of a new process.
func (l *Lease) Unanswered() {
	l.expires = min(l.expires, l.countsFrom+l.notifiedAfter+l.grace)
}

// Rejected records that a call which began at the given instant failed in a way in which both an overloaded discovery and
// one that is down fail calls. Discovery may have answered others, so the lease of a confirmed list is not renewed.
//
// A list that has not been confirmed is the exception. After a start, a reload or an outage (WatchRejected) the whole
// fleet waits for its first answers, and fleetWait is the time that discovery needs for them. If that is longer than
// backoff.NotifiedAfter, most coordinators would reject all queries before discovery can answer them. Until fleetWait is
// over, such calls therefore renew the lease as Unreachable does, and an endpoint that drains meanwhile may get attempts
// for too long.
func (l *Lease) Rejected(began, fleetWait time.Duration) {
	excess := fleetWait - backoff.NotifiedAfter
	if l.confirmed || excess <= 0 {
		l.Unanswered()
		return
	}
	l.renew(min(began, l.waitsFrom+excess))
}

// WatchRejected records that discovery rejected a watch that began at the given instant. A watch does not wait for its
// turn, so an overload does not explain that: discovery has probably gone down for the whole fleet. The lease is not
// renewed, but the list counts as not confirmed from then on (Rejected).
func (l *Lease) WatchRejected(began time.Duration) { l.confirmed, l.waitsFrom = false, began }

// Outdated records that the coordinator was notified at the given instant of a change that the list lacks: another of
// its processes has the change, and this one cannot apply it. The list may be used for the drain grace from then on, and
// only Confirmed renews the lease.
func (l *Lease) Outdated(at time.Duration) {
	l.outdated = true
	l.expires = min(l.expires, at+l.grace)
}

// ServiceChanged records that a reload named another discovery service at the given instant. Until that service has
// answered, its changes count as notified after backoff.NotifiedAfterReload. ServiceChanged never extends the lease.
func (l *Lease) ServiceChanged(at time.Duration) {
	// NotifiedAfterReload, which is shorter, applies from now on. Moving countsFrom forward by the difference keeps the
	// instant at which changes at the old service count as notified. countsFrom never moves past the reload itself.
	l.confirmed, l.waitsFrom = false, at
	l.countsFrom = min(at, l.countsFrom+l.notifiedAfter-backoff.NotifiedAfterReload)
	l.notifiedAfter = backoff.NotifiedAfterReload
	l.expires = min(l.expires, at+l.notifiedAfter+l.grace)
}

// renew counts the lease from an instant at which the list is treated as current. Calls may overlap and end out of
// order, so an instant before countsFrom, which an earlier renewal or ServiceChanged has set, does not move it back.
func (l *Lease) renew(at time.Duration) {
	if l.outdated {
		return
	}
	l.countsFrom = max(l.countsFrom, at)
	l.expires = l.countsFrom + l.notifiedAfter + l.grace
}
